#!/usr/bin/env bash
# Every test that docs/PROMISES.md names exists, as a case or a file: a name may be cut short by an ellipsis, and is then
# the beginning of a test's name.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=0
# Names of tests are at least three words; shorter ones are suites, files and faults of the simulation.
while read -r name; do
  if ! git grep -qE -- "\b$name" tests src/base/safety_switches.h src/simulation &&
    ! git ls-files tests | grep -qE "/$name\.cc$"; then
    echo "docs/PROMISES.md names $name, which is no test"
    missing=1
  fi
done < <(grep -oE '[a-z0-9]+(_[a-z0-9]+){2,}' docs/PROMISES.md | sort -u)
exit $missing
