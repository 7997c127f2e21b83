#!/usr/bin/env bash
# Mutation check: applies the substitutions of guards.list one at a time to a
# scratch copy and checks that the tests named beside each one then fail. A
# substitution that changes nothing, or that no test notices, is reported.
# usage: guards.sh [part of a guard's name]
set -u
cd "$(dirname "$0")/.." || exit 1
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$scratch"
missed=0 caught=0
wanted=${1:-}

guard() { # name, file, perl substitution, package, test
  case "$1" in *"$wanted"*) ;; *) return ;; esac
  cp "$scratch/$2" "$scratch/original"
  perl -0pi -e "$3" "$scratch/$2"
  if cmp -s "$scratch/original" "$scratch/$2"; then
    echo "STALE   $1: the substitution changes nothing in $2"
    missed=$((missed + 1))
    return
  fi
  local output
  if output=$(cd "$scratch" && go test -count=1 -run "$5" "$4" 2>&1); then
    echo "MISSED  $1: $5 still passes"
    missed=$((missed + 1))
  elif ! grep -q -- '--- FAIL\|panic: ' <<<"$output"; then
    echo "BROKEN  $1: $(head -n 2 <<<"$output" | tr '\n' ' ')"
    missed=$((missed + 1))
  else
    echo "caught  $1: $(grep -m 1 -E '_test.go:[0-9]+:|panic: ' <<<"$output" | sed 's/^ *//' | cut -c 1-150)"
    caught=$((caught + 1))
  fi
  cp "$scratch/original" "$scratch/$2"
}

. scripts/guards.list
echo "$caught guards caught, $missed not caught"
[ "$missed" -eq 0 ]
