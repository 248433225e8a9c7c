#!/bin/sh
# Plays soak runs of restarts: real processes under load, with signals, kills and faults that a seed draws.
#
# usage: sh tests/soak.sh FIRST_SEED COUNT [BUILD]
#
# Prints one line for each seed and the totals last. Exit status 1: a seed violated a rule; 2: bad arguments.
set -eu
cd "$(dirname "$0")/.."

fail() {
  echo "soak: $1" >&2
  exit 2
}

# check_number NAME VALUE
check_number() {
  case $2 in
    '' | *[!0-9]* | 0*) fail "$1 is '$2'; a whole number from 1 up is allowed" ;;
  esac
}

[ $# -ge 2 ] && [ $# -le 3 ] || fail "FIRST_SEED and COUNT are needed: sh tests/soak.sh FIRST_SEED COUNT [BUILD]"
check_number FIRST_SEED "$1"
check_number COUNT "$2"
build=${3:-build-plain}
[ -x "$build/tests/soak" ] || fail "there is no $build/tests/soak; build it: sh tests/run.sh, or cmake --build $build --target soak"
exec "$build/tests/soak" "$1" "$2"
