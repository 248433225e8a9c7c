// Tests of a node whose network to a peer is cut for a moment: nothing is lost or changed once it is whole.
#include "../net/cut_off_listener.h"
#include "deployment.h"
#include "scripted_peers.h"

namespace hingelink::standin {
namespace {

using peers::Frame;
using peers::kServed;
using ScriptedGateway = peers::Gateway;

std::string Request(const std::string& class_name, std::uint32_t stream, const std::string& body) {
  char id[17];
  std::snprintf(id, sizeof id, "%016x", stream);
  return ScriptedGateway::Request(
      stream, id, body,
      {{"kind", class_name}, {"owner", "north"}, {"timeout", std::string(ScriptedGateway::kOmitted)}});
}

// Guards against upstream calls that reach the store without their body, whose requests are answered as
// served: the network to the store is cut while connections are established, and the store then moves
// (SIGHUP).
TEST(NetworkCut, UpstreamCallsKeepTheirBodiesWhenTheStoreMovesDuringAHandshake) {
  constexpr std::uint32_t kRequests = 4;
  net::CutOffListener cut;
  bool moved = false;
  Deployment deployment({.nodes = 1,
                         .upstream_call_quota = 200,
                         .starts_nodes = false,
                         .edit_config = [&](nlohmann::ordered_json& config) {
                           if (!moved) config["store"] = cut.address();
                         }});
  deployment.ResetNode(0);
  const Deployment::Process node = deployment.SpawnProcess(0, 0);
  ASSERT_TRUE(Deployment::AwaitEvent(node, "pool-bound", 20s));
  ScriptedGateway gateway(deployment.ListenOf(0));
  const std::string body = WorkBody(Millis(5), "x", {.calls = 1, .once = true});
  for (std::uint32_t stream = 1; stream <= kRequests; ++stream)
    gateway.Write(Request("search", stream, body + std::to_string(stream)));
  const auto end = Steady::now() + 20s;
  while (deployment.CountsOfPool(0).blocked < kRequests && Steady::now() < end)
    std::this_thread::sleep_for(1ms);
  moved = true;
  std::ofstream(node.config) << deployment.ConfigOf(0, 0);
  kill(node.pid, SIGHUP);
  for (std::uint32_t i = 0; i < kRequests; ++i) {
    const Frame answer = gateway.Read();
    EXPECT_EQ(answer.code, kServed);
    EXPECT_EQ(answer.body, ResultOf(answer.stream, body + std::to_string(answer.stream)));
  }
  // The replies tell which body the store received.
  EXPECT_EQ(deployment.CountsOfPool(0).supplied, kRequests);
  EXPECT_EQ(deployment.CountsOfPool(0).wrong_replies, 0u);
}

// Guards against answers to executed requests that are lost: a gateway that took no byte for 2 s was closed
// with answers unsent, although they were due later.
TEST(NetworkCut, GatewayThatIsCutOffForAMomentGetsAllAnswersThatAreDueLater) {
  // As many requests as a connection carries, each with a result of the longest kind.
  constexpr std::uint32_t kRequests = 32;
  constexpr std::size_t kResultBytes = 4'096;
  // Longer than the limit for a peer that takes nothing, and shorter than the time until the answers are due.
  constexpr auto kCut = 2'700ms;
  // Slow enough that a node that has just started sheds no load.
  constexpr auto kSendInterval = 15ms;
  constexpr std::uint64_t kDueMs = 4'000 + 150;
  Deployment deployment({.nodes = 1, .tenant_quota_rps = 1e6});
  // While a network is cut, nothing is acknowledged, and a sender holds at most its own buffer. On loopback
  // the receiver's system acknowledges in its place: it takes as little as the system allows, in segments as
  // long as on Ethernet.
  ScriptedGateway gateway(deployment.ListenOf(0),
                          {.receive_buffer_bytes = 2'048, .max_segment_bytes = 1'448});
  const std::string body = WorkBody(Millis(5), "x", {.result_bytes = kResultBytes});
  const std::uint64_t sent_at = ScriptedGateway::UnixMs();
  for (std::uint32_t stream = 1; stream <= kRequests; ++stream) {
    gateway.Write(Request("match", stream, body));
    std::this_thread::sleep_for(kSendInterval);
  }
  std::this_thread::sleep_for(kCut);
  for (std::uint32_t i = 0; i < kRequests; ++i) {
    const Frame answer = gateway.Read();
    EXPECT_EQ(answer.code, kServed);
    EXPECT_TRUE(answer.body == ResultOf(answer.stream, body)) << answer.stream;
  }
  EXPECT_LE(ScriptedGateway::UnixMs(), sent_at + kDueMs);
}

}  // namespace
}  // namespace hingelink::standin
