#!/usr/bin/env bash
# Runs the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
PROJECT_ROOT=$(cd ../.. && pwd) || exit 2
export PROJECT_ROOT
program=$PROJECT_ROOT/target/review-2
if [ ! -x "$program" ] || [ ! -x "$PROJECT_ROOT/target/samphirewick-control" ]; then
    echo "build the deploy file and review/build-2.sh first"
    exit 2
fi
timeout -k 2 118 "$program" rejected record.txt
code=$?
[ $code -le 1 ] || code=2
exit $code
