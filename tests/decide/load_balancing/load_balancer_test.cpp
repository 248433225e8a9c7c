#include "decide/load_balancing/load_balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "balanced_node.h"

namespace hingelink::decide {
namespace {

LoadBalancerOptions DrawOptions() {
  LoadBalancerOptions options;
  options.policy = static_cast<Policy>(*rc::gen::inRange(0, static_cast<int>(kPolicies)));
  options.subset_size = *rc::gen::inRange<std::size_t>(1, 6);
  return options;
}

// Applies random events to a load balancer and checks its invariants after each event.
class RandomEvents {
 public:
  RandomEvents()
      : options_(DrawOptions()),
        node_(*rc::gen::inRange<std::size_t>(1, 9), options_, *rc::gen::inRange<std::uint64_t>(1, 1 << 20)) {}

  void Step() {
    node_.now += Milliseconds(*rc::gen::inRange(0, 300));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        balancer().SetConnected(node_.now, AnyEndpoint(), node_.Random() % 3 != 0);
        break;
      case 1:
        ChangeEndpoints();
        break;
      case 2:
        balancer().OnLoadReport(node_.now, AnyEndpoint(), static_cast<double>(node_.Random() % 20),
                                node_.now - Milliseconds(5));
        break;
      case 3:
        for (const EndpointId id : balancer().EndpointsToPoll(node_.now)) RC_ASSERT(IsConnected(id));
        break;
      case 4:
        FinishRequest();
        break;
      default:
        StartRequest();
    }
    balancer().Tick(node_.now);
    CheckInvariants();
  }

 private:
  LoadBalancer& balancer() { return node_.balancer(); }
  EndpointId AnyEndpoint() {
    const std::vector<EndpointId> endpoints = balancer().endpoints();
    return endpoints[node_.Random() % endpoints.size()];
  }
  bool IsConnected(EndpointId id) const { return node_.StateOf(id) != EndpointState::kDisconnected; }

  void ChangeEndpoints() {
    auto endpoints = MakeEndpoints(1 + node_.Random() % 9);
    const auto first = static_cast<std::ptrdiff_t>(node_.Random() % endpoints.size());
    std::rotate(endpoints.begin(), endpoints.begin() + first, endpoints.end());
    balancer().SetEndpoints(node_.now, endpoints);
  }
  void FinishRequest() {
    if (open_.empty()) return;
    const auto [id, request] = open_.back();
    open_.pop_back();
    const auto outcome = static_cast<RequestOutcome>(node_.Random() % 3);
    node_.FinishRequest(id, Milliseconds(static_cast<double>(node_.Random() % 200)), outcome, request);
  }
  void StartRequest() {
    const RequestTraits request{.request_kind = static_cast<std::uint32_t>(node_.Random() % 3),
                                .is_idempotent = node_.Random() % 4 != 0};
    EndpointId excluded = kNoEndpoint;
    if (node_.Random() % 8 == 0 && balancer().TryConsumeRetry()) {
      excluded = AnyEndpoint();
      ++retries_;
    }
    const auto choice = balancer().ChooseEndpoint(node_.now, request, excluded);
    const std::vector<EndpointId> endpoints = balancer().endpoints();
    RC_ASSERT(choice.has_value() == std::any_of(endpoints.begin(), endpoints.end(),
                                                [this](EndpointId id) { return IsConnected(id); }));
    if (!choice) return;
    ++requests_;
    const EndpointSnapshot chosen = node_.Snapshot(choice->endpoint);
    RC_ASSERT(!chosen.name.empty() && chosen.state != EndpointState::kDisconnected);
    if (choice->reason == ChoiceReason::kHalfOpenProbe) {
      RC_ASSERT(request.is_idempotent && chosen.local_in_flight == 1u);
    }
    open_.emplace_back(choice->endpoint, request);
  }
  void CheckInvariants() {
    const auto connected = std::count_if(node_.active().begin(), node_.active().end(),
                                         [this](EndpointId id) { return IsConnected(id); });
    const std::size_t ejected = node_.EjectedCount();
    // Ejected endpoints stay ejected when other endpoints are removed, so the limit is checked only when
    // another endpoint is ejected.
    if (ejected > ejected_before_) {
      RC_ASSERT(static_cast<double>(ejected) <=
                options_.max_ejected_fraction * static_cast<double>(connected));
    }
    ejected_before_ = ejected;
    RC_ASSERT(retries_ <= options_.max_retry_budget + options_.retry_budget_fraction * requests_);
    RC_ASSERT(balancer().recent_choices().size() <= options_.max_recent_choices);
  }

