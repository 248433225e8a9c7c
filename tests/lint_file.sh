#!/bin/sh
# Checks one source by clang-tidy. Arguments: the build that compiles it, the source's absolute path.
#
# A source that was clean is not checked again while nothing changes that the result depends on: the configuration, the
# tool, the compiler's command, and the content of the source and of all headers that it includes. The names of clean
# states are kept in HINGELINK_LINT_CACHE, by default below the user's cache directory.
set -eu
build=$1
source=$2
root=$PWD
path=${source#"$root"/}
cache=${HINGELINK_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/hingelink-lint}

# The sources that are not revised yet, as one regular expression.
pending=$(grep -v '^#' tests/lint_pending.txt | tr '\n' '|' | sed 's/|$//')
# Headers are checked with the sources that include them, except pending ones.
revised=$(git ls-files 'include/*.h' 'src/*.h' 'tests/*.h' 'bench/*.h' | grep -vE "^(${pending:-none})(/|$)" |
  tr '\n' '|' | sed 's/|$//')
if [ -n "$pending" ] && echo "$path" | grep -qE "^($pending)(/|$)"; then
  config=tests/lint_pending.clang-tidy
  headers='/(include|src|tests|bench)/'
else
  config=.clang-tidy
  headers="/($revised)\$"
fi

# An entry: the line with the directory, and behind it the line with the command.
entry=$(grep -F -B 1 -- "-c $source\"" "$build/compile_commands.json" | head -2)
directory=$(echo "$entry" | sed -n 's/^ *"directory": "\(.*\)",*$/\1/p')
command=$(echo "$entry" | tail -1)
object=$(echo "$command" | sed 's/.* -o \([^ ]*\) .*/\1/')
# Written by the compiler: the object, a colon, and every file that it was made from.
cd "$directory"
dependencies=$(sed 's/^[^:]*: *//; s/\\$//' "$object.d" | tr ' ' '\n' | grep -v '^$' | sort -u)
[ -n "$dependencies" ] || { echo "lint: $directory/$object.d names no files" >&2; exit 1; }
cd "$root"
state=$({
  clang-tidy-14 --version
  echo "$headers"
  echo "$command" | sed "s|$root||g"
  cat "$config"
  cd "$directory"
  # shellcheck disable=SC2086
  cat $dependencies
} | sha256sum | cut -d' ' -f1)
[ ! -e "$cache/$state" ] || exit 0
clang-tidy-14 -p "$build" --quiet --config-file="$config" --header-filter="$headers" "$source"
mkdir -p "$cache"
: >"$cache/$state"
