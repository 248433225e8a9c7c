// Tests of the links of a whole node to the worker pool and the registry: lost links, failed reports.
#include <gtest/gtest.h>

#include <string>

#include "integration_fixture.h"

namespace {

using namespace node_tests;

class NodePeerLinkTest : public NodeIntegrationTest {};

INSTANTIATE_TEST_SUITE_P(Threads, NodePeerLinkTest, kThreadCounts, ThreadCountName);

// The pool replays the notices from the time without a link before the node sends a command again.
TEST_P(NodePeerLinkTest, NoExecutionIsLostOrRunsTwiceAfterThePoolLinkIsLost) {
  RunningNode node(Options());
  Gateway gateway(node.port());
  {
    PoolLink link(node.pool, 0);
    AcceptCommands(link);
    gateway.Write(Gateway::Request(1, kFirst, "first"));
    link.ReadCommand();
    link.Write("chatter 1 nothing 4\r\nfinished 2 " + kFirst + " comp");  // Cut off within a line.
  }
  {
    // The execution finished while there was no link: the pool replays its notice, and the node does not send
    // the command again.
    PoolLink link(node.pool, 1);
    link.SendBound();
    const std::string barrier = link.ReadLine();
    ASSERT_TRUE(barrier.starts_with("poll "));
    link.SendFinished(1, kFirst, "error", "");  // Notice already read: ignored.
    link.SendFinished(2, kFirst, "complete", "once");
    link.AnswerPoll(barrier);
    ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, "once");
    gateway.Write(Gateway::Request(2, kSecond, "second"));
    ASSERT_TRUE(link.ReadCommand().starts_with("spawn " + kSecond));
  }
  {
    // The pool has not read the second command: the node sends it again after the barrier poll.
    PoolLink link(node.pool, 2);
    link.SendBound();
    const std::string barrier = link.ReadLine();
    ASSERT_TRUE(barrier.starts_with("poll "));
    link.AnswerPoll(barrier);
    std::string body;
    ASSERT_TRUE(link.ReadCommand(&body).starts_with("spawn " + kSecond));
    ASSERT_EQ(body, "second");
    link.SendFinished(3, kSecond, "complete", "sent twice");
    ASSERT_EQ(gateway.ReadAnswer(2, kServed).body, "sent twice");
    gateway.Write(Gateway::Request(3, kThird, "third"));
    ASSERT_TRUE(link.ReadCommand().starts_with("spawn " + kThird));
  }
  // The third execution finishes right after the barrier poll: the node does not send its command again.
  PoolLink link(node.pool, 3);
  link.SendBound();
  const std::string tag = link.ReadLine().substr(5);
  link.Write("polled " + tag + " 0.1 0 0.1 1\r\nfinished 4 " + kThird + " complete 9 5\r\nthird\r\n");
  ASSERT_EQ(gateway.ReadAnswer(3, kServed).body, "third");
  gateway.Write(Gateway::Request(4, kFourth, "fourth"));
  ASSERT_TRUE(link.ReadCommand().starts_with("spawn " + kFourth));
  // A command that the pool reports as unknown never ran, so the request is rejected.
  link.Write("unknown spawn " + kFourth + "\r\n");
  gateway.ReadAnswer(4, kRejected);
}

// The link stays up, whether the long line is much longer than the limit or just exceeds it.
TEST_P(NodePeerLinkTest, ChatterNoticeLongerThanTheLineLimitIsSkipped) {
  ServingNode serving(Options());
  auto& [node, link, gateway] = serving;
  gateway.Write(Gateway::Request(1, kFirst, "x"));
  link.ReadCommand();
  link.Write("chatter 1 " + std::string(300'000, 'x') + "\r\nchatter 2 " + std::string(65'525, 'y') + "\r\n");
  link.SendFinished(3, kFirst, "complete", "y");
  ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, "y");
  gateway.Write(Gateway::Request(2, kSecond, "x"));
  ASSERT_TRUE(link.ReadCommand().starts_with("spawn " + kSecond));  // On the same link.
}

// The report fails by a closed connection, an error status, a malformed response, or a closing connection.
TEST_P(NodePeerLinkTest, FailedRegistryReportIsRetried) {
  RunningNode node(Options());
  for (const char* answer : {"", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
                             "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"}) {
    peers::Socket registry = node.registry.Accept();
    ASSERT_TRUE(registry.ReadLine().starts_with("PUT "));
    registry.Write(answer);
  }
  peers::Socket registry = node.registry.Accept();
  ASSERT_TRUE(registry.ReadLine().starts_with("PUT "));
}

}  // namespace
