#!/bin/sh
# Signals that reach a node while it still starts. The configuration is a named pipe, so that the process stands in the
# middle of its start, with nothing handled yet, until the test writes it.
set -eu
program=$1
work=$(mktemp -d)
node=""
cleanup() {
  [ -z "$node" ] || kill -KILL "$node" 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
config='{"name":"n1","listen":"127.0.0.1:0","pool":"127.0.0.1:9","registry":"127.0.0.1:9","seed":"1","stop_ms":400,
"limits":{"cores":1.0,"memory_mb":64,"sockets":128},"settings":{"requestClasses":[{"name":"only","hardLimitMs":900.0,
"goalTimeMs":500.0,"repeat":"safe"}],"quantumMs":4.0,"rules":{"fallMultiple":4.0},
"specifics":{"cpus":1,"memoryKb":1000.0,"runFactor":2.0}}}'

# start SIGNAL: starts a node, sends the signal while it waits for its configuration, and then gives it that.
start() {
  rm -f "$work/config"
  mkfifo "$work/config"
  "$program" serve --config "$work/config" 2>"$work/log" &
  node=$!
  # Opens once the node has opened it to read: its start is under way, and ends only behind the signal.
  exec 3>"$work/config"
  # What it reads again later is a plain file.
  printf '%s' "$config" >"$work/fresh"
  mv "$work/fresh" "$work/config"
  kill "-$1" "$node"
  printf '%s' "$config" >&3
  exec 3>&-
}

# await TEXT: waits until the log has it, for as long as the node lives.
await() {
  until grep -q "$1" "$work/log"; do
    kill -0 "$node" 2>/dev/null || { echo "the node ended before '$1'"; cat "$work/log"; exit 1; }
  done
}

# A notice to leave is carried out: it drains, and ends well.
start TERM
status=0
wait "$node" || status=$?
node=""
[ "$status" = 0 ] || { echo "SIGTERM during the start: exit status $status"; cat "$work/log"; exit 1; }
grep -q '^[0-9]* drain stop_ms=400' "$work/log"
grep -q ' stopped unanswered=0 ' "$work/log"

# A new configuration is read once the node has started.
start HUP
await ' reload pool='
kill -TERM "$node"
wait "$node"
node=""
# The deploy file's command survives one that comes before its program runs at all, and hears the next.
sh -c "trap '' HUP; kill -HUP \$\$; exec \"\$0\" serve --config \"\$1\"" "$program" "$work/config" 2>"$work/log" &
node=$!
await ' pool-link-end '
kill -HUP "$node"
await ' reload pool='
kill -TERM "$node"
wait "$node"
node=""
echo "start_signals: ok"
