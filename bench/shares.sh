#!/bin/sh
# How the lines that were written fall to parts, in percent: of all code now, or of what was added since REV.
# Usage: sh bench/shares.sh [REV]
set -eu
cd "$(dirname "$0")/.."
rev="${1:-$(git hash-object -t tree /dev/null)}"
git diff --numstat --no-renames "$rev" HEAD -- include src bench tests models cmake '*.txt' '*.sh' | awk '
  $1 == "-" { next }
  {
    path = $3
    if (path ~ /^tests\//) part = "tests"
    else if (path ~ /^src\/(standin|lab)\// || path ~ /^(bench|models)\// || path ~ /^src\/cli\/(lab|standin)/) part = "stand-ins and auditing tools"
    else if (path ~ /^src\/(decide|state|fleet|background|policy)\// || path ~ /^src\/(logic|settings)\.cpp/ || path ~ /^include\//) part = "decisions and state"
    else if (path ~ /^src\//) part = "all other code"
    else next
    lines[part] += $1; all += $1; if (part != "tests") code += $1
  }
  END {
    for (part in lines)
      printf "%-30s %6d  %3.0f%% of all, %3.0f%% outside tests\n", part, lines[part], 100 * lines[part] / all, part == "tests" ? 0 : 100 * lines[part] / code
  }' | sort
