#!/bin/bash
# Plays the case "wiped" and writes record.txt beside this file. It exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$here/../..
for program in standin-3 samphirewick-entry samphirewick-control; do
  if [ ! -x "$root/target/$program" ]; then
    echo "target/$program is missing: run the build of the deploy file and review/build-3.sh" >&2
    exit 2
  fi
done
cd "$root" || exit 2
exec target/standin-3 --root . --record "$here/record.txt" wiped
