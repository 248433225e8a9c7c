#include "decide/upstream/connection_selection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace hingelink::decide {
namespace {

constexpr std::size_t kCalls = 100;

// Returns the connections after `calls` calls were started and none was answered.
std::vector<ConnectionCandidate> StartCalls(std::size_t calls) {
  std::vector<ConnectionCandidate> connections;
  for (std::size_t i = 0; i < calls; ++i) {
    const std::size_t selected = SelectConnection(connections, true);
    if (selected == kNewConnection) connections.emplace_back();
    ++connections[selected == kNewConnection ? connections.size() - 1 : selected].in_flight;
  }
  return connections;
}

TEST(ConnectionSelection, OpensConnectionsUpToTheLimit) {
  EXPECT_EQ(StartCalls(kCalls).size(), kMaxUpstreamConnections);
}

TEST(ConnectionSelection, DistributesCallsEvenlyOverConnections) {
  for (const ConnectionCandidate& connection : StartCalls(kCalls)) {
    EXPECT_LE(connection.in_flight, kCalls / kMaxUpstreamConnections + 1);
  }
}

TEST(ConnectionSelection, SelectsTheFirstIdleConnection) {
  std::vector<ConnectionCandidate> connections = StartCalls(kCalls);
  connections[5].in_flight = connections[9].in_flight = 0;
  EXPECT_EQ(SelectConnection(connections, true), 5u);
}

TEST(ConnectionSelection, OpensOnlyOneConnectionToAFailedUpstreamUntilItReplies) {
  const std::vector<ConnectionCandidate> connections(1, {.in_flight = 30, .excluded = false});
  EXPECT_EQ(SelectConnection(connections, false), 0u);
  EXPECT_EQ(SelectConnection({}, false), kNewConnection);
}

RC_GTEST_PROP(ConnectionSelection, SelectsLeastLoadedNonExcludedConnectionOrOpensOneBelowTheLimit, ()) {
  std::vector<ConnectionCandidate> connections(
      *rc::gen::inRange<std::size_t>(0, kMaxUpstreamConnections + 1));
  for (ConnectionCandidate& connection : connections) {
    connection.in_flight = *rc::gen::inRange<std::size_t>(0, 5);
    connection.excluded = *rc::gen::arbitrary<bool>();
  }
  const std::size_t selected = SelectConnection(connections, *rc::gen::arbitrary<bool>());
  if (selected == kNewConnection) {
    const bool all_excluded = std::all_of(connections.begin(), connections.end(),
                                          [](const auto& connection) { return connection.excluded; });
    RC_ASSERT(all_excluded || connections.size() < kMaxUpstreamConnections);
    return;
  }
  RC_ASSERT(!connections[selected].excluded);
  for (const ConnectionCandidate& other : connections) {
    RC_ASSERT(other.excluded || other.in_flight >= connections[selected].in_flight);
  }
}

}  // namespace
}  // namespace hingelink::decide
