// Integration tests of requests through a complete node: answers, rejections, shared reads, keyed requests
// and deadlines.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "integration_fixture.h"
#include "proto/pool_lines.h"

namespace {

using namespace node_tests;

// Adds tenants, a keyed class and an upstream store to the configuration, and callers that send no remaining
// wait.
std::string WithKeyedClass(std::string json, const std::string& store_address) {
  const auto replace = [&json](const std::string& old_text, const std::string& new_text) {
    const std::size_t at = json.find(old_text);
    ASSERT_NE(at, std::string::npos) << old_text;
    json.replace(at, old_text.size(), new_text);
  };
  replace(R"("requestClasses":[)",
          R"("requestClasses":[{"name":"claim","goalTimeMs":2000.0,"hardLimitMs":4900.0,
      "repeat":"keyed","windowMs":20000.0,"worth":1.0},)");
  replace(R"("tenants":[])", R"("tenants":[{"name":"north","portion":0.5,"quotaRps":90.0},
      {"name":"west","portion":0.5,"quotaRps":90.0}])");
  replace(R"("passesDeadline":true)", R"("passesDeadline":false)");
  replace(R"("dependsOn":"silent")",
          R"("dependsOn":"shared","callShare":8.0,"callsOverMs":5000.0,"lingersMs":200.0,
      "classCalls":[true,true,false],"worthWithout":[0.0,0.5,0.0])");
  replace(R"("pool":)", R"("store":")" + store_address + R"(","pool":)");
  return json;
}

class NodeRequestTest : public NodeIntegrationTest {};

INSTANTIATE_TEST_SUITE_P(Threads, NodeRequestTest, kThreadCounts, ThreadCountName);

// Bodies and results are binary and pass through unchanged. Each answer goes to the stream of its request.
TEST_P(NodeRequestTest, AnswersEachRequestOnItsStreamWithTheBytesOfItsExecution) {
  RunningNode node(Options());
  Gateway health_checker(node.port());
  health_checker.Write(Gateway::HealthCheck(1));
  Frame health = health_checker.Read();
  ASSERT_EQ(health.type, kHealthResponseFrame);
  ASSERT_EQ(health.code, 0);  // Healthy even before the pool is connected.
  PoolLink link(node.pool, 0);
  AcceptCommands(link);
  Gateway gateway(node.port());
  const std::string body("a\r\n\0b", 5);
  const std::string result("\0finished 9\r\n", 13);
  // Both requests have the same arrival time, because the older one would start first.
  const std::map<std::string, std::string> now = {{"ts", std::to_string(Gateway::UnixMs())}};
  gateway.Write(Gateway::Request(1, kFirst, body, now) + Gateway::Request(2, kSecond, "", now));
  // The pool has one core, so the second request waits for the first.
  std::string spawned_body;
  ASSERT_EQ(link.ReadCommand(&spawned_body), "spawn " + kFirst + " order-lodge 5");
  ASSERT_EQ(spawned_body, body);
  link.SendFinished(1, kFirst, "complete", result);
  ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, result);
  ASSERT_EQ(link.ReadCommand(), "spawn " + kSecond + " order-lodge 0");
  link.SendFinished(2, kSecond, "error", "");
  gateway.ReadAnswer(2, kFailed);
}

