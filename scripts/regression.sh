#!/usr/bin/env bash
# Scores deployments one after another and prints, for each, its gate, its score and
# the worth of its days, beside those of the run before. Run it by hand with nothing
# else on the machine.
# usage: regression.sh BENCH RESULTS SITE...
#   BENCH    the bench's program
#   RESULTS  a folder for the results; those of the run before are read from it
#   SITE     the site file of a deployment
set -u
cd "$(dirname "$0")/.." || exit 1
if [ $# -lt 3 ]; then
  sed -n 's/^# \{0,1\}//; 5,8p' "$0" >&2
  exit 2
fi
bench=$1 results=$2
shift 2
mkdir -p "$results" || exit 1
failed=0
for site in "$@"; do
  name=$(basename "$site" .toml)
  result=$results/$name.txt
  [ -f "$result" ] && mv "$result" "$result.before"
  "$bench" score "$site" --why "regression run" >"$result" 2>&1 || echo "$name: the bench ended with status $?"
  echo "== $name"
  lines='^(score on|GATE|quiet-|trouble-|scale-|fresh-)'
  if [ -f "$result.before" ]; then
    diff --unchanged-line-format='  %L' --old-line-format='- %L' --new-line-format='+ %L' \
      <(grep -E "$lines" "$result.before" | cut -c1-110) <(grep -E "$lines" "$result" | cut -c1-110)
  else
    grep -E "$lines" "$result" | cut -c1-110
  fi
  grep -q '^GATE passed' "$result" || failed=$((failed + 1))
done
echo "$failed of $# deployments did not pass their gate"
[ "$failed" -eq 0 ]
