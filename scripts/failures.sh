#!/usr/bin/env bash
# Kills, pauses and replaces processes under load, each case in a new cell, and
# checks the cell's guarantees against the records of the workers and callers.
# usage: failures.sh [part of a case's name]
set -u
cd "$(dirname "$0")/.." || exit 1
BIN=$PWD/bin
CONTROLS=3 ENTRIES=4 BACKENDS=6 BASE=${BASE:-8000}
. scripts/cell.sh
trap 'stop_all; rm -rf "$DATA"' EXIT
DATA=
wanted=${1:-}
failed=0

signal() { kill "-$1" "${PIDS[$2]}"; }

kill_backend() { # number
  kill_process "backend-$1"
  echo "{\"at\":\"$(date +%Y-%m-%dT%H:%M:%S.%N%:z)\",\"kind\":\"killed\",\"worker\":\"worker-$1\"}" >>"$DATA/worker-$1.jsonl"
}

# Pauses the current leader for longer than every lease, twice.
paused_leader() {
  local leader n
  for n in 1 2; do
    leader=$(leader_number)
    signal STOP "control-$leader"
    sleep 7
    signal CONT "control-$leader"
    sleep 1
  done
}

# Pauses an entry for longer than its lease, with requests in flight.
paused_entry() {
  sleep 2
  signal STOP entry-2
  sleep 4
  signal CONT entry-2
  sleep 2
}

# Pauses a worker for longer than its lease, so that its tasks run elsewhere meanwhile.
paused_worker() {
  sleep 1
  signal STOP backend-1
  sleep 9
  signal CONT backend-1
  sleep 2
}

# Kills one worker and restarts it at once under the same ID, then kills another
# and restarts it after 7 s.
killed_worker() {
  sleep 1.5
  kill_backend 3
  start_backend 3
  sleep 3
  kill_backend 1
  sleep 7
  start_backend 1
}

# Pauses the leader and kills an entry at the same moment, then kills a second entry.
two_at_once() {
  local leader
  sleep 2
  leader=$(leader_number)
  signal STOP "control-$leader"
  kill_process entry-1
  sleep 3
  kill_process entry-3
  sleep 4
  signal CONT "control-$leader"
  start_entry 1
  sleep 1
}

# Deletes the data of one member and replaces it, then kills a second member as
# soon as the new one has a vote.
lost_disk() {
  local lost=2 second=3 fresh
  sleep 1
  kill_process "control-$lost"
  rm -rf "$DATA/control-$lost"
  fresh=$("$BIN/samphirewick-control" format --settings "$DATA/control-$lost.ini") || return 1
  start_control "$lost"
  "$BIN/samphirewick" member remove "${MEMBERS[$lost]}" >/dev/null || return 1
  "$BIN/samphirewick" member add "$fresh" "$(control_address "$lost")" >/dev/null || return 1
  MEMBERS[$lost]=$fresh
  await "the joining member to become a voter" voters_are 3 || return 1
  kill_process "control-$second"
  sleep 4
  start_control "$second"
}

# Restarts every entry and one backend server gracefully, one after another.
rolling_restart() {
  local n
  for n in $(seq "$ENTRIES"); do
    signal TERM "entry-$n"
    wait "${PIDS[entry-$n]}"
    start_entry "$n"
    sleep 0.5
  done
  signal TERM backend-2
  wait "${PIDS[backend-2]}"
  start_backend 2
}

run_case() { # function
  case "$1" in *"$wanted"*) ;; *) return ;; esac
  DATA=$(mktemp -d)
  local begun=$SECONDS rc=0
  echo "== $1"
  start_cell && "$BIN/samphirewick" apply --wait -f examples/configuration.json >/dev/null &&
    await "the cell to report no problems" no_problems || rc=1
  if [ "$rc" -eq 0 ]; then
    start night "$BIN/samphirewick-standin" load --entry "$CELL_ADDRESS" --plan scripts/failures-night.json \
      --folder "$DATA" --job-timeout 90s
    start morning "$BIN/samphirewick-standin" load --entry "$CELL_ADDRESS" --plan scripts/failures-morning.json --folder "$DATA"
    "$1" || rc=1
    wait "${PIDS[night]}" "${PIDS[morning]}"
    "$BIN/samphirewick-standin" verify --folder "$DATA" || rc=1
    expect_versions || rc=1
  fi
  if [ "$1" = rolling_restart ]; then expect_none_cut_off || rc=1; fi
  stop_all
  [ "$rc" -eq 0 ] && rm -rf "$DATA" || { echo "FAILED $1, see $DATA"; failed=$((failed + 1)); }
  echo "== $1 took $((SECONDS - begun)) s"
}

# Checks that the documents accepted before the failure are still present.
expect_versions() {
  local count
  count=$("$BIN/samphirewick" get | awk 'NR > 1 && $3 >= 1' | wc -l)
  [ "$count" -eq 6 ] || { echo "found $count of 6 configuration documents"; return 1; }
}

# Checks that a graceful shutdown has interrupted no request in flight.
expect_none_cut_off() {
  local lost
  lost=$(grep -c '"outcome":"unknown"' "$DATA/requests.jsonl")
  [ "$lost" -eq 0 ] || { echo "$lost requests have an unknown outcome"; return 1; }
}

for case in paused_leader paused_entry paused_worker killed_worker two_at_once lost_disk rolling_restart; do
  run_case "$case"
done
DATA=$(mktemp -d)
echo "$failed cases failed"
[ "$failed" -eq 0 ]
