#!/usr/bin/env bash
# Runs the case; writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 runs it without the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review/case-$(basename "$folder")
if [ ! -x target/spurrackd ] || [ ! -x "$program" ]; then
  echo "target/spurrackd or $program is missing: run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
timeout --kill-after=2 115 "$program" "$folder/record.txt"
result=$?
if [ "$result" -gt 2 ]; then
  echo "$program ended with $result"
  exit 2
fi
exit "$result"
