// Shared fixture of the tests of a whole node: starts a node with scripted peers and a given number of
// threads.
#ifndef HINGELINK_TESTS_NODE_INTEGRATION_FIXTURE_H_
#define HINGELINK_TESTS_NODE_INTEGRATION_FIXTURE_H_

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include "scripted_peers.h"

namespace node_tests {

using peers::ForkedNode;
using peers::Frame;
using peers::Gateway;
using peers::kFailed;
using peers::kHealthResponseFrame;
using peers::kRejected;
using peers::kServed;
using peers::kStopNewRequestsFrame;
using peers::NodeOptions;
using peers::PoolLink;
using peers::ProcessOptions;
using peers::RunningNode;

// Ids of attempts.
inline const std::string kFirst = "00000000000000a1";
inline const std::string kSecond = "00000000000000a2";
inline const std::string kThird = "00000000000000a3";
inline const std::string kFourth = "00000000000000a4";

inline const std::string kHealthCheck = Gateway::HealthCheck(1);

// Accepts the bind command and answers the barrier poll that follows. The link carries commands after that.
inline void AcceptCommands(PoolLink& link) {
  link.SendBound();
  link.AnswerPoll(link.ReadLine());
}

// A worker pool link that carries commands.
struct ReadyPoolLink : PoolLink {
  explicit ReadyPoolLink(const peers::Listener& pool) : PoolLink(pool, 0) { AcceptCommands(*this); }
};

// A node whose worker pool and one gateway are connected.
struct ServingNode {
  explicit ServingNode(const NodeOptions& options) : node(options) {}
  RunningNode node;
  ReadyPoolLink link{node.pool};
  Gateway gateway{node.port()};
};

// Whether `text` contains `line` as a whole line, other than the first.
inline bool HasLine(const std::string& text, const std::string& line) {
  return text.find("\n" + line + "\n") != std::string::npos;
}

// The parameter is the number of threads of the node. With more than one, one thread makes the decisions and
// the others carry the connections.
class NodeIntegrationTest : public testing::TestWithParam<std::size_t> {
 protected:
  [[nodiscard]] static NodeOptions Options() { return {.threads = GetParam()}; }
  // The descriptor limit that allows as many gateway connections as `limit` allows with one thread.
  [[nodiscard]] static int DescriptorLimit(int limit) { return peers::DescriptorLimit(limit, 1, GetParam()); }
};

inline const auto kThreadCounts = testing::Values(std::size_t{1}, std::size_t{4});

inline std::string ThreadCountName(const testing::TestParamInfo<std::size_t>& info) {
  return info.param == 1 ? "OneThread" : "ThreeLoops";
}

// The number of threads of the first process and of each successor.
struct HandoverThreads {
  std::size_t first = 1;
  std::size_t successor = 1;
};

inline std::string HandoverThreadsName(const testing::TestParamInfo<HandoverThreads>& info) {
  const auto [first, successor] = info.param;
  if (first == successor) return first == 1 ? "OneThread" : "ThreeLoops";
  return first < successor ? "OneThreadToThreeLoops" : "FourLoopsToOneLoop";
}

}  // namespace node_tests

#endif  // HINGELINK_TESTS_NODE_INTEGRATION_FIXTURE_H_
