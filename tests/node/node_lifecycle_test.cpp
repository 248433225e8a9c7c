// Tests of a whole node with scripted peers on real sockets: drain, exit, reload and descriptor exhaustion
// while requests or reports are pending, and settings with other classes and tenants.
#include <gtest/gtest.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "proto/pool_lines.h"
#include "scripted_peers.h"

namespace {

using nlohmann::json;
using peers::Frame;
using peers::Gateway;
using peers::PoolLink;
using peers::RunningNode;

const std::string kFirst = "00000000000000a1", kSecond = "00000000000000a2", kThird = "00000000000000a3";
const std::string kHealthCheck = Gateway::Encode(peers::kHealthCheckFrame, 1, std::string(1, '\0'));

class NodeLifecycle : public testing::Test {};

struct BoundLink : PoolLink {
  explicit BoundLink(const peers::Listener& pool, std::uint64_t last_notice = 0)
      : PoolLink(pool, last_notice) {
    SendBound();
    AnswerPoll(ReadLine());
  }
};

// ---- Drain and exit ----

// The drain starts before the worker pool has connected: requests are rejected, and the node exits and closes
// its connections without a reset.
TEST_F(NodeLifecycle, DrainBeforeThePoolConnectsCompletes) {
  RunningNode node({.drain_timeout_ms = 300});
  Gateway gateway(node.port());
  gateway.Write(Gateway::Request(1, kFirst, "early"));
  gateway.ReadAnswer(1, peers::kRejected);
  node.RequestDrain();
  EXPECT_EQ(gateway.Read().type, peers::kStopNewRequestsFrame);
  gateway.Write(Gateway::Request(2, kSecond, "crossed"));
  gateway.ReadAnswer(2, peers::kRejected);
  EXPECT_TRUE(gateway.socket().ClosedCleanly());
  node.Join();
}

// The worker pool link breaks during a drain and is not restored: the request whose execution is in flight is
// answered as failed, not rejected, and the queued request is answered, too.
TEST_F(NodeLifecycle, DrainWithABrokenPoolLinkAnswersEveryRequestRead) {
  RunningNode node({.drain_timeout_ms = 500});
  Gateway gateway(node.port());
  {
    BoundLink link(node.pool);
    const std::string now = std::to_string(Gateway::UnixMs());
    gateway.Write(Gateway::Request(1, kFirst, "runs", {{"ts", now}}));
    EXPECT_EQ(link.ReadCommand(), "spawn " + kFirst + " order-lodge 4");
    gateway.Write(Gateway::Request(2, kSecond, "held", {{"ts", now}}) + kHealthCheck);
    EXPECT_EQ(gateway.Read().type, peers::kHealthResponseFrame);  // Both have been read.
    node.RequestDrain();
    EXPECT_EQ(gateway.Read().type, peers::kStopNewRequestsFrame);
  }
  std::vector<int> codes(3, -1);
  for (int answers = 0; answers < 2; ++answers) {
    const Frame answer = gateway.Read();
    ASSERT_EQ(answer.type, peers::kAnswerFrame);
    codes.at(answer.stream) = answer.code;
  }
  EXPECT_EQ(codes[1], peers::kFailed);
  EXPECT_NE(codes[2], peers::kServed);
  EXPECT_TRUE(gateway.socket().ClosedCleanly());
  node.Join();
}

// A gateway ignores the stop-new-requests frame and sends until the node exits: each request that is read is
// answered once, none runs, and the connection ends without a reset.
TEST_F(NodeLifecycle, ExitWhileRequestsArriveDoesNotResetTheConnection) {
  RunningNode node({.drain_timeout_ms = 400});
  BoundLink link(node.pool);
  Gateway gateway(node.port());
  gateway.Write(kHealthCheck);
  EXPECT_EQ(gateway.Read().type, peers::kHealthResponseFrame);
  node.RequestDrain();
  EXPECT_EQ(gateway.Read().type, peers::kStopNewRequestsFrame);
  std::uint32_t sent = 0;
  std::set<std::uint32_t> answered;
  for (bool open = true; open;) {
    ++sent;
    const std::string ahead = std::to_string(Gateway::UnixMs() + 1);
    const std::string request =
        Gateway::Request(sent, hingelink::proto::FormatRequestId(1000 + sent), "late", {{"ts", ahead}});
    open = send(gateway.socket().fd(), request.data(), request.size(), MSG_NOSIGNAL) > 0;
    while (open && gateway.socket().HasInput(0)) {
      if (gateway.socket().AtEndOfStream()) {
        open = false;
        break;
      }
      const Frame answer = gateway.Read();
      ASSERT_EQ(answer.type, peers::kAnswerFrame);
      ASSERT_EQ(answer.code, peers::kRejected);
      ASSERT_TRUE(answered.insert(answer.stream).second);  // One answer each.
    }
  }
  node.Join();
  EXPECT_FALSE(answered.empty());
  EXPECT_TRUE(gateway.socket().ClosedCleanly());
  // The worker pool received no command for these requests.
  EXPECT_EQ(link.ReadPendingCommands(), std::vector<std::string>());
}

// A caller resets its connection during a request with an idempotency key: the key stays valid, and later
// attempts get the result of the first.
TEST_F(NodeLifecycle, IdempotencyKeyOutlivesItsConnection) {
  const auto edit = [](const std::string& text) {
    json config = json::parse(text);
    config["settings"]["requestClasses"][1]["repeat"] = "keyed";
    config["settings"]["requestClasses"][1]["windowMs"] = 20000.0;
    return config.dump();
  };
  RunningNode node({.edit_config = edit});
  BoundLink link(node.pool);
  const std::map<std::string, std::string> keyed = {{"opkey", kFirst + kSecond}};
  {
    Gateway first(node.port());
    first.Write(Gateway::Request(1, kFirst, "body", keyed));
    EXPECT_EQ(link.ReadCommand(), "spawn " + kFirst + " order-lodge 4");
    first.socket().Reset();
  }
  Gateway second(node.port());
  second.Write(Gateway::Request(1, kSecond, "body", keyed) + kHealthCheck);
  EXPECT_EQ(second.Read().type, peers::kHealthResponseFrame);
  link.SendFinished(1, kFirst, "complete", "once");
  EXPECT_EQ(second.ReadAnswer(1, peers::kServed).body, "once");
  second.Write(Gateway::Request(2, kThird, "body", keyed));
  EXPECT_EQ(second.ReadAnswer(2, peers::kServed).body, "once");
}

// ---- Reload ----

// A reload between two parts of a request, split at every seventh byte: the settings at the time when the
// request is complete apply, and the connection stays open.
TEST_F(NodeLifecycle, ReloadBetweenPartsOfARequestKeepsTheConnection) {
  RunningNode node;
  BoundLink link(node.pool);
  Gateway gateway(node.port());
  const std::string with = node.config();
  json changed = json::parse(with);
  changed["settings"]["requestClasses"][1]["name"] = "order-new";
  const std::string without = changed.dump();
  std::uint64_t reloads = 0;
  const auto reload = [&](const std::string& config) {
    node.Reload(config);
    const std::string done = "\nedge_node_reconfig_ok " + std::to_string(++reloads) + '\n';
    while (node.Get("/ops/stats").find(done) == std::string::npos) {
    }
  };
  const std::string sample = Gateway::Request(1, kFirst, "x");
  for (std::size_t split = 1; split < sample.size(); split += 7) {
    const auto stream = static_cast<std::uint32_t>(split);
    const std::string request = Gateway::Request(stream, hingelink::proto::FormatRequestId(split), "x");
    gateway.Write(request.substr(0, split));
    gateway.Write("");
    reload(without);
    gateway.Write(request.substr(split));
    gateway.ReadAnswer(stream, peers::kRejected);  // Its class was removed.
    reload(with);
  }
  gateway.Write(Gateway::Request(5000, kSecond, "x"));
  EXPECT_EQ(link.ReadCommand(), "spawn " + kSecond + " order-lodge 1");
}

// ---- Descriptors ----

// The registry does not reply while idle clients use all descriptors. Once the registry replies, the node
// sends reports again.
TEST_F(NodeLifecycle, RegistryReportsResumeWhileIdleClientsUseAllDescriptors) {
  RunningNode node({.max_descriptors = 64});
  BoundLink link(node.pool);
  peers::Socket hanging = node.registry.Accept();
  std::vector<Gateway> idle;
  for (int i = 0; i < 200; ++i) {
    idle.emplace_back(node.port());
    idle.back().Write(kHealthCheck);
    EXPECT_EQ(idle.back().Read().type, peers::kHealthResponseFrame);
  }
  // The accept queue holds report connections that the node has abandoned before the active one.
  for (;;) {
    peers::Socket registry = node.registry.Accept();
    registry.Write("HTTP/1.1 204 No Content\r\n\r\n");
    const std::string first = registry.ReadLineOrEnd();
    if (first.empty()) continue;
    EXPECT_EQ(first, "PUT /v1/instances/n3 HTTP/1.1");
    while (!registry.ReadLine().empty()) {
    }
    registry.ReadBytes(17);
    if (registry.ReadLineOrEnd() == "PUT /v1/instances/n3 HTTP/1.1")
      break;  // The next report, on the same connection.
  }
}

// ---- Other settings ----

// Serves one request of the class `kind` and returns the command that the worker pool received.
std::string ServeRequest(Gateway& gateway, PoolLink& link, std::uint32_t stream, int notice,
                         const std::string& kind, const std::map<std::string, std::string>& with = {}) {
  std::map<std::string, std::string> fields = with;
  fields["kind"] = kind;
  const std::string req = hingelink::proto::FormatRequestId(stream);
  gateway.Write(Gateway::Request(stream, req, "body", fields));
  std::string command = link.ReadCommand();
  link.SendFinished(notice, req, "complete", "result of " + kind);
  EXPECT_EQ(gateway.ReadAnswer(stream, peers::kServed).body, "result of " + kind);
  return command;
}

std::string RequestIdOf(std::uint32_t stream) { return hingelink::proto::FormatRequestId(stream); }

// Starts with one class of another name and reloads many classes and tenants: each request runs under its
// class, and the names of earlier settings are rejected.
TEST_F(NodeLifecycle, ServesReloadedClassesAndForgetsTheEarlierOnes) {
  constexpr int kClasses = 150;
  const auto edit = [](const std::string& text) {
    json config = json::parse(text);
    config["settings"]["requestClasses"] = json::array({{{"name", "zeta"},
                                                         {"goalTimeMs", 300.0},
                                                         {"hardLimitMs", 4000.0},
                                                         {"repeat", "safe"},
                                                         {"worth", 2.0}}});
    return config.dump();
  };
  RunningNode node({.edit_config = edit});
  BoundLink link(node.pool);
  Gateway gateway(node.port());
  EXPECT_EQ(ServeRequest(gateway, link, 1, 1, "zeta"), "spawn " + RequestIdOf(1) + " zeta 4");
  gateway.Write(Gateway::Request(2, RequestIdOf(2), "body", {{"kind", "order-lodge"}}));
  gateway.ReadAnswer(2, peers::kRejected);

  json many = json::parse(node.config());
  many["settings"]["requestClasses"] = json::array();
  for (int i = 0; i < kClasses; ++i) {
    many["settings"]["requestClasses"].push_back({{"name", "class-" + std::to_string(i)},
                                                  {"goalTimeMs", 300.0},
                                                  {"hardLimitMs", 4000.0},
                                                  {"repeat", "safe"},
                                                  {"worth", 1.0 + i}});
    many["settings"]["tenants"].push_back(
        {{"name", "tenant " + std::to_string(i)}, {"portion", 1.0 / kClasses}, {"quotaRps", 100.0}});
  }
  node.Reload(many.dump());
  while (node.Get("/ops/stats").find("\nedge_node_reconfig_ok 1\n") == std::string::npos) {
  }
  for (std::uint32_t i = 0; i < kClasses; ++i) {
    const std::string kind = "class-" + std::to_string(i);
    const std::string owner = "tenant " + std::to_string(kClasses - 1 - static_cast<int>(i));
    EXPECT_EQ(ServeRequest(gateway, link, 10 + i, 2 + static_cast<int>(i), kind, {{"owner", owner}}),
              "spawn " + RequestIdOf(10 + i) + ' ' + kind + " 4");
  }
  gateway.Write(Gateway::Request(1000, RequestIdOf(1000), "body", {{"kind", "zeta"}, {"owner", "tenant 1"}}));
  gateway.ReadAnswer(1000, peers::kRejected);
  gateway.Write(Gateway::Request(1001, RequestIdOf(1001), "body", {{"kind", "class-1"}, {"owner", "north"}}));
  gateway.ReadAnswer(1001, peers::kRejected);
}

}  // namespace
