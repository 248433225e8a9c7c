// Plays soak runs of restarts by their seeds: `soak FIRST_SEED COUNT`. Prints one line for each seed and the
// totals. Exit status 0: all held, 1: a rule was violated or a run stayed void, 2: bad arguments.
#include <charconv>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>

#include "player.h"

namespace {

using hingelink::soak::Plan;
using hingelink::soak::SoakResult;

// A run that the machine made void is played again, so often in all.
constexpr int kMaxRuns = 3;

struct Totals {
  int held = 0;
  int violated = 0;
  int void_runs = 0;
};

bool ParseNumber(const char* text, long& number) {
  const auto [end, error] = std::from_chars(text, text + std::strlen(text), number);
  return error == std::errc() && *end == '\0' && number > 0;
}

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += (text.empty() ? "" : "; ") + line;
  return text;
}

void PlaySeed(std::uint64_t seed, Totals& totals) {
  const Plan plan =
      hingelink::soak::DrawPlan(seed, {HINGELINK_SOURCE_DIR "/deploy/sites/alpine-ledger.toml",
                                       HINGELINK_SOURCE_DIR "/deploy/sites/lowland-water.toml"});
  const auto number = static_cast<unsigned long long>(seed);
  for (int run = 1; run <= kMaxRuns; ++run) {
    const SoakResult result = hingelink::soak::PlaySoak(plan);
    if (result.is_void) {
      std::printf("seed %llu: void (%s)\n", number, result.summary.c_str());
      ++totals.void_runs;
    } else if (result.violations.empty()) {
      std::printf("seed %llu: ok (%s, %s)\n", number, plan.profile.name.c_str(), result.summary.c_str());
      ++totals.held;
    } else {
      std::printf("seed %llu: %s (%s, %s; logs in %s); again: sh tests/soak.sh %llu 1\n", number,
                  Join(result.violations).c_str(), plan.profile.name.c_str(), result.summary.c_str(),
                  result.kept_folder.c_str(), number);
      ++totals.violated;
    }
    std::fflush(stdout);
    if (!result.is_void) return;
  }
}

}  // namespace

int main(int argc, char** argv) {
  long first = 0;
  long count = 0;
  if (argc != 3 || !ParseNumber(argv[1], first) || !ParseNumber(argv[2], count)) {
    std::fprintf(stderr, "soak: FIRST_SEED and COUNT must be whole numbers from 1 up\n");
    return 2;
  }
  Totals totals;
  try {
    for (long seed = first; seed < first + count; ++seed) PlaySeed(static_cast<std::uint64_t>(seed), totals);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "soak: %s\n", error.what());
    return 2;
  }
  std::printf("%ld seeds: %d ok, %d violated, %d void runs\n", count, totals.held, totals.violated,
              totals.void_runs);
  return totals.held == count ? 0 : 1;
}
