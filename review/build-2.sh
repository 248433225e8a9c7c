#!/bin/sh
# Builds the stand-ins and the drivers of the cases of the second review, into build-review/ of the repository.
# Needs the C++ compiler of the deploy file's build and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
c++ -std=c++20 -O1 -Wall -Wextra -pthread -c review/rig/rig.cpp -o build-review/rig.o
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -f "$source" ] || continue
  c++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread "$source" build-review/rig.o -o "build-review/case-$number"
done
