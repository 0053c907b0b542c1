#!/usr/bin/env bash
# Builds the programs of the scripts of this review, with their stand-ins, into target/review/. Needs the packages of
# deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 4 5 6 7 8; do
  [ -f "review/$number/case.cc" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "review/$number/case.cc"
done