  LoadBalancerOptions options_;
  BalancedNode node_;
  std::vector<std::pair<EndpointId, RequestTraits>> open_;
  double requests_ = 0;
  double retries_ = 0;
  std::size_t ejected_before_ = 0;
};

RC_GTEST_PROP(LoadBalancer, EveryPolicyChoosesConnectedEndpointsWithinEjectionAndRetryLimits, ()) {
  RandomEvents events;
  for (int step = 0; step < 300; ++step) events.Step();
}

TEST(LoadBalancer, ChoosesAmongAllConnectedEndpointsIfAllAreEjected) {
  LoadBalancerOptions options;
  options.max_ejected_fraction = 1;
  BalancedNode node(3, options);
  node.RunRequests(200);
  // The requests are never finished, so no endpoint responds.
  for (int i = 0; i < 60; ++i) {
    const RequestTraits write{.request_kind = 0, .is_idempotent = false};
    ASSERT_TRUE(node.balancer().ChooseEndpoint(node.now, write).has_value());
    node.AdvanceTime(Milliseconds(100));
  }
  EXPECT_GT(node.balancer().counters().all_ejected_choices, 10u);
}

class EachPolicy : public testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(Policies, EachPolicy, testing::Range<std::size_t>(0, kPolicies));

TEST_P(EachPolicy, SendsARequestOrPollToEachActiveEndpointWithinMaxUnprobedTime) {
  LoadBalancerOptions options;
  options.policy = static_cast<Policy>(GetParam());
  BalancedNode node(8, options);
  node.RunRequests(100);
  std::map<EndpointId, Milliseconds> used_at;
  for (const EndpointId id : node.active()) used_at[id] = node.now;
  Milliseconds longest{0};
  // One endpoint always reports a high load.
  for (int i = 0; i < 3'000; ++i) {
    used_at[node.RunRequest(Milliseconds(5)).endpoint] = node.now;
    for (const EndpointId id : node.balancer().EndpointsToPoll(node.now)) {
      used_at[id] = node.now;
      node.ReportLoad(id, id == node.active()[0] ? 50 : 0);
    }
    for (const auto& [id, at] : used_at) longest = std::max(longest, node.now - at);
  }
  EXPECT_LE(longest.count(), options.max_unprobed_time.count() * 1.5) << PolicyName(options.policy);
}

TEST(LoadBalancer, RetryIsNotSentToTheEndpointThatDidNotExecuteTheRequest) {
  BalancedNode node(3);
  node.RunRequests(100);
  const EndpointId excluded = node.active()[0];
  for (int i = 0; i < 60; ++i) {
    const Choice choice = node.StartRequest({}, excluded);
    EXPECT_NE(choice.endpoint, excluded);
    node.FinishRequest(choice.endpoint);
  }
}

TEST(LoadBalancer, RelistedEndpointKeepsItsIdAndRequestsInFlight) {
  BalancedNode node(3);
  node.RunRequests(100);
  const EndpointId id = node.StartRequest().endpoint;
  const std::string name = node.Snapshot(id).name;
  auto remaining = MakeEndpoints(3);
  std::erase_if(remaining, [&](const SubsetEndpoint& endpoint) { return endpoint.name == name; });
  node.balancer().SetEndpoints(node.now, remaining);
  node.balancer().SetEndpoints(node.now, MakeEndpoints(3));
  EXPECT_EQ(node.balancer().FindEndpoint(name), id);
  EXPECT_EQ(node.Snapshot(id).local_in_flight, 1u);
}

TEST(Policy, NameIsParsedToThePolicyAndUnknownNameIsRejected) {
  for (std::size_t i = 0; i < kPolicies; ++i) {
    const auto policy = static_cast<Policy>(i);
    EXPECT_EQ(ParsePolicy(PolicyName(policy)), policy);
  }
  EXPECT_EQ(ParsePolicy("unknown"), std::nullopt);
}

}  // namespace
}  // namespace hingelink::decide
