#!/bin/sh
# Start time and memory of programs by the deploy file's command, in turn: from its start until it listens, and
# what it holds resident then (VmHWM). Usage: sh bench/start_time.sh ROUNDS PROGRAM...
set -eu
rounds="$1"
shift
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
port=$((20000 + $$ % 20000))
cat > "$folder/node.json" <<END
{"name":"n1","listen":"127.0.0.1:$port","pool":"127.0.0.1:9","registry":"127.0.0.1:9","seed":"8c1f30d27a5be964","stop_ms":100,
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"requestClasses":[
{"name":"usage-view","goalTimeMs":1500.0,"hardLimitMs":3500.0,"repeat":"safe","worth":1.0}],
"quantumMs":4.0,"tenants":[],"limits":{"retryAfter":true,"maxRetryAfterMs":1000.0},
"rules":{"answerSlackMs":100.0,"drainGraceMs":0.0,"fallMs":1500.0,"fallMultiple":8.0,"coldFrom":0.2,"coldMs":16000.0},
"specifics":{"cpus":1,"memoryKb":16998.0,"runFactor":4.0,"signal":"window","heardForMs":100.0,"idleMs":30000.0,
"passesDeadline":true,"tellsGone":true,"clientsTotal":3,"dependsOn":"silent","freshMs":60000.0,"keyKb":1.0,
"gauges":["cpu_busy","runnable","mem_used","sockets"]}}}
END
hex=$(printf ':%04X ' "$port")
round=0
while [ "$round" -lt "$rounds" ]; do
  round=$((round + 1))
  for program in "$@"; do
    began=$(date +%s%N)
    NODE_CONFIG="$folder/node.json" "$program" serve 2> /dev/null &
    pid=$!
    until grep -q "$hex.* 0A " /proc/net/tcp; do :; done
    now=$(date +%s%N)
    echo "$program $(((now - began) / 1000)) $(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")"
    kill "$pid"
    wait "$pid" || true
  done
done | sort -k1,1 -k2,2n | awk '
  { n[$1]++; us[$1, n[$1]] = $2; if ($3 > kb[$1]) kb[$1] = $3 }
  END { for (p in n) printf "%s: %d starts, listens after %.1f ms (%.1f to %.1f), %d kB resident at most\n", p, n[p], us[p, int((n[p] + 1) / 2)] / 1000, us[p, 1] / 1000, us[p, n[p]] / 1000, kb[p] }' | sort
