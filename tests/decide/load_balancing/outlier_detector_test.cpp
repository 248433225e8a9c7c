#include "decide/load_balancing/outlier_detector.h"

#include <gtest/gtest.h>

#include <cmath>
#include <set>

#include "balanced_node.h"

namespace hingelink::decide {
namespace {

constexpr Milliseconds kLatency = BalancedNode::kLatency;

// A node whose endpoints have answered enough requests to be compared.
class OutlierDetection : public testing::Test {
 protected:
  OutlierDetection() { node_.RunRequests(300); }

  // Runs a request that takes `factor` times as long at the slow endpoint.
  Choice RunWithSlowEndpoint(EndpointId slow, double factor) {
    const Choice choice = node_.StartRequest();
    const Milliseconds elapsed = choice.endpoint == slow ? kLatency * factor : kLatency;
    node_.now += elapsed;
    node_.FinishRequest(choice.endpoint, elapsed);
    node_.balancer().Tick(node_.now);
    return choice;
  }
  void EjectByLatency(EndpointId slow) {
    for (int i = 0; i < 4'000 && node_.StateOf(slow) != EndpointState::kEjected; ++i) {
      RunWithSlowEndpoint(slow, 8);
    }
  }
  void EjectAndWaitUntilHalfOpen(EndpointId slow) {
    EjectByLatency(slow);
    node_.AdvanceTime(Milliseconds(1'300));
  }
  // Runs `count` requests. If `fails`, those at the endpoint `failing` fail. Returns the longest remaining
  // ejection time of that endpoint.
  Milliseconds RunAndMeasureEjection(EndpointId failing, int count, bool fails) {
    Milliseconds longest{0};
    for (int i = 0; i < count; ++i) {
      const Choice choice = node_.StartRequest();
      const bool is_error = fails && choice.endpoint == failing;
      node_.now += kLatency;
      node_.FinishRequest(choice.endpoint, kLatency,
                          is_error ? RequestOutcome::kError : RequestOutcome::kSuccess);
      node_.balancer().Tick(node_.now);
      longest = std::max(longest, node_.Snapshot(failing).ejection_time_left);
    }
    return longest;
  }

  BalancedNode node_{8};
};

TEST_F(OutlierDetection, EjectsAnEndpointThatFailsFastAndReportsNoLoad) {
  constexpr Milliseconds kFailureLatency{0.2};
  const EndpointId failing = node_.active().front();
  std::size_t at_failing = 0;
  for (int i = 0; i < 400; ++i) {
    const Choice choice = node_.StartRequest();
    const bool fails = choice.endpoint == failing;
    at_failing += fails ? 1 : 0;
    const Milliseconds elapsed = fails ? kFailureLatency : kLatency;
    node_.now += elapsed;
    node_.FinishRequest(choice.endpoint, elapsed, fails ? RequestOutcome::kError : RequestOutcome::kSuccess);
    node_.ReportLoad(failing, 0);
    node_.balancer().Tick(node_.now);
  }
  // An equal share would be 50 requests.
  EXPECT_LT(at_failing, 25u);
  EXPECT_EQ(node_.Snapshot(failing).ejection_cause, EjectionCause::kErrorRate);
  // The endpoint is ejected again after a failed probe.
  EXPECT_GE(node_.Snapshot(failing).ejections, 2u);
}

TEST_F(OutlierDetection, EjectsNoEndpointIfAllHaveTheSameErrorRate) {
  for (int i = 0; i < 300; ++i) {
    node_.RunRequest(kLatency, i % 3 != 0 ? RequestOutcome::kError : RequestOutcome::kSuccess);
  }
  EXPECT_EQ(node_.balancer().counters().ejections, 0u);
}

TEST_F(OutlierDetection, EjectsASlowEndpoint) {
  const EndpointId slow = node_.active()[2];
  EjectByLatency(slow);
  EXPECT_EQ(node_.StateOf(slow), EndpointState::kEjected);
  EXPECT_EQ(node_.Snapshot(slow).ejection_cause, EjectionCause::kLatency);
}

TEST_F(OutlierDetection, ProbesAHalfOpenEndpointByIdempotentRequestsOnly) {
  const EndpointId slow = node_.active()[2];
  EjectAndWaitUntilHalfOpen(slow);
  ASSERT_EQ(node_.StateOf(slow), EndpointState::kHalfOpen);
  const RequestTraits write{.request_kind = 0, .is_idempotent = false};
  for (int i = 0; i < 30; ++i) {
    const Choice choice = node_.StartRequest(write);
    EXPECT_NE(choice.endpoint, slow);
    node_.FinishRequest(choice.endpoint, kLatency, RequestOutcome::kSuccess, write);
  }
}

TEST_F(OutlierDetection, HalfOpenEndpointRecoversAfterThreeSuccessfulProbes) {
  const EndpointId slow = node_.active()[2];
  EjectAndWaitUntilHalfOpen(slow);
  ASSERT_EQ(node_.StateOf(slow), EndpointState::kHalfOpen);
  std::size_t probes = 0;
  for (int i = 0; i < 10; ++i) {
    probes += RunWithSlowEndpoint(slow, 1).reason == ChoiceReason::kHalfOpenProbe ? 1 : 0;
  }
  EXPECT_EQ(probes, 3u);
  EXPECT_NE(node_.StateOf(slow), EndpointState::kHalfOpen);
  EXPECT_EQ(node_.balancer().counters().recoveries, 1u);
}

TEST_F(OutlierDetection, EjectionTimeGrowsWhileTheEndpointFails) {
  const Milliseconds longest = RunAndMeasureEjection(node_.active()[4], 1'500, true);
  EXPECT_GT(longest.count(), 3 * 1.25 * 1'000);
}

TEST_F(OutlierDetection, EjectionTimeIsResetAfterALongHealthyTime) {
  const EndpointId failing = node_.active()[4];
  RunAndMeasureEjection(failing, 1'500, true);
  RunAndMeasureEjection(failing, 6'000, false);
  Milliseconds next{0};
  for (int i = 0; i < 400 && next.count() == 0; ++i) next = RunAndMeasureEjection(failing, 1, true);
  EXPECT_GT(next.count(), 500);
  EXPECT_LT(next.count(), 1'251);
}

TEST(OutlierDetector, EjectsAnUnresponsiveEndpoint) {
  BalancedNode node(4);
  node.RunRequests(100);
  const EndpointId unresponsive = node.StartRequest().endpoint;
  for (int i = 0; i < 300; ++i) {
    const Choice choice = node.StartRequest();
    node.now += kLatency;
    if (choice.endpoint == unresponsive) continue;
    node.FinishRequest(choice.endpoint);
    node.balancer().Tick(node.now);
  }
  EXPECT_EQ(node.Snapshot(unresponsive).ejection_cause, EjectionCause::kUnresponsive);
}

TEST(OutlierDetector, NodesThatEjectAnEndpointTogetherHaveDifferentEjectionTimes) {
  std::set<double> ejection_times;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    BalancedNode node(8, {}, seed);
    node.RunRequests(200);
    const EndpointId rejecting = node.active()[0];
    for (int i = 0; i < 2'000 && node.StateOf(rejecting) != EndpointState::kEjected; ++i) {
      const Choice choice = node.StartRequest();
      const bool is_rejected = choice.endpoint == rejecting;
      node.FinishRequest(choice.endpoint, kLatency,
                         is_rejected ? RequestOutcome::kNotExecuted : RequestOutcome::kSuccess);
      node.now += kLatency;
    }
    ASSERT_EQ(node.StateOf(rejecting), EndpointState::kEjected);
    ejection_times.insert(std::round(node.Snapshot(rejecting).ejection_time_left.count() / 20));
  }
  EXPECT_GT(ejection_times.size(), 4u);
}

// All endpoints except the last are outliers.
class MaxEjectedFraction : public testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(EndpointCounts, MaxEjectedFraction, testing::Values(1, 2, 3, 9));

TEST_P(MaxEjectedFraction, IsNotExceeded) {
  LoadBalancerOptions options;
  options.subset_size = 9;
  BalancedNode node(GetParam(), options);
  node.RunRequests(300);
  for (int i = 0; i < 600; ++i) {
    const Choice choice = node.StartRequest();
    const bool is_healthy = choice.endpoint == node.active().back();
    const Milliseconds elapsed = is_healthy ? kLatency : kLatency * 10;
    node.now += elapsed;
    node.FinishRequest(choice.endpoint, elapsed,
                       is_healthy ? RequestOutcome::kSuccess : RequestOutcome::kError);
    node.balancer().Tick(node.now);
    ASSERT_LE(node.EjectedCount(), GetParam() * 34 / 100);
  }
}

}  // namespace
}  // namespace hingelink::decide
