#include "decide/load_balancing/slow_start.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "balanced_node.h"

namespace hingelink::decide {
namespace {

// Two endpoints. The second is disconnected until Connect() is called.
class ReconnectedEndpoint : public testing::Test {
 protected:
  ReconnectedEndpoint() {
    node_.RunRequests(300);
    reconnected_ = node_.active()[1];
    node_.balancer().SetConnected(node_.now, reconnected_, false);
  }
  void Connect() { node_.balancer().SetConnected(node_.now, reconnected_, true); }
  // Starts requests while the reconnected endpoint reports no load and the other endpoint reports a high
  // load. Finishes only the requests at the other endpoint. Returns the number of requests in flight at the
  // reconnected endpoint.
  std::size_t StartRequests() {
    std::size_t in_flight = 0;
    for (int i = 0; i < 40; ++i) {
      for (const EndpointId id : node_.active()) node_.ReportLoad(id, id == reconnected_ ? 0 : 6);
      const Choice choice = node_.StartRequest();
      if (choice.endpoint == reconnected_) {
        ++in_flight;
      } else {
        node_.FinishRequest(choice.endpoint);
      }
      node_.now += Milliseconds(1);
    }
    return in_flight;
  }

  BalancedNode node_{2};
  EndpointId reconnected_ = kNoEndpoint;
};

TEST_F(ReconnectedEndpoint, IsNotChosenWhileDisconnected) {
  for (int i = 0; i < 50; ++i) EXPECT_NE(node_.RunRequest().endpoint, reconnected_);
}

TEST_F(ReconnectedEndpoint, HasAtMostOneRequestInFlightUntilItResponds) {
  for (int i = 0; i < 50; ++i) node_.RunRequest();
  Connect();
  EXPECT_LE(StartRequests(), 1u);
}

TEST_F(ReconnectedEndpoint, IsHealthyAfterSuccessfulResponses) {
  Connect();
  const std::size_t in_flight = StartRequests();
  for (std::size_t i = 0; i < in_flight; ++i) node_.FinishRequest(reconnected_);
  node_.RunRequests(200);
  EXPECT_EQ(node_.StateOf(reconnected_), EndpointState::kHealthy);
}

TEST(SlowStart, FewNodesUseASharedEndpointImmediatelyAfterItReconnects) {
  LoadBalancerOptions options;
  options.subset_size = 2;
  std::size_t at_once = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    BalancedNode node(2, options, seed * 977);
    node.balancer().SetNodes(node.now, MakeNodes(200));
    node.RunRequests(200);
    const EndpointId reconnected = node.active()[1];
    node.Reconnect(reconnected);
    for (int i = 0; i < 3; ++i) at_once += node.StartRequest().endpoint == reconnected ? 1 : 0;
  }
  EXPECT_LT(at_once, 20u);
}

TEST(SlowStart, RecoveringEndpointInitiallyReceivesASmallShare) {
  LoadBalancerOptions options;
  options.reaction_delay_factor = 0;
  std::size_t chosen = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    BalancedNode node(8, options, seed * 31);
    node.RunRequests(100);
    const EndpointId reconnected = node.active()[3];
    node.Reconnect(reconnected);
    chosen += node.StartRequest().endpoint == reconnected ? 1 : 0;
  }
  // An equal share would be 12 requests. Choosing the less loaded of two random endpoints would give 25.
  EXPECT_LT(chosen, 6u);
}

}  // namespace
}  // namespace hingelink::decide
