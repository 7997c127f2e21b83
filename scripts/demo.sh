#!/usr/bin/env bash
# Runs a cell on loopback under the jobs of the night plan and the requests of the
# morning plan, kills the control leader and an entry meanwhile, and checks the
# cell's guarantees against the records of the workers and callers.
set -u
cd "$(dirname "$0")/.." || exit 1
BIN=$PWD/bin
DATA=$(mktemp -d)
. scripts/cell.sh
trap 'stop_all; rm -rf "$DATA"' EXIT

begun=$SECONDS
echo "starting $CONTROLS control, $ENTRIES entry instances and $BACKENDS backend servers"
start_cell || exit 1
"$BIN/samphirewick" check -f examples/configuration.json || exit 1
"$BIN/samphirewick" apply --wait -f examples/configuration.json || exit 1
await "the cell to report no problems" no_problems || { "$BIN/samphirewick" status; exit 1; }
echo "the cell reports no problems after $((SECONDS - begun)) s; starting the night jobs and the morning requests"

start night "$BIN/samphirewick-standin" load --entry "$CELL_ADDRESS" --plan examples/night.json --folder "$DATA"
night=${PIDS[night]}
start morning "$BIN/samphirewick-standin" load --entry "$CELL_ADDRESS" --plan examples/morning.json --folder "$DATA"
morning=${PIDS[morning]}
sleep 3
leader=$(leader_number)
echo "killing the leader, control-$leader"
kill_process "control-$leader"
sleep 2.5
echo "killing entry-4"
kill_process entry-4
sleep 1.5
echo "restarting control-$leader; shutting down backend-12 and entry-5 gracefully"
start_control "$leader"
kill -TERM "${PIDS[backend-12]}" "${PIDS[entry-5]}"
wait "$night" "$morning"
"$BIN/samphirewick" status
echo
"$BIN/samphirewick-standin" verify --folder "$DATA"
verdict=$?
echo
echo "the demo took $((SECONDS - begun)) s"
exit "$verdict"
