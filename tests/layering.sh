#!/bin/sh
# Which component may include which (the table is in docs/architecture.md); that the decisions do no I/O and read no
# clock; and that deploy/balancer.toml names the files that there are.
set -eu
cd "$1"
bad=0
# check COMPONENT ALLOWED: the components whose headers it may include beside its own.
check() {
  component=$1
  allowed=$2
  for file in $(find src/"$component" -type f); do
    for header in $(sed -n 's/^#include "\([a-z_/]*\)\/[^/]*"$/\1/p' "$file" | sort -u); do
      good=0
      for known in $component $allowed; do
        case "$header/" in
          "$known"/*) good=1 ;;
        esac
      done
      if [ $good = 0 ]; then
        echo "$file includes $header/, which may not be included by $component"
        bad=1
      fi
    done
  done
}
check policy "hingelink"
check simulator_adapter "hingelink"
check core ""
check log ""
check schema ""
check decide "hingelink"
check state "decide hingelink"
check proto "core"
check net "hingelink core decide proto log readerwriterqueue"
check lab/scenario "schema lab/scenario"
check lab/rig "core proto net standin lab/scenario"
# standin: the model of a service's cores, which has neither clock nor socket.
check lab/sim "decide standin lab/scenario"
check node "hingelink core decide proto log net simulator_adapter"
check control "hingelink core proto log net node schema"
check background "hingelink core decide proto log net node state"
check fleet "hingelink core decide proto log net node state schema"
check console "log control"
check standin "core proto net"
check appliance "log net node control decide state schema"
for word in '<sys/' '<unistd' '<fcntl' '<thread' '<mutex' '<fstream' '<iostream' '<filesystem' '<ctime' 'steady_clock' \
  'system_clock' 'event2' 'spdlog'; do
  if grep -rn "$word" src/decide src/policy; then
    echo "src/decide and src/policy must do no I/O and read no clock: $word"
    bad=1
  fi
done
for component in src/*/; do
  case " $(basename "$component") " in
    *" core "* | *" log "* | *" schema "* | *" decide "* | *" state "* | *" proto "* | *" net "* | *" node "*) ;;
    *" policy "* | *" fleet "* | *" lab "* | *" background "* | *" control "* | *" console "* | *" standin "* | *" appliance "* | *" cli "* | *" simulator_adapter "*) ;;
    *)
      echo "$component is not in this list"
      bad=1
      ;;
  esac
done
# The deploy file names every file that decides, and nothing that is not there.
for file in src/policy/*; do
  grep -q "^policy = .*\"$file\"" deploy/balancer.toml || { echo "deploy/balancer.toml: policy lacks $file"; bad=1; }
done
for path in $(sed -n 's/^policy = \[\(.*\)\].*/\1/p; s/^node = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",'); do
  [ -e "$path" ] || { echo "deploy/balancer.toml: there is no $path"; bad=1; }
done
wide=$(grep -rnE '^.{111,}$' include src tests --include='*.h' --include='*.cpp' || true)
if [ -n "$wide" ]; then
  echo "wider than 110 columns:"
  echo "$wide"
  bad=1
fi
exit $bad
