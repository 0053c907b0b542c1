#!/usr/bin/env bash
# Builds the programs of the review's scripts, with their stand-ins, into target/review/. Needs the packages of
# deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 1 2 3; do
  [ -f "review/$number/case.cc" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" \
    "review/$number/case.cc" review/standins/fleet.cc -lboost_json
done
