#!/bin/sh
# The test command: builds with warnings as errors and runs all tests, plain and under address and undefined behaviour
# sanitizers, and those with several threads in one process under ThreadSanitizer. Tests that KNOWN-RED.txt lists are
# run and printed, and passed over (tests/run_tests.sh).
set -eu
cd "$(dirname "$0")/.."
sh tests/install.sh
sh tests/run_tests_test.sh tests/run_tests.sh
# Compilers run behind ccache. Paths below the project's root are hashed relative to it, so that other checkouts of the
# same state share results; the compiler is identified by its content.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1 CCACHE_COMPILERCHECK=content CCACHE_MAXSIZE="${CCACHE_MAXSIZE:-10G}"
export CMAKE_CXX_COMPILER_LAUNCHER=ccache
ccache --zero-stats >/dev/null
# configure KIND [OPTION...]: configures build-KIND. Sanitizers and -O2 together take twice the time to compile, and find
# no more.
configure() {
  kind=$1
  shift
  cmake -S . -B "build-$kind" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DHINGELINK_BUILD_TESTS=ON -DHINGELINK_WERROR=ON \
    -DCMAKE_EXPORT_COMPILE_COMMANDS=ON "$@"
}
# The platform's own build, which the guard of `run` looks at.
cmake -S . -B build-platform -DCMAKE_BUILD_TYPE=Release -DHINGELINK_TOOLS=OFF -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
cmake --build build-platform -j"$(nproc)"
configure plain -DHINGELINK_PLATFORM_BUILD="$PWD/build-platform" -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O2 -g"
configure sanitize -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" -DHINGELINK_SANITIZE=ON
cmake --build build-plain -j"$(nproc)"
sh tests/lint.sh build-platform build-plain
for kind in plain sanitize; do
  cmake --build "build-$kind" -j"$(nproc)"
  sh tests/run_tests.sh KNOWN-RED.txt "build-$kind" -j"$(nproc)"
done
sh tests/run_tests.sh --check-list KNOWN-RED.txt build-plain build-sanitize
configure thread -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" -DHINGELINK_TSAN=ON
cmake --build build-thread -j"$(nproc)" --target node_integration_test log_budget_test loop_group_test interleaving_test \
  learned_state_persister_test job_runner_test
sh tests/run_tests.sh KNOWN-RED.txt build-thread -j"$(nproc)" \
  -R '/ThreeLoops$|ToThreeLoops$|ToOneLoop$|LogBudget|LoopGroup|Interleaving|Churn|JobRunnerTest|LearnedStatePersisterTest'
ccache --show-stats
