// A node that hands over to a successor process: clients, requests in flight, descriptors.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include "integration_fixture.h"

namespace {

using namespace node_tests;

class NodeHandoverTest : public testing::TestWithParam<HandoverThreads> {
 protected:
  // The node that serves first, and each that takes over.
  [[nodiscard]] ProcessOptions First(int max_descriptors = 1024) const {
    return {.max_descriptors = max_descriptors, .threads = GetParam().first};
  }
  [[nodiscard]] ProcessOptions Successor(int max_descriptors = 1024) const {
    return {.max_descriptors = max_descriptors, .threads = GetParam().successor};
  }
  // The limit that leaves the gateways of two nodes what `limit` leaves them with one thread each.
  [[nodiscard]] int DescriptorLimit(int limit) const {
    return peers::DescriptorLimit(limit, 2, std::max(GetParam().first, GetParam().successor));
  }
};

INSTANTIATE_TEST_SUITE_P(Threads, NodeHandoverTest,
                         testing::Values(HandoverThreads{1, 1}, HandoverThreads{4, 4}, HandoverThreads{1, 4},
                                         HandoverThreads{5, 2}),
                         HandoverThreadsName);

// A directory that processes of one node share, removed at the end.
struct SharedDirectory {
  SharedDirectory() { EXPECT_NE(mkdtemp(path.data()), nullptr); }
  ~SharedDirectory() { std::filesystem::remove_all(path); }
  SharedDirectory(const SharedDirectory&) = delete;
  SharedDirectory& operator=(const SharedDirectory&) = delete;
  std::string path = (std::filesystem::temp_directory_path() / "hingelink-XXXXXX").string();
};

// A gateway whose request runs on the node.
Gateway StartRequest(const ForkedNode& node, PoolLink& link) {
  AcceptCommands(link);
  Gateway gateway(node.port);
  gateway.Write(Gateway::Request(1, kFirst, "x"));
  link.ReadCommand();
  return gateway;
}

// The predecessor then asks for no more requests, answers all that is in flight or crosses, and exits by
// itself. What waits in the accept queue is the successor's, SIGTERM is no drain, and the limit on executions
// holds for both together.
TEST_P(NodeHandoverTest, TheSuccessorTakesOverOnceItsPoolIsConnectedAndNoRequestIsLost) {
  const SharedDirectory directory;
  ForkedNode old(directory.path, First());
  PoolLink old_link(old.pool, 0);
  Gateway gateway = StartRequest(old, old_link);
  ForkedNode fresh(directory.path, Successor());
  ASSERT_EQ(fresh.port, old.port);
  ASSERT_FALSE(fresh.Ready());
  ASSERT_TRUE(old.Ready());
  PoolLink link(fresh.pool, 0);
  for (int polls = 0; polls < 3; ++polls)
    old_link.AnswerPoll(old_link.ReadLine());  // It has reported its load.
  AcceptCommands(link);
  ASSERT_EQ(gateway.Read().type, kStopNewRequestsFrame);
  fresh.AwaitReady();
  ASSERT_FALSE(old.Ready());
  Gateway next(fresh.port);
  next.Write(Gateway::Request(1, kThird, "x"));
  gateway.Write(Gateway::Request(2, kSecond, "crossed"));
  for (int polls = 0; polls < 4; ++polls) {  // The one core runs the predecessor's execution.
    const std::string line = link.ReadLine();
    ASSERT_TRUE(line.starts_with("poll "));
    link.Write("polled " + line.substr(5) + " 1 3 0.1 1\r\n");
  }
  old.Signal(SIGTERM);
  old_link.SendFinished(1, kFirst, "complete", "y");
  ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, "y");
  ASSERT_TRUE(old_link.ReadCommand().starts_with("spawn " + kSecond));
  old_link.SendFinished(2, kSecond, "complete", "z");
  ASSERT_EQ(gateway.ReadAnswer(2, kServed).body, "z");
  gateway.socket().Close();
  ASSERT_EQ(old.Wait(), 0);
  ASSERT_TRUE(link.ReadCommand().starts_with("spawn " + kThird));
  link.SendFinished(1, kThird, "complete", "next");
  ASSERT_EQ(next.ReadAnswer(1, kServed).body, "next");
  // A third takes over from the second.
  ForkedNode third(directory.path, Successor());
  PoolLink third_link(third.pool, 0);
  AcceptCommands(third_link);
  ASSERT_EQ(next.Read().type, kStopNewRequestsFrame);
}

// Its clients never close; who connects to the successor meanwhile waits and is not rejected.
TEST_P(NodeHandoverTest, APredecessorAtTheDescriptorLimitMakesRoomForTheSuccessorsClients) {
  const SharedDirectory directory;
  ForkedNode old(directory.path, First(DescriptorLimit(80)));
  PoolLink old_link(old.pool, 0);
  AcceptCommands(old_link);
  std::vector<Gateway> stay;
  for (int i = 0; i < 40; ++i) {
    stay.emplace_back(old.port);
    stay.back().Write(kHealthCheck);
    ASSERT_EQ(stay.back().Read().type, kHealthResponseFrame);
  }
  for (int polls = 0; polls < 3; ++polls) old_link.AnswerPoll(old_link.ReadLine());
  ForkedNode fresh(directory.path, Successor(DescriptorLimit(80)));
  PoolLink link(fresh.pool, 0);
  for (int polls = 0; polls < 3; ++polls)
    old_link.AnswerPoll(old_link.ReadLine());  // It has reported its connections.
  AcceptCommands(link);
  for (Gateway& gateway : stay) ASSERT_EQ(gateway.Read().type, kStopNewRequestsFrame);
  std::vector<Gateway> next;
  for (int i = 0; i < 10; ++i) {
    next.emplace_back(fresh.port);
    next.back().Write(kHealthCheck);
  }
  for (Gateway& gateway : next) ASSERT_EQ(gateway.Read().type, kHealthResponseFrame);
  for (Gateway& gateway : stay) ASSERT_TRUE(gateway.socket().ClosedCleanly());
  ASSERT_EQ(old.Wait(), 0);
}

// And a socket file that a killed process leaves stops no other.
TEST_P(NodeHandoverTest, ASuccessorThatIsKilledGivesTheClientsBack) {
  const SharedDirectory directory;
  ForkedNode old(directory.path, First());
  PoolLink old_link(old.pool, 0);
  Gateway gateway = StartRequest(old, old_link);
  {
    ForkedNode early(directory.path, Successor());
    early.SignalAndWait(SIGKILL);  // Before it accepted a client.
  }
  ForkedNode fresh(directory.path, Successor());
  PoolLink link(fresh.pool, 0);
  AcceptCommands(link);
  fresh.AwaitReady();
  fresh.SignalAndWait(SIGKILL);
  Gateway back(old.port);
  back.Write(Gateway::HealthCheck(1));
  ASSERT_EQ(back.Read().type, kHealthResponseFrame);
  old.AwaitReady();
  {
    ForkedNode again(directory.path, Successor());
    ASSERT_EQ(again.port, old.port);
  }
  old.SignalAndWait(SIGKILL);
  ForkedNode alone(directory.path, Successor());
  PoolLink alone_link(alone.pool, 0);
  AcceptCommands(alone_link);
  alone.AwaitReady();
}

}  // namespace