// An invalid request is answered on its own stream and does not close the connection.
TEST_P(NodeRequestTest, RejectsInvalidRequestsAndKeepsTheConnection) {
  ServingNode serving(Options());
  auto& [node, link, gateway] = serving;
  const std::map<std::string, std::string> faults[] = {
      {{"kind", "no-such"}}, {{"req", "xyz"}},    {{"ts", "-1"}},       {{"timeout", "1e3"}},
      {{"need", "0"}},       {{"need", "nan"}},   {{"need", "2000"}},   {{"level", "1"}},
      {{"ms", "inf"}},       {{"ms", "-4"}},      {{"subject", "0x1"}}, {{"via", "99999999999"}},
      {{"resent", "2"}},     {{"opkey", kFirst}}, {{"owner", ""}},      {{"timeout", "(none)"}},
  };
  std::uint32_t stream = 0;
  for (const auto& fault : faults) {
    gateway.Write(Gateway::Request(++stream, kFirst, "x", fault));
    gateway.ReadAnswer(stream, kRejected);
  }
  gateway.Write(Gateway::Request(++stream, kFirst, std::string(2049, 'x')));
  gateway.ReadAnswer(stream, kRejected);
  gateway.Write(Gateway::Request(++stream, kFirst,
                                 std::string(200'000, 'x')));  // The node discards the body as it arrives.
  gateway.ReadAnswer(stream, kRejected);
  gateway.Write(Gateway::Encode(0, ++stream, "\5"));  // A field length beyond the end of the frame.
  gateway.ReadAnswer(stream, kRejected);
  gateway.Write(Gateway::Request(++stream, kFirst, "good"));
  link.ReadCommand();
  link.SendFinished(1, kFirst, "complete", "done");
  gateway.ReadAnswer(stream, kServed);
}

TEST_P(NodeRequestTest, ClosesAConnectionThatSendsOnlyInvalidRequests) {
  ServingNode serving(Options());
  Gateway invalid_sender(serving.node.port());
  for (std::uint32_t stream = 1; stream <= 64; ++stream) {
    invalid_sender.Write(Gateway::Request(stream, "xyz", ""));
    invalid_sender.ReadAnswer(stream, kRejected);
  }
  invalid_sender.ReadAnswer(0, kFailed);
  ASSERT_TRUE(invalid_sender.socket().ClosedCleanly());
}

// The answer is a failure, because a rejection guarantees that no attempt with this id ran.
TEST_P(NodeRequestTest, FailsARequestWhoseIdIsRunningOrHasRun) {
  ServingNode serving(Options());
  auto& [node, link, gateway] = serving;
  constexpr std::uint32_t stream = 1;
  gateway.Write(Gateway::Request(stream, kFirst, "good"));
  link.ReadCommand();
  gateway.Write(Gateway::Request(50, kFirst, "again"));
  gateway.ReadAnswer(50, kFailed);
  link.SendFinished(1, kFirst, "complete", "done");
  gateway.ReadAnswer(stream, kServed);
  gateway.Write(Gateway::Request(51, kFirst, "again"));
  gateway.ReadAnswer(51, kFailed);
}

TEST_P(NodeRequestTest, RejectsTheThirtyThirdOpenRequestOfAConnection) {
  ServingNode serving(Options());
  auto& [node, link, gateway] = serving;
  // The node rejects all requests until the pool is connected, so first wait for a served request.
  gateway.Write(Gateway::Request(1, kFirst, "x"));
  link.ReadCommand();
  link.SendFinished(1, kFirst, "complete", "done");
  gateway.ReadAnswer(1, kServed);
  for (std::uint32_t stream = 100; stream <= 132; ++stream) {
    gateway.Write(
        Gateway::Request(stream, hingelink::proto::FormatRequestId(stream), "x", {{"need", "0.1"}}));
  }
  gateway.ReadAnswer(132, kRejected);
}

// The result is shared while it is fresh. The result of a failed execution is not shared.
TEST_P(NodeRequestTest, ReadsOfOneSubjectShareTheExecutionOfTheFirst) {
  ServingNode serving(Options());
  auto& [node, link, gateway] = serving;
  const std::map<std::string, std::string> read = {{"kind", "usage-view"}, {"subject", "7f3a9c21e0b4d655"}};
  gateway.Write(Gateway::Request(1, kFirst, "x", read));
  link.ReadCommand();
  gateway.Write(Gateway::Request(2, kSecond, "x", read));
  link.SendFinished(1, kFirst, "error", "");
  gateway.ReadAnswer(1, kFailed);
  ASSERT_EQ(link.ReadCommand(),
            "spawn " + kSecond + " usage-view 1");  // The first execution failed, so the next read runs.
  link.SendFinished(2, kSecond, "complete", "usage");
  ASSERT_EQ(gateway.ReadAnswer(2, kServed).body, "usage");
  gateway.Write(Gateway::Request(3, kThird, "x", read));
  ASSERT_EQ(gateway.ReadAnswer(3, kServed).body, "usage");
  // A read of another subject runs separately.
  gateway.Write(Gateway::Request(4, kFourth, "x", {{"kind", "usage-view"}, {"subject", kFirst}}));
  ASSERT_NE(link.ReadCommand().find("a4"), std::string::npos);
}

TEST_P(NodeRequestTest, KeyedRequestRunsOnceAcrossItsRetriesAndUpstreamCalls) {
  const peers::Listener store;
  NodeOptions options = Options();
  options.edit_config = [&store](const std::string& json) { return WithKeyedClass(json, store.Address()); };
  ServingNode serving(options);
  auto& [node, link, gateway] = serving;
  const std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  const auto claim = [&key](const std::map<std::string, std::string>& with = {}) {
    std::map<std::string, std::string> fields = {
        {"kind", "claim"}, {"timeout", "(none)"}, {"owner", "west"}, {"opkey", key}};
    for (const auto& [name, value] : with) fields[name] = value;
    return fields;
  };
  // Rejects requests without a valid idempotency key and tenant, which this configuration requires.
  std::uint32_t stream = 100;
  for (const auto& [name, value] : std::vector<std::pair<std::string, std::string>>{
           {"opkey", "(none)"}, {"owner", "(none)"}, {"opkey", "x" + key.substr(1)}, {"owner", "nobody"}}) {
    gateway.Write(Gateway::Request(++stream, kFourth, "x", claim({{name, value}})));
    ASSERT_EQ(gateway.ReadAnswer(stream, kRejected).fields.at("nomore"), "1");
  }
  gateway.Write(Gateway::Request(1, kFirst, "body", claim()));
  ASSERT_EQ(link.ReadCommand(), "spawn " + kFirst + " claim 4");
  link.Write("blocked 1 " + kFirst + " 4\r\nc\r\nd\r\n");
  peers::Socket calls = store.Accept();
  const std::string call = calls.ReadLine();
  ASSERT_TRUE(call.starts_with("CALL " + kFirst + ' '));
  ASSERT_TRUE(call.ends_with(" 4"));
  ASSERT_EQ(calls.ReadBytes(6), "c\r\nd\r\n");
  // A retry arrives while the first attempt waits for its upstream call. The retry waits and does not run.
  gateway.Write(Gateway::Request(2, kSecond, "body", claim({{"resent", "1"}})));
  calls.Write(kFirst + " OK 5\r\nr\r\n+1\r\n");
  std::string reply;
  ASSERT_EQ(link.ReadCommand(&reply), "supply " + kFirst + " 5");
  ASSERT_EQ(reply, "r\r\n+1");
  link.SendFinished(2, kFirst, "complete", "claimed");
  ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, "claimed");
  ASSERT_EQ(gateway.ReadAnswer(2, kServed).body, "claimed");
  // A retry over another connection after the execution gets the same result. A request with the same key and
  // another body fails.
  Gateway other(node.port());
  other.Write(Gateway::Request(1, kThird, "body", claim({{"resent", "1"}})));
  ASSERT_EQ(other.ReadAnswer(1, kServed).body, "claimed");
  other.Write(Gateway::Request(2, "00000000000000b5", "other", claim()));
  other.ReadAnswer(2, kFailed);
  // A read whose upstream call fails uses its fallback.
  gateway.Write(
      Gateway::Request(3, kFourth, "x", {{"kind", "usage-view"}, {"timeout", "(none)"}, {"owner", "north"}}));
  link.ReadCommand();
  link.Write("blocked 3 " + kFourth + " 1\r\nc\r\n");
  ASSERT_TRUE(calls.ReadLine().starts_with("CALL " + kFourth));
  calls.ReadBytes(3);
  calls.Write(kFourth + " LATE\r\n");
  ASSERT_EQ(link.ReadLineCommand(), "pass " + kFourth + " 3");
  link.SendFinished(4, kFourth, "complete", "fallback");
  ASSERT_EQ(gateway.ReadAnswer(3, kServed).body, "fallback");
  const std::string metrics = node.Get("/ops/stats");
  ASSERT_NE(metrics.find("edge_node_key_replays 2"), std::string::npos);
  ASSERT_NE(metrics.find("edge_node_store_calls{outcome=\"ok\"} 1"), std::string::npos);
  ASSERT_NE(metrics.find("edge_node_key_mismatches 1"), std::string::npos);
}

// Deadline timers fire without activity of the pool. A disconnected caller gets no answer.
TEST_P(NodeRequestTest, OverdueExecutionFailsByItsDeadlineAndItsLateResultIsDropped) {
  ServingNode serving(Options());
  auto& [node, link, gateway] = serving;
  const std::uint64_t sent = Gateway::UnixMs();
  gateway.Write(Gateway::Request(1, kFirst, "x", {{"timeout", "900"}, {"ms", "1"}}));
  link.ReadCommand();
  gateway.ReadAnswer(1, kFailed);  // The test answers no poll of the node meanwhile.
  ASSERT_LE(Gateway::UnixMs(), sent + 1000);
  link.SendFinished(1, kFirst, "complete", "late");
  // A request that has expired on arrival is rejected at once.
  gateway.Write(Gateway::Request(2, kSecond, "x", {{"ts", std::to_string(sent - 5000)}}));
  gateway.ReadAnswer(2, kRejected);
  // A disconnected caller gets no answer: the next answer belongs to the next request.
  gateway.Write(Gateway::Request(3, kThird, "x"));
  link.ReadCommand();
  gateway.Write(Gateway::Encode(2, 3, "") + Gateway::HealthCheck(9));
  ASSERT_EQ(gateway.Read().type, kHealthResponseFrame);  // The node has read the cancellation.
  link.SendFinished(2, kThird, "complete", "unheard");
  gateway.Write(Gateway::Request(4, kFourth, "x", {{"ts", std::to_string(sent - 5000)}}));
  gateway.ReadAnswer(4, kRejected);
}

// Requests that are cancelled in the same TCP segment never reach admission control.
TEST_P(NodeRequestTest, RequestsCancelledInTheSegmentThatSendsThemEvictNoOtherRequest) {
  RunningNode node(Options());
  PoolLink link(node.pool, 0);
  AcceptCommands(link);
  Gateway gateway(node.port());
  Gateway other(node.port());
  gateway.Write(Gateway::Request(1, kFirst, "x"));
  link.ReadCommand();
  gateway.Write(Gateway::Request(2, kSecond, "held", {{"kind", "usage-view"}, {"subject", kSecond}}));
  gateway.Write(Gateway::HealthCheck(1));
  ASSERT_EQ(gateway.Read().type, kHealthResponseFrame);
  std::string requests;
  std::string cancellations;
  for (std::uint32_t stream = 1; stream <= 16; ++stream) {
    requests += Gateway::Request(stream, hingelink::proto::FormatRequestId(stream), "x");
    cancellations += Gateway::Encode(2, stream, "");
  }
  other.Write(requests + cancellations + Gateway::HealthCheck(17));
  ASSERT_EQ(other.Read().type, kHealthResponseFrame);
  link.SendFinished(1, kFirst, "complete", "y");
  ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, "y");
  ASSERT_EQ(link.ReadCommand(), "spawn " + kSecond + " usage-view 4");
}

// The last gauges report idle cores. Without an answer to a poll, the node must not rely on them for long.
TEST_P(NodeRequestTest, NewExecutionsStopOnceTheGaugesOfAStalledPoolAreOutOfDate) {
  ServingNode serving(Options());
  PoolLink& link = serving.link;
  Gateway& gateway = serving.gateway;
  const auto send_read = [&gateway](std::uint32_t stream) {
    gateway.Write(Gateway::Request(stream, hingelink::proto::FormatRequestId(stream), "x",
                                   {{"kind", "usage-view"}, {"timeout", "1200"}, {"need", "0.1"}}));
  };
  for (std::uint32_t stream = 1; stream <= 3; ++stream) {
    send_read(stream);
    link.ReadCommand();  // Answers polls with idle cores, so that the next request may run.
  }
  for (std::uint32_t stream = 4; stream <= 7; ++stream) send_read(stream);
  int rejected = 0;
  for (int answers = 0; answers < 7; ++answers) rejected += gateway.Read().code == kRejected ? 1 : 0;
  ASSERT_GE(rejected, 2);
}

}  // namespace
