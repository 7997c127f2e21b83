# Functions that start and stop a cell on loopback. A script that sources this
# file sets BIN, the folder of the programs, and DATA, an empty folder. Processes
# are started by these functions only and stopped by their PIDs.

CONTROLS=${CONTROLS:-3}
ENTRIES=${ENTRIES:-10}
BACKENDS=${BACKENDS:-12}
BASE=${BASE:-7000}
CELL_ADDRESS="http://127.0.0.1:$BASE"
declare -A PIDS=()
declare -A MEMBERS=()
export SAMPHIREWICK_ADDRESS="$CELL_ADDRESS"

control_address() { echo "127.0.0.1:$((BASE + 100 + $1))"; }
entry_address() { echo "127.0.0.1:$((BASE + 200 + $1))"; }
entry_admin() { echo "127.0.0.1:$((BASE + 400 + $1))"; }

start() { # name, command...
  local name=$1
  shift
  "$@" >>"$DATA/$name.out" 2>>"$DATA/$name.log" &
  PIDS[$name]=$!
}

stop_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null; kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  for name in "${!PIDS[@]}"; do wait "${PIDS[$name]}" 2>/dev/null; done
  PIDS=()
}

write_control() { # number
  cat >"$DATA/control-$1.ini" <<INI
[member]
name = control-$1
address = $(control_address "$1")
admin = 127.0.0.1:$((BASE + 150 + $1))
dataFolder = $DATA/control-$1
[tls]
mutual = off
INI
}

write_entry() { # number
  local addresses="" n
  for n in $(seq "$CONTROLS"); do addresses+="$(control_address "$n"), "; done
  cat >"$DATA/entry-$1.ini" <<INI
[instance]
name = entry-$1
dataCentre = dc-$(($1 % 3))
listen = $(entry_address "$1")
address = 127.0.0.1:$((BASE + 300 + $1))
admin = $(entry_admin "$1")
drainDelay = 1s
[control]
addresses = $addresses
[tls]
mutual = off
[callers]
authentication = off
INI
}

start_control() { start "control-$1" "$BIN/samphirewick-control" run --settings "$DATA/control-$1.ini"; }
start_entry() { start "entry-$1" "$BIN/samphirewick-entry" run --settings "$DATA/entry-$1.ini"; }

start_backend() { # number, further flags...
  local n=$1 service pool processors memory
  shift
  if [ $((n % 2)) -eq 0 ]; then
    service=toll-desk pool=bell-works processors=64000 memory=137438953472
  else
    service=crate-planner pool=kowhai-night processors=32000 memory=68719476736
  fi
  start "backend-$n" "$BIN/samphirewick-standin" backend --id "worker-$n" --listen "127.0.0.1:$((BASE + 500 + n))" \
    --entry "$CELL_ADDRESS" --record "$DATA/worker-$n.jsonl" --service "$service" --pool "$pool" \
    --rack "rack-$((n % 4))" --data-centre "dc-$((n % 3))" --processors "$processors" --memory "$memory" \
    --reserve-processors 8000 "$@"
}

await() { # what, command...
  local what=$1 n
  shift
  for n in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting for $what" >&2
  return 1
}

voters_are() { # count
  [ "$("$BIN/samphirewick" member list 2>/dev/null | awk 'NR > 1 && $3 == "true"' | wc -l)" -eq "$1" ]
}
no_problems() { "$BIN/samphirewick" status; }

start_cell() {
  local n
  for n in $(seq "$CONTROLS"); do
    write_control "$n"
    local founder=""
    [ "$n" -eq 1 ] && founder="--founder"
    MEMBERS[$n]=$("$BIN/samphirewick-control" format --settings "$DATA/control-$n.ini" $founder) || return 1
    start_control "$n"
  done
  local targets=()
  for n in $(seq "$ENTRIES"); do
    write_entry "$n"
    start_entry "$n"
    targets+=(--target "$(entry_address "$n"),$(entry_admin "$n")")
  done
  start balancer "$BIN/samphirewick-standin" balancer --listen "127.0.0.1:$BASE" "${targets[@]}"
  await "the first member" "$BIN/samphirewick" member list || return 1
  for n in $(seq 2 "$CONTROLS"); do
    "$BIN/samphirewick" member add "${MEMBERS[$n]}" "$(control_address "$n")" >/dev/null || return 1
    await "member $n to become a voter" voters_are "$n" || return 1
  done
  for n in $(seq "$BACKENDS"); do start_backend "$n"; done
}

leader_number() {
  local leader n
  leader=$("$BIN/samphirewick" -o json status 2>/dev/null | sed -n 's/^  "leader": "\(.*\)",$/\1/p')
  for n in "${!MEMBERS[@]}"; do
    if [ "${MEMBERS[$n]}" = "$leader" ]; then echo "$n"; fi
  done
}

kill_process() { # name
  kill -KILL "${PIDS[$1]}"
  wait "${PIDS[$1]}" 2>/dev/null
  unset "PIDS[$1]"
}
