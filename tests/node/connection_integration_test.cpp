// Tests of the gateway connections of a whole node: framing errors, slow peers, the descriptor limit.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "integration_fixture.h"

namespace {

using namespace node_tests;

// Sends health checks on `connection` for `duration_ms` and reads the responses.
void SendHealthChecks(Gateway& connection, std::uint64_t duration_ms) {
  for (const std::uint64_t began = Gateway::UnixMs(); Gateway::UnixMs() < began + duration_ms;) {
    connection.Write(kHealthCheck);
    ASSERT_EQ(connection.Read().type, kHealthResponseFrame);
  }
}

class NodeConnectionTest : public NodeIntegrationTest {};

INSTANTIATE_TEST_SUITE_P(Threads, NodeConnectionTest, kThreadCounts, ThreadCountName);

// The error is reported on stream 0. Corrupted requests, the same in every run, do not end the node.
TEST_P(NodeConnectionTest, FramingErrorClosesOnlyItsConnection) {
  RunningNode node(Options());
  PoolLink link(node.pool, 0);
  AcceptCommands(link);
  Gateway good(node.port());
  const std::string faults[] = {
      peers::EncodeNumber(4, 4) + std::string(5, '\0'),
      peers::EncodeNumber(262'145, 4) + std::string(5, '\0'),
      Gateway::Encode(3, 1, ""),
      Gateway::Request(0, kFirst, "x"),
      Gateway::Encode(1, 1, ""),
  };
  for (const std::string& fault : faults) {
    Gateway gateway(node.port());
    gateway.Write(fault);
    gateway.ReadAnswer(0, kFailed);
    ASSERT_TRUE(gateway.socket().ClosedOrReset());
  }
  // Requests with random bytes: the answers are not checked, but the node must keep serving.
  std::mt19937_64 draw(7);
  for (int round = 0; round < 200; ++round) {
    Gateway gateway(node.port());
    std::string noise = Gateway::Request(1, kSecond, "noise", {{"timeout", "1"}});
    for (int flips = 0; flips < 4; ++flips) noise[draw() % noise.size()] = static_cast<char>(draw());
    gateway.Write(noise);
  }
  good.Write(Gateway::Request(1, kFirst, "x"));
  while (link.ReadCommand().find(kFirst) == std::string::npos) {
  }
  link.SendFinished(1, kFirst, "complete", "y");
  ASSERT_EQ(good.ReadAnswer(1, kServed).body, "y");
}

// The open requests of the connection are also answered.
TEST_P(NodeConnectionTest, FramingErrorIsReportedWhileThePeerIsStillSending) {
  ServingNode serving(Options());
  auto& [node, link, gateway] = serving;
  gateway.Write(Gateway::Request(1, kFirst, "x"));
  link.ReadCommand();
  gateway.Write(peers::EncodeNumber(60'000'000, 4) + std::string(3'000'000, 'x'));
  gateway.ReadAnswer(1, kFailed);
  gateway.ReadAnswer(0, kFailed);
  ASSERT_TRUE(gateway.socket().ClosedCleanly());
}

// The least useful idle connection is evicted first: silent ones, then those with health checks only, then
// those with served requests. If no connection is idle, the new connection is closed. The limit leaves
// descriptors for the worker pool and the registry.
TEST_P(NodeConnectionTest, IdleConnectionsAreEvictedLeastUsefulFirstAtTheDescriptorLimit) {
  NodeOptions options = Options();
  options.max_descriptors = DescriptorLimit(64);
  RunningNode node(options);
  PoolLink link(node.pool, 0);
  AcceptCommands(link);
  Gateway served(node.port());
  served.Write(Gateway::Request(1, kFirst, "x"));
  link.ReadCommand();
  link.SendFinished(1, kFirst, "complete", "y");
  served.ReadAnswer(1, kServed);
  Gateway checks(node.port());
  checks.Write(kHealthCheck);
  ASSERT_EQ(checks.Read().type, kHealthResponseFrame);
  std::vector<Gateway> silent;
  silent.reserve(30);
  for (int i = 0; i < 30; ++i) silent.emplace_back(node.port());
  // The new connections evict the silent ones in order, then the connection that only sent a health check.
  std::vector<Gateway> more;
  for (int i = 0; i < 31; ++i) {
    more.emplace_back(node.port());
    more.back().Write(kHealthCheck);
    ASSERT_EQ(more.back().Read().type, kHealthResponseFrame);
    ASSERT_TRUE((i < 30 ? silent[i] : checks).socket().ClosedOrReset());
  }
  served.Write(kHealthCheck);
  ASSERT_EQ(served.Read().type, kHealthResponseFrame);
}

// An idle peer that has sent only complete frames keeps its connection.
TEST_P(NodeConnectionTest, PeerWithoutACompleteFrameIsDisconnected) {
  RunningNode node(Options());
  Gateway idle(node.port());
  Gateway silent(node.port());
  Gateway partial(node.port());
  Gateway endless(node.port());
  idle.Write(kHealthCheck);
  ASSERT_EQ(idle.Read().type, kHealthResponseFrame);
  partial.Write(kHealthCheck.substr(0, 7));
  Gateway used(node.port());
  used.Write(kHealthCheck + kHealthCheck.substr(0, 7));
  ASSERT_EQ(used.Read().type, kHealthResponseFrame);
  endless.Write(peers::EncodeNumber(200'000, 4) + peers::EncodeNumber(1, 5) + std::string(50'000, 'x'));
  endless.ReadAnswer(1, kRejected);
  const std::uint64_t began = Gateway::UnixMs();
  ASSERT_TRUE(silent.socket().ClosedOrReset());
  ASSERT_TRUE(partial.socket().ClosedOrReset());
  ASSERT_TRUE(endless.socket().ClosedOrReset());
  ASSERT_LT(Gateway::UnixMs() - began, 3000u);
  ASSERT_TRUE(used.socket().ClosedOrReset());
  idle.Write(kHealthCheck);
  ASSERT_EQ(idle.Read().type, kHealthResponseFrame);
}

// The first frame arrives in pieces, or the peer pauses within a later frame.
TEST_P(NodeConnectionTest, SlowClientWithFramesInPiecesIsServed) {
  RunningNode node(Options());
  Gateway clock(node.port());
  Gateway pieces(node.port());
  Gateway pause(node.port());
  pause.Write(kHealthCheck + kHealthCheck.substr(0, 7));
  ASSERT_EQ(pause.Read().type, kHealthResponseFrame);
  for (std::size_t at = 0; at < kHealthCheck.size(); at += 4) {
    pieces.Write(kHealthCheck.substr(at, 4));
    SendHealthChecks(clock, 1000);
  }
  ASSERT_EQ(pieces.Read().type, kHealthResponseFrame);
  pause.Write(kHealthCheck.substr(7));
  ASSERT_EQ(pause.Read().type, kHealthResponseFrame);
}

// A connection with only complete frames is not evicted.
TEST_P(NodeConnectionTest, IncompleteFramesThatFillTheDescriptorLimitAreEvictedOldestFirst) {
  NodeOptions options = Options();
  options.max_descriptors = DescriptorLimit(64);
  RunningNode node(options);
  Gateway clock(node.port());
  std::vector<Gateway> partial;
  for (int i = 0; i < 31; ++i) {
    partial.emplace_back(node.port());
    partial.back().Write(kHealthCheck.substr(0, 7));
  }
  SendHealthChecks(clock, 1300);
  Gateway next(node.port());
  next.Write(kHealthCheck);
  ASSERT_EQ(next.Read().type, kHealthResponseFrame);
  clock.Write(kHealthCheck);  // Not evicted.
  ASSERT_EQ(clock.Read().type, kHealthResponseFrame);
}

// Backpressure applies to each connection separately.
TEST_P(NodeConnectionTest, GatewayThatNeverReadsIsNoLongerReadAndDelaysNoOther) {
  RunningNode node(Options());
  PoolLink link(node.pool, 0);
  AcceptCommands(link);
  Gateway slow(node.port());
  std::string checks;
  while (checks.size() < 100'000) checks += kHealthCheck;
  // Sends until the socket buffers are full, which shows that the node has stopped reading.
  while (send(slow.socket().fd(), checks.data(), checks.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0) {
  }
  Gateway good(node.port());
  good.Write(kHealthCheck);
  ASSERT_EQ(good.Read().type, kHealthResponseFrame);
}

}  // namespace
