#!/bin/sh
# Runs one case: the number of its folder. 0: the rule held; 1: it was broken; 2: the case could not run.
review=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$review/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)" *#.*$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x build/hingelink ] && [ -x "review/build/case-$1" ] || exit 2
"review/build/case-$1" "$run" "$review/$1/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
