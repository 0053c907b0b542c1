#!/usr/bin/env bash
# Case 5: machines that the store serves go on accepting a key that was taken away, because the readers were lost soon
# after an outage of the store. Needs
# target/spurrackd (the build of the deploy file) and review/build-2.sh. Exit code: 1 broken, 0 held, 2 could not run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
program="$PWD/target/review/case-5"
[ -x "$program" ] && [ -x target/spurrackd ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
export SPURRACKD="$PWD/target/spurrackd"
exec timeout -k 5 115 "$program" "$here/record.txt"
