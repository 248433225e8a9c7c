// What a choice costs, and dividing services among nodes. docs/measurements/spread.md has its figures.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "decide/load_balancing/load_balancer.h"

namespace {

using namespace hingelink::decide;
using Clock = std::chrono::steady_clock;

std::vector<SubsetEndpoint> Services(std::size_t count) {
  std::vector<SubsetEndpoint> services;
  for (std::size_t i = 0; i < count; ++i) services.push_back({"s" + std::to_string(i), "", 2});
  return services;
}

double Choices(Policy way, std::size_t services, std::size_t subset) {
  LoadBalancerOptions options;
  options.policy = way;
  options.subset_size = subset;
  std::uint64_t draw = 1;
  LoadBalancer spread(options, "n0", "", [&draw] {
    draw ^= draw << 13;
    draw ^= draw >> 7;
    return draw ^= draw << 17;
  });
  Milliseconds now(0);
  spread.SetEndpoints(now, Services(services));
  for (const auto id : spread.endpoints()) spread.SetConnected(now, id, true);
  constexpr int kRuns = 200'000;
  double spent = 0;
  for (int i = 0; i < kRuns; ++i) {
    now += Milliseconds(0.5);
    if (i % 50 == 0) {
      spread.Tick(now);
      for (const auto id : spread.EndpointsToPoll(now))
        spread.OnLoadReport(now, id, static_cast<double>(i % 7), now);
    }
    const auto began = Clock::now();
    const auto start = spread.ChooseEndpoint(now, {});
    spent += std::chrono::duration<double, std::nano>(Clock::now() - began).count();
    spread.OnRequestFinished(now, start->endpoint, {}, RequestOutcome::kSuccess, Milliseconds(10));
  }
  return spent / kRuns;
}

}  // namespace

int main() {
  std::printf("| way | services | in use | ns a choice |\n| --- | --- | --- | --- |\n");
  for (const Policy way : {Policy::kRandom, Policy::kTwoChoicesLocalLoad, Policy::kProbePool,
                           Policy::kTwoChoicesExpectedLatency}) {
    for (const std::size_t subset : {8u, 64u}) {
      std::vector<double> times;
      for (int i = 0; i < 3; ++i) times.push_back(Choices(way, 300, subset));
      std::sort(times.begin(), times.end());
      std::printf("| %s | 300 | %zu | %.0f (%.0f to %.0f) |\n", PolicyName(way), subset, times[1], times[0],
                  times[2]);
    }
  }
  for (const std::size_t count : {30u, 300u, 3000u}) {
    std::vector<SubsetNode> nodes;
    for (std::size_t i = 0; i < count; ++i) nodes.push_back({"n" + std::to_string(i), ""});
    const auto services = Services(std::min<std::size_t>(count, 300));
    const auto began = Clock::now();
    const auto subsets = AssignSubsets(nodes, services, 8);
    std::printf("%zu nodes, %zu services: divided in %.1f ms\n", subsets.size(), services.size(),
                std::chrono::duration<double, std::milli>(Clock::now() - began).count());
  }
  return 0;
}
