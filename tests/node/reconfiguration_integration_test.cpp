// Tests of the drain and the configuration reload of a whole node while requests are in flight.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "integration_fixture.h"

namespace {

using namespace node_tests;

// Replaces the first `from` after the first `anchor` in `text`.
std::string Replace(std::string text, const std::string& anchor, const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from, text.find(anchor));
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

class NodeReconfigurationTest : public NodeIntegrationTest {};

INSTANTIATE_TEST_SUITE_P(Threads, NodeReconfigurationTest, kThreadCounts, ThreadCountName);

// The drain is announced to the gateways and the registry. A request that arrives after the notice is
// rejected.
TEST_P(NodeReconfigurationTest, DrainIsAnnouncedAndEveryRequestReadIsAnswered) {
  NodeOptions options = Options();
  options.drain_timeout_ms = 2000;
  RunningNode node(options);
  PoolLink link(node.pool, 0);
  AcceptCommands(link);
  peers::Socket registry = node.registry.Accept();
  ASSERT_EQ(registry.ReadLine(), "PUT /v1/instances/n3 HTTP/1.1");
  while (registry.ReadLine() != "") {
  }
  ASSERT_EQ(registry.ReadBytes(17), R"({"state":"ready"})");
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kFirst, "held"));
  link.ReadCommand();
  node.RequestDrain();
  ASSERT_EQ(gateway.Read().type, kStopNewRequestsFrame);
  // The report in flight completes first; the new state follows at once, not a report interval later.
  registry.Write("HTTP/1.1 204 No Content\r\n\r\n");
  while (registry.ReadLine() != "") {
  }
  ASSERT_EQ(registry.ReadBytes(20), R"({"state":"draining"})");
  // Arrives after the drain grace period, which is 0 here.
  gateway.Write(Gateway::Request(2, kSecond, "late", {{"ts", std::to_string(Gateway::UnixMs() + 1)}}));
  gateway.ReadAnswer(2, kRejected);
  gateway.ReadAnswer(1, kFailed);  // Its execution never finishes, so the request fails before the kill.
  node.Join();
  ASSERT_TRUE(gateway.socket().ClosedOrReset());
}

// An invalid configuration is ignored.
TEST_P(NodeReconfigurationTest, ReloadConnectsToNewAddressesAndKeepsRequestsInFlight) {
  RunningNode node(Options());
  peers::Listener pool;
  peers::Listener registry;
  peers::Listener second_pool;
  peers::Listener second_registry;
  PoolLink old_link(node.pool, 0);
  AcceptCommands(old_link);
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kFirst, "first"));
  old_link.ReadCommand();
  const std::string moved = node.ConfigWithPeers(pool, registry);
  const std::string moved_again = node.ConfigWithPeers(second_pool, second_registry);
  node.Reload("{\"pool\":");
  // The old link still carries commands.
  old_link.SendFinished(1, kFirst, "complete", "old");
  ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, "old");
  gateway.Write(Gateway::Request(2, kSecond, "second"));
  ASSERT_TRUE(old_link.ReadCommand().starts_with("spawn " + kSecond));
  node.Reload(moved);
  peers::Socket reports = registry.Accept();
  ASSERT_TRUE(reports.ReadLine().starts_with("PUT "));
  PoolLink fresh(pool, 1);
  // A second reload before the new link carries commands.
  node.Reload(moved_again);
  ASSERT_TRUE(second_registry.Accept().ReadLine().starts_with("PUT "));
  PoolLink link(second_pool, 1);
  link.SendBound();
  const std::string barrier = link.ReadLine();
  ASSERT_TRUE(barrier.starts_with("poll "));
  // The execution finished during the reloads: the pool replays its notice, and the node does not send the
  // command again.
  link.SendFinished(2, kSecond, "complete", "moved");
  link.AnswerPoll(barrier);
  ASSERT_EQ(gateway.ReadAnswer(2, kServed).body, "moved");
  gateway.Write(Gateway::Request(3, kThird, "third"));
  ASSERT_TRUE(link.ReadCommand().starts_with("spawn " + kThird));
}

// Requests of a class that the reload removes are in flight.
TEST_P(NodeReconfigurationTest, ReloadOfClassesIsAppliedCompletelyOrNotAtAll) {
  ServingNode serving(Options());
  RunningNode& node = serving.node;
  PoolLink& link = serving.link;
  Gateway& gateway = serving.gateway;
  const std::string first = node.config();
  int failed = 0;
  const auto await_metric = [&](const std::string& metric, int count) {
    while (!HasLine(node.Get("/ops/stats"), metric + ' ' + std::to_string(count))) {
    }
  };
  const std::string order_class = "order-lodge";
  for (const std::string& invalid :
       {std::string(), first.substr(0, first.size() - 1), Replace(first, order_class, ",\"worth\":5.0", ""),
        Replace(first, "rules", "\"fallMs\":1500.0,", ""),
        Replace(first, "{", "\"ops\":\"127.0.0.1:0\",", ""),
        Replace(first, order_class, "\"repeat\":\"unsafe\",", ""),
        Replace(first, order_class, "4900.0", "\"4900.0\""), Replace(first, order_class, "4900.0", "null"),
        Replace(first, order_class, "4900.0", "0"), Replace(first, order_class, "4900.0", "-1"),
        Replace(first, order_class, "4900.0", "1e999"), Replace(first, "", order_class, "usage-view"),
        Replace(first, "specifics", "\"cpus\":1", "\"cpus\":\"1\""),
        Replace(Replace(first, "", order_class, "order-new"), "order-new", "\"goalTimeMs\":2000.0,", "")}) {
    node.Reload(invalid);
    await_metric("edge_node_reconfig_failed", ++failed);
  }
  gateway.Write(Gateway::Request(1, kFirst, "x"));
  link.ReadCommand();
  // A distinct arrival time: with equal times, either request may start first.
  gateway.Write(Gateway::Request(2, kSecond, "held", {{"ts", std::to_string(Gateway::UnixMs() - 100)}}));
  gateway.Write(Gateway::HealthCheck(9));
  ASSERT_EQ(gateway.Read().type, kHealthResponseFrame);  // Both have been read.
  node.Reload(Replace(Replace(first, "", order_class, "order-new"), "", "usage-view", "usage-new"));
  await_metric("edge_node_reconfig_ok", 1);
  gateway.Write(Gateway::Request(3, kThird, "x"));
  gateway.ReadAnswer(3, kRejected);  // Its class was removed.
  gateway.Write(Gateway::Request(4, kFourth, "x", {{"kind", "order-new"}}));
  link.SendFinished(1, kFirst, "complete", "y");
  ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, "y");
  ASSERT_EQ(link.ReadCommand(), "spawn " + kSecond + " order-lodge 4");
  link.SendFinished(2, kSecond, "complete", "z");
  ASSERT_EQ(gateway.ReadAnswer(2, kServed).body, "z");
  ASSERT_EQ(link.ReadCommand(), "spawn " + kFourth + " order-new 1");
  const std::string metrics = node.Get("/ops/stats");
  ASSERT_TRUE(HasLine(metrics, "edge_node_calls{tier=\"usage-new\",code=\"busy\"} 0"));
  ASSERT_TRUE(HasLine(metrics, "edge_node_calls{tier=\"order-lodge\",code=\"success\"} 2"));
}

}  // namespace
