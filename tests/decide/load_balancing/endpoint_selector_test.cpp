// Tests that an endpoint which is well again receives its share of the requests.
#include "decide/load_balancing/endpoint_selector.h"

#include <gtest/gtest.h>

#include <vector>

#include "balanced_node.h"

namespace hingelink::decide {
namespace {

// Runs waves of requests like a node under light load: four requests at a time, and polls between the waves.
class EndpointSelectorTest : public testing::TestWithParam<Policy> {
 protected:
  static constexpr std::size_t kEndpoints = 4;
  static constexpr std::size_t kRequestsPerWave = 4;
  // More than one request at a time, so that no endpoint is chosen because the others are busy.
  static constexpr double kCapacity = 4;
  static constexpr Milliseconds kTickInterval{25};

  EndpointSelectorTest() {
    node_.balancer().SetEndpoints(node_.now, MakeEndpoints(kEndpoints, 1, kCapacity));
    RunWaves(200);
    endpoint_ = node_.active().back();
  }

  // The slow endpoint, if given, responds after `slow_latency`, the others after BalancedNode::kLatency.
  void RunWave(EndpointId slow = kNoEndpoint, Milliseconds slow_latency = {}) {
    std::vector<EndpointId> chosen;
    for (std::size_t i = 0; i < kRequestsPerWave; ++i) chosen.push_back(node_.StartRequest().endpoint);
    node_.AdvanceTime(BalancedNode::kLatency);
    for (const EndpointId id : chosen)
      node_.FinishRequest(id, id == slow ? slow_latency : BalancedNode::kLatency);
    if (node_.now < next_tick_) return;
    next_tick_ = node_.now + kTickInterval;
    for (const EndpointId id : node_.balancer().EndpointsToPoll(node_.now)) node_.ReportLoad(id, 0);
  }
  void RunWaves(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) RunWave();
  }
  void RunWavesFor(Milliseconds span) {
    const Milliseconds end = node_.now + span;
    while (node_.now < end) RunWave();
  }
  double RequestsTo(EndpointId id) const { return static_cast<double>(node_.Snapshot(id).requests); }
  double FairShareOf(Milliseconds span) const {
    return span / BalancedNode::kLatency * kRequestsPerWave / kEndpoints;
  }

  LoadBalancerOptions options_ = [] {
    LoadBalancerOptions options;
    options.policy = GetParam();
    return options;
  }();
  BalancedNode node_{kEndpoints, options_};
  Milliseconds next_tick_{0};
  EndpointId endpoint_ = kNoEndpoint;
};

INSTANTIATE_TEST_SUITE_P(Policies, EndpointSelectorTest,
                         testing::Values(Policy::kProbePool, Policy::kTwoChoicesExpectedLatency));

// Guards against an endpoint that gets what the others leave because it comes last in the order of the list.
TEST_P(EndpointSelectorTest, EqualEndpointsGetEqualShares) {
  std::vector<double> before;
  for (const EndpointId id : node_.active()) before.push_back(RequestsTo(id));
  const Milliseconds span{2'000};
  RunWavesFor(span);
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    EXPECT_GT(RequestsTo(node_.active()[i]) - before[i], FairShareOf(span) * 2 / 3) << i;
  }
}

// Guards against an endpoint that is avoided for one slow response, with no further response to correct it.
TEST_P(EndpointSelectorTest, EndpointThatWasSlowForAMomentHasItsShareAfterTheBaseEjectionTime) {
  while (node_.Snapshot(endpoint_).latency_ratio < 1.2) RunWave(endpoint_, 4 * BalancedNode::kLatency);
  RunWavesFor(options_.base_ejection_time);
  const double before = RequestsTo(endpoint_);
  RunWavesFor(options_.base_ejection_time);
  EXPECT_GT(RequestsTo(endpoint_) - before, FairShareOf(options_.base_ejection_time) / 2);
}

// Guards against a recovering endpoint that is never chosen while the others are healthy, so that it has no
// responses by which its share could grow.
TEST_P(EndpointSelectorTest, RecoveringEndpointIsHealthyWithinItsSlowStartAmongIdleOnes) {
  node_.Reconnect(endpoint_);
  for (int i = 0; i < 100; ++i) {
    node_.ReportLoadOfAll(0);
    RunWave();
  }
  EXPECT_EQ(node_.StateOf(endpoint_), EndpointState::kHealthy);
}

// Guards against an endpoint that is avoided for one slow response while it has too few responses for its
// latency to be evaluated.
TEST_P(EndpointSelectorTest, EndpointWhoseFirstResponseWasSlowHasItsShare) {
  node_.Reconnect(endpoint_);
  while (node_.Snapshot(endpoint_).latency_ratio < 1.2) RunWave(endpoint_, 2 * BalancedNode::kLatency);
  const double before = RequestsTo(endpoint_);
  RunWavesFor(options_.max_slow_start / 2);
  EXPECT_GT(RequestsTo(endpoint_) - before, FairShareOf(options_.max_slow_start / 2) / 4);
}

}  // namespace
}  // namespace hingelink::decide
