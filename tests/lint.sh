#!/bin/sh
# Checks format and lint. Arguments: the platform's build and other builds, all built with
# CMAKE_EXPORT_COMPILE_COMMANDS=ON.
#
# clang-format checks every source. clang-tidy checks, by .clang-tidy, every source that one of the builds compiles. Those
# that tests/lint_pending.txt names were not revised for that yet: of them those in the platform's build
# are checked by tests/lint_pending.clang-tidy.
set -eu
cd "$(dirname "$0")/.."
platform=$1
pending=$(grep -v '^#' tests/lint_pending.txt | tr '\n' '|' | sed 's/|$//')

# sources BUILD: the absolute paths of the project's own sources that it compiles.
sources() {
  sed -n 's/^ *"file": "\(.*\)",*$/\1/p' "$1/compile_commands.json" | sort -u | grep -v "^$PWD/build"
}

git ls-files '*.cpp' '*.h' | xargs clang-format-14 --dry-run --Werror
sources "$platform" | xargs -P "$(nproc)" -n 1 sh tests/lint_file.sh "$platform"
shift
for build in "$@"; do
  sources "$build" | grep -vE "^$PWD/(${pending:-none})(/|\$)" | xargs -r -P "$(nproc)" -n 1 sh tests/lint_file.sh "$build"
done
echo "lint: clean"
