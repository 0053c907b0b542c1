#!/usr/bin/env bash
# Checks that every test named in docs/PROMISES.md exists as a test case or as a test file. If docs/PROMISES.md shortens
# a name by an ellipsis, a test whose name starts with the shortened name must exist.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=0
test_files=$(git ls-files tests)
# Only names of at least three words are checked: shorter names in docs/PROMISES.md denote test suites, files and faults
# of the simulation.
while read -r name; do
  if ! git grep -qE -- "\b$name" tests src/base/safety_switches.h src/simulation &&
    ! grep -qE "/$name\.cc$" <<< "$test_files"; then
    echo "docs/PROMISES.md names $name, which is no test"
    missing=1
  fi
done < <(grep -oE '[a-z0-9]+(_[a-z0-9]+){2,}' docs/PROMISES.md | sort -u)
exit $missing
