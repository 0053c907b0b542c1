#!/usr/bin/env bash
# Checks formatting, layers, the tests named in docs/PROMISES.md, and clang-tidy. clang-tidy is not run again on a file
# that passed before if the file, the project headers it includes and .clang-tidy are unchanged.
set -euo pipefail
build=$1
cd "$(dirname "$0")/.."

files() { git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.'; }

echo "lint: format"
files | xargs clang-format --dry-run --Werror

echo "lint: layers"
tools/check_layers.sh

echo "lint: promises"
tools/check_promises.sh

echo "lint: clang-tidy"
stamps="$build/tidy"
mkdir -p "$stamps"
configuration=$(cat .clang-tidy | sha256sum | cut -c1-16)
tidy_one() {
  local source=$1
  local depends sum stamp
  depends=$(ninja -C "$build" -t deps 2>/dev/null | awk -v want="/${source}.o:" 'index($1, want){on=1; next} /^$/{on=0} on{print $1}')
  sum=$(cat "$source" $(echo "$depends" | grep -v '^/usr' | sed "s|^\.\./||") 2>/dev/null | sha256sum | cut -c1-32)
  stamp="$stamps/$configuration-$(echo "$source" | tr / _)-$sum"
  [ -f "$stamp" ] && return 0
  clang-tidy --quiet -p "$build" "$source" 2>/dev/null || return 1
  touch "$stamp"
}
export -f tidy_one
export build stamps configuration
files | grep '\.cc$' | xargs -P "$(nproc)" -I{} bash -c 'tidy_one {}'
echo "lint: clean"
