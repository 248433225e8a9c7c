#!/bin/sh
# Builds the stand-ins of all cases, with the compiler and the C++ library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]/case.cpp; do
  c++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$(dirname "$source")" "$source"
done
