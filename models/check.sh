#!/bin/sh
# Verifies the models with spin: each must hold, and each planted mistake in it must be found.
set -eu
cd "$(dirname "$0")"
models=$(pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
# verify MODEL PLANT...: prints the number of errors found.
verify() {
  model=$1
  shift
  rm -f pan* ./*.trail
  spin "$@" -a "$models/$model" > spin.log || { cat spin.log >&2; exit 1; }
  cc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c
  ./pan -m1000000 -w24 > pan.log 2>&1
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}
bad=0
errors=$(verify membership.pml)
states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
if [ "$errors" = 0 ] && ! grep -q 'max search depth too small\|out of memory' pan.log; then
  echo "membership.pml holds: $states states"
else
  echo "membership.pml: $errors errors"
  cat pan.log
  bad=1
fi
for plant in PLANT_EQUAL PLANT_OTHERS PLANT_LIFE; do
  # Any other outcome than a count above 0 is no find.
  case "$(verify membership.pml -D$plant)" in
    [1-9]*) echo "membership.pml -D$plant: found" ;;
    *)
      echo "membership.pml -D$plant: the planted mistake was not found"
      bad=1
      ;;
  esac
done
exit $bad
