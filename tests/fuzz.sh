#!/bin/sh
# Fuzzes with clang's libFuzzer, where there is one: sh tests/fuzz.sh learned|peers [SECONDS]
set -eu
cd "$(dirname "$0")/.."
command -v clang++ >/dev/null || { echo "fuzz: there is no clang++ here (Debian: clang)"; exit 0; }
case "${1:-}" in
  learned) sources="tests/state/learned_fuzz.cpp src/state/learned_codec.cpp src/state/learned_store.cpp src/state/file_system.cpp src/decide/learned/learned_state_import.cpp" ;;
  peers) sources="tests/fleet/gossip_message_fuzz.cpp src/fleet/codec.cpp $(ls src/decide/membership/*.cpp)" ;;
  *) echo "fuzz: wanted learned or peers" >&2; exit 2 ;;
esac
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# shellcheck disable=SC2086
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -DHINGELINK_LIBFUZZER \
  -Isrc -Iinclude $sources -lxxhash -o "$folder/fuzz"
mkdir "$folder/corpus"
"$folder/fuzz" -max_total_time="${2:-60}" -max_len=4096 -seed=20261201 "$folder/corpus"
