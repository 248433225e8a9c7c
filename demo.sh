#!/bin/sh
# Sets this machine up, builds, and runs the demo; what follows goes to `hingelink demo`.
set -eu
cd "$(dirname "$0")"
sh tests/install.sh >&2
cmake -B build -DCMAKE_BUILD_TYPE=Release -DHINGELINK_TOOLS=ON >&2
cmake --build build -j"$(nproc)" >&2
exec build/hingelink demo "$@"
