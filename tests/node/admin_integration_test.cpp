// Tests of the admin server of a whole node: readiness, metrics, malformed requests.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "integration_fixture.h"

namespace {

using namespace node_tests;

class NodeAdminServerTest : public NodeIntegrationTest {};

INSTANTIATE_TEST_SUITE_P(Threads, NodeAdminServerTest, kThreadCounts, ThreadCountName);

// Requests may arrive in pieces, and connections without a complete request do not block other clients.
TEST_P(NodeAdminServerTest, ServesReadinessAndMetricsDespiteIncompleteAndMalformedCalls) {
  RunningNode node(Options());
  std::vector<Gateway> idle;
  idle.reserve(20);
  for (int i = 0; i < 20; ++i) idle.emplace_back(node.admin_port());
  Gateway partial(node.admin_port());
  partial.Write("GET /ops/readiness HT");
  ASSERT_TRUE(node.Get("/ops/readiness").starts_with("HTTP/1.1 503 "));  // The worker pool is not connected.
  PoolLink link(node.pool, 0);
  AcceptCommands(link);
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kFirst, "x"));
  link.ReadCommand();
  partial.Write("TP/1.1\r\nHost: n3\r\n\r");
  partial.Write("\n");
  ASSERT_TRUE(partial.socket().ReadToEnd().starts_with("HTTP/1.1 200 "));
  ASSERT_TRUE(node.Get("/ops/stats?all").starts_with("HTTP/1.1 200 "));
  ASSERT_TRUE(node.Get("/ops").starts_with("HTTP/1.1 404 "));
  ASSERT_TRUE(node.SendAdminRequest("POST /ops/stats HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 405 "));
  for (const char* malformed :
       {"nonsense\r\n\r\n", "GET  HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nno field\r\n\r\n"}) {
    ASSERT_TRUE(node.SendAdminRequest(malformed).starts_with("HTTP/1.1 400 "));
  }
  ASSERT_TRUE(node.SendAdminRequest("GET /" + std::string(9000, 'x')).starts_with("HTTP/1.1 400 "));
  for (Gateway& caller : idle)
    ASSERT_TRUE(caller.socket().ClosedOrReset());  // Closed by the server's deadline at the latest.
  node.RequestDrain();
  ASSERT_EQ(gateway.Read().type, kStopNewRequestsFrame);
  ASSERT_TRUE(node.Get("/ops/readiness").starts_with("HTTP/1.1 503 "));
}

// Each outcome is counted when its answer is written. The metrics contain each class and outcome from the
// start, with count 0.
TEST_P(NodeAdminServerTest, CountsEachOutcomeOnce) {
  RunningNode node(Options());
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kFirst, "x"));  // Rejected: the worker pool is not connected.
  gateway.ReadAnswer(1, kRejected);
  PoolLink link(node.pool, 0);
  AcceptCommands(link);
  std::string metrics = node.Get("/ops/stats");
  ASSERT_TRUE(HasLine(
      metrics,
      "edge_node_calls{tier=\"usage-view\",code=\"success\"} 0"));  // Present before the first request.
  gateway.Write(Gateway::Request(2, kFirst, "x"));
  link.ReadCommand();
  ASSERT_TRUE(HasLine(node.Get("/ops/stats"), "edge_node_inflight 1"));
  link.SendFinished(1, kFirst, "complete", "y");
  gateway.ReadAnswer(2, kServed);
  gateway.Write(Gateway::Request(3, kSecond, "x"));
  link.ReadCommand();
  link.SendFinished(2, kSecond, "error", "");
  gateway.ReadAnswer(3, kFailed);
  gateway.Write(Gateway::Request(4, kSecond, "x"));  // An attempt id that was used before.
  gateway.ReadAnswer(4, kFailed);
  gateway.Write(Gateway::Request(5, kThird, "x", {{"via", "none"}}));  // Malformed.
  gateway.ReadAnswer(5, kRejected);
  gateway.Write(Gateway::Request(6, kThird, "x", {{"kind", "no-such"}}));  // Unknown class: not counted.
  gateway.ReadAnswer(6, kRejected);
  gateway.Write(Gateway::Request(7, kThird, "x"));
  link.ReadCommand();
  gateway.Write(peers::EncodeNumber(1, 4) + std::string(5, '\0'));  // A framing error fails open requests.
  gateway.ReadAnswer(7, kFailed);
  gateway.ReadAnswer(0, kFailed);
  // An event loop reports the failed request after it has sent the answer.
  do {
    metrics = node.Get("/ops/stats");
  } while (!HasLine(metrics, "edge_node_inflight 0"));
  ASSERT_TRUE(HasLine(metrics, "edge_node_calls{tier=\"order-lodge\",code=\"success\"} 1"));
  ASSERT_TRUE(HasLine(metrics, "edge_node_calls{tier=\"order-lodge\",code=\"busy\"} 2"));
  ASSERT_TRUE(HasLine(metrics, "edge_node_calls{tier=\"order-lodge\",code=\"failure\"} 3"));
  ASSERT_TRUE(HasLine(metrics, "edge_node_backend_calls 3"));
}

}  // namespace
