#!/bin/sh
# Installs from Debian what the build, the tests and the demo need and this machine lacks.
set -eu
packages="g++ ccache cmake make pkg-config libevent-dev libcli11-dev nlohmann-json3-dev libspdlog-dev
libreaderwriterqueue-dev prometheus-cpp-dev libabsl-dev libvalijson-dev
libncurses-dev libxxhash-dev libhwloc-dev libpcg-cpp-dev libsodium-dev libsqlite3-dev gnuplot-nox libgtest-dev librapidcheck-dev libvterm-dev libtomlplusplus-dev strace spin
clang-format-14 clang-tidy-14"
missing=""
for package in $packages; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q '^install ok installed$' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
as_root=""
[ "$(id -u)" = 0 ] || as_root=sudo
$as_root apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -q $missing
