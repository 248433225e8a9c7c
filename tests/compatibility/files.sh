#!/bin/sh
# Checks that the program reads files written by version 0.3.0 with the same result as that version, and that the output
# meant for scripts keeps its keys. Arguments: the program and the root of the source tree. If RECORD=1 is set, the script
# writes the expected outputs instead of comparing them.
set -eu
program=$1
source=$2
fixtures=$source/tests/compatibility/fixtures
work=$(mktemp -d)
pids=""
cleanup() {
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
# A failed comparison creates this file. A variable would not do, because `expect` runs in subshells.
failed=$work/failed

# expect NAME: compares standard input with the fixture NAME, or records the fixture.
expect() {
  cat >"$work/actual"
  if [ "${RECORD-}" = 1 ]; then
    cp "$work/actual" "$fixtures/$1"
  elif ! diff -u "$fixtures/$1" "$work/actual"; then
    echo "differs: $1"
    touch "$failed"
  fi
}

# Check learned state, a series of runs, a scenario and deployment files.
"$program" state show --folder "$fixtures/learned" --json | expect learned-shown.json
"$program" state verify --folder "$fixtures/learned" | sed "s|$fixtures/||" | expect learned-verified.txt
cp "$fixtures/series.db" "$work/series.db"
"$program" lab table --db "$work/series.db" --by /fleet/nodes,peers,seed --figures /messages,/bytes_a_second --json |
  expect series-table.json
"$program" lab replay 787 --nodes 6 --seconds 8 --out "$work/scenario.json" >/dev/null || true
expect scenario.json <"$work/scenario.json"
"$program" lab sim "$fixtures/scenario.json" --json | expect simulated.json
for file in "$source"/deploy/scenarios/*.json; do "$program" lab check "$file"; done | sed "s|$source/||" |
  expect scenarios-checked.txt
"$program" appliance check --config "$source/deploy/appliance.json" | sed "s|$source/||" | expect appliance-checked.txt
"$program" check-config --config "$fixtures/node-config.json" | sed "s|$fixtures/||" | expect node-config-checked.txt
"$program" lab crowd --case even --nodes 12 --services 6 --seconds 5 --json 2>/dev/null | expect crowd.json

# Check the metric names of the admin endpoint and the keys of the control snapshot of a serving node.

# await FILE PATTERN: waits up to 20 seconds until FILE contains PATTERN.
await() {
  tries=0
  until grep -q "$2" "$1" 2>/dev/null; do
    tries=$((tries + 1))
    [ "$tries" -lt 400 ] || { echo "timed out waiting for '$2' in $1"; cat "$1"; exit 1; }
    sleep 0.05
  done
}
"$program" standin pool >"$work/pool" &
pids="$pids $!"
"$program" standin registry >"$work/registry" &
pids="$pids $!"
await "$work/pool" '^pool '
await "$work/registry" '^registry '
pool=$(sed -n 's/^pool //p' "$work/pool")
registry=$(sed -n 's/^registry //p' "$work/registry")
# Choose a port below the kernel's range of ephemeral ports, so that outgoing connections cannot occupy it.
port=$((20000 + $$ % 10000))
sed -e "s|127.0.0.1:9300|$pool|; s|127.0.0.1:8761|$registry|; s|127.0.0.1:10080|127.0.0.1:0|" \
  -e "s|127.0.0.1:10250|127.0.0.1:$port|; s|\"dependsOn\": \"shared\"|\"dependsOn\": \"silent\"|; /\"store\"/d" \
  "$fixtures/node-config.json" >"$work/config.json"
"$program" serve --config "$work/config.json" --control "$work/control" 2>"$work/log" &
node=$!
pids="$pids $node"
await "$work/log" ' pool-bound '
"$program" status --socket "$work/control" --json | tr -d ' ' | sed -n 's/^"\([a-z_]*\)":.*/\1/p' | sort -u |
  expect status-keys.txt
bash -c 'exec 3<>"/dev/tcp/127.0.0.1/$1"; printf "GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n" >&3; cat <&3' _ "$port" |
  grep '^# TYPE' | expect metric-names.txt
kill -TERM "$node"
wait "$node"
[ ! -e "$failed" ]
