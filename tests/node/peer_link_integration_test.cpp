// Links of a whole node to the worker pool and to the registry: lost links, failed reports.
#include <gtest/gtest.h>

#include <string>

#include "integration_fixture.h"

namespace {

using namespace node_tests;

class NodePeerLinkTest : public NodeIntegrationTest {};

INSTANTIATE_TEST_SUITE_P(Threads, NodePeerLinkTest, kThreadCounts, ThreadCountName);

// Notices of the time without a link are replayed before a command is sent again.
TEST_P(NodePeerLinkTest, AfterALostPoolLinkNoExecutionIsLostAndNoneRunsTwice) {
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
    // It ran while there was no link: its notice is replayed, and it is not sent again.
    PoolLink link(node.pool, 1);
    link.SendBound();
    const std::string barrier = link.ReadLine();
    ASSERT_TRUE(barrier.starts_with("poll "));
    link.SendFinished(1, kFirst, "error", "");  // Not above the last notice read: ignored.
    link.SendFinished(2, kFirst, "complete", "once");
    link.AnswerPoll(barrier);
    ASSERT_EQ(gateway.ReadAnswer(1, kServed).body, "once");
    gateway.Write(Gateway::Request(2, kSecond, "second"));
    ASSERT_TRUE(link.ReadCommand().starts_with("spawn " + kSecond));
  }
  {
    // The pool never read that one: it is sent again, after the barrier.
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
  // That one finishes right after the barrier: it is not sent again.
  PoolLink link(node.pool, 3);
  link.SendBound();
  const std::string tag = link.ReadLine().substr(5);
  link.Write("polled " + tag + " 0.1 0 0.1 1\r\nfinished 4 " + kThird + " complete 9 5\r\nthird\r\n");
  ASSERT_EQ(gateway.ReadAnswer(3, kServed).body, "third");
  gateway.Write(Gateway::Request(4, kFourth, "fourth"));
  ASSERT_TRUE(link.ReadCommand().starts_with("spawn " + kFourth));
  // A command that the pool does not know of never ran.
  link.Write("unknown spawn " + kFourth + "\r\n");
  gateway.ReadAnswer(4, kRejected);
}

// Whole or in pieces; the link goes on.
TEST_P(NodePeerLinkTest, ARemarkOfThePoolBeyondTheLineLimitIsSkipped) {
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

// However it failed.
TEST_P(NodePeerLinkTest, AFailedReportToTheRegistryIsRetried) {
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
