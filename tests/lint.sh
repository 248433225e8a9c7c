#!/bin/sh
# clang-format over all sources, and clang-tidy over those of the platform's program and of the adapter: what `run` and
# `sim` start. Arguments: the build whose compile_commands.json names them, and no other.
set -eu
cd "$(dirname "$0")/.."
build=$1
git ls-files '*.cpp' '*.h' | xargs clang-format-14 --dry-run --Werror
sed -n 's/^ *"file": "\(.*\)",*$/\1/p' "$build/compile_commands.json" | sort -u |
  xargs -P "$(nproc)" -n 1 clang-tidy-14 -p "$build" --quiet
echo "lint: clean"
