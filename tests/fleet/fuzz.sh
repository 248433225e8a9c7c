#!/bin/sh
# Fuzzes what a datagram may hold with clang's libFuzzer, where there is one: sh tests/fleet/fuzz.sh [SECONDS]
set -eu
cd "$(dirname "$0")/../.."
command -v clang++ >/dev/null || { echo "fuzz: there is no clang++ here (Debian: clang)"; exit 0; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -DHINGELINK_LIBFUZZER \
  -Isrc -Iinclude tests/fleet/peers_fuzz.cpp src/fleet/codec.cpp src/decide/membership.cpp -o "$folder/fuzz"
mkdir "$folder/corpus"
"$folder/fuzz" -max_total_time="${1:-60}" -max_len=1400 -seed=20261201 "$folder/corpus"
