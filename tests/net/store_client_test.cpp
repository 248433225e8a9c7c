// The client of the shared store against the stand-in of it, with faults between them.
#include "net/store/store_client.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <optional>

#include "standin/store.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using hingelink::Outcome;
using standin::Store;
using standin::StoreOptions;
using Millis = StoreClient::Millis;

TEST(StoreLines, WhatTheStoreSaysIsReadWholeOrNotAtAll) {
  const std::string reply = "9b1f03aa5c7e2d41 OK 4\r\na\r\nb\r\n";
  std::size_t size = 0;
  for (std::size_t cut = 0; cut < reply.size(); ++cut) {
    EXPECT_TRUE(std::holds_alternative<proto::IncompleteStoreReply>(
        proto::ParseStoreReply(reply.substr(0, cut), size)))
        << cut;
  }
  const std::string more = reply + "next";
  const auto whole = proto::ParseStoreReply(more, size);
  ASSERT_TRUE(std::holds_alternative<proto::StoreReply>(whole));
  EXPECT_EQ(std::get<proto::StoreReply>(whole).request_id, 0x9b1f03aa5c7e2d41u);
  EXPECT_EQ(std::get<proto::StoreReply>(whole).body, "a\r\nb");
  EXPECT_EQ(size, reply.size());
  for (const char* bad : {"9b1f03aa5c7e2d4 OK 4\r\n", "9b1f03aa5c7e2d41 FINE\r\n", "9b1f03aa5c7e2d41 OK\r\n",
                          "9b1f03aa5c7e2d41 OK -1\r\n", "9b1f03aa5c7e2d41 OK 99999999\r\n", "\r\n",
                          "9b1f03aa5c7e2d41 OK 1\r\nxyz"}) {
    EXPECT_TRUE(std::holds_alternative<proto::MalformedStoreReply>(proto::ParseStoreReply(bad, size))) << bad;
  }
}

RC_GTEST_PROP(StoreLines, AnythingIsReadWithoutHarm, (const std::string& bytes)) {
  std::size_t size = 0;
  const auto message = proto::ParseStoreReply(bytes, size);
  if (std::holds_alternative<proto::StoreReply>(message)) RC_ASSERT(size <= bytes.size());
}

class StoreClientTest : public testing::Test {
 protected:
  struct End {
    Outcome outcome;
    std::string reply;
  };
  explicit StoreClientTest(const StoreOptions& options = {}) : store(base.get(), options) {
    client.emplace(base.get(), ParseAddress(store.address()), 7,
                   [this](std::uint64_t req, Outcome outcome, Millis, std::string_view reply) {
                     EXPECT_EQ(ends.count(req), 0u) << "ended twice";
                     ends[req] = {outcome, std::string(reply)};
                   });
  }
  void Turn(const std::function<bool()>& done, std::chrono::seconds most = 20s) {
    const auto end = Steady::now() + most;
    while (!done() && Steady::now() < end) {
      event_base_loop(base.get(), EVLOOP_ONCE);
      client->FreeEndedConnections();
    }
    ASSERT_TRUE(done());
  }
  void Call(std::uint64_t req, Millis limit = 5s, const std::string& body = "once x") {
    client->Call(req, limit, body + std::to_string(req));
  }
  std::string Body(std::uint64_t req) const { return "once x" + std::to_string(req); }

  BasePtr base = MakeBase();
  Store store;
  std::map<std::uint64_t, End> ends;
  std::optional<StoreClient> client;
};

TEST_F(StoreClientTest, ManyCallsGoOverFewConnectionsAndEachGetsItsOwnReplyOnce) {
  for (std::uint64_t req = 1; req <= 50; ++req) Call(req);
  Turn([&] { return ends.size() == 50; });
  for (const auto& [req, end] : ends) {
    EXPECT_EQ(end.outcome, Outcome::kOk);
    EXPECT_EQ(end.reply, standin::ReplyOf(Body(req)));
  }
  EXPECT_EQ(store.counts().connections, decide::kMaxUpstreamConnections);
  EXPECT_EQ(store.counts().calls, 50u);
  EXPECT_EQ(store.counts().twice, 0u);
}

// A store that works on a call until it is told to drop it: only the client can end the call.
class StoreWithoutLimitsTest : public StoreClientTest {
 protected:
  StoreWithoutLimitsTest() : StoreClientTest({.answers_late = false}) {}
};

TEST_F(StoreWithoutLimitsTest, ACallPastItsLimitIsDroppedAtTheStoreToo) {
  store.SetStill(true);
  Call(1, 40ms);
  Turn([&] { return ends.size() == 1; });
  EXPECT_EQ(ends[1].outcome, Outcome::kTimeout);
  Turn([&] { return store.counts().dropped == 1; });
  EXPECT_EQ(store.counts().late, 0u);
}

TEST_F(StoreClientTest, ARefusedConnectionProvesThatNothingRanAndABrokenOneProvesNothing) {
  store.SetDown(true);
  Call(1);
  Turn([&] { return ends.size() == 1; });
  EXPECT_EQ(ends[1].outcome, Outcome::kConnectFailed);
  store.SetDown(false);
  store.SetStill(true);
  Call(2);
  Turn([&] { return store.in_hand() == 1; });
  store.Break();
  Turn([&] { return ends.size() == 2; });
  EXPECT_EQ(ends[2].outcome, Outcome::kReset);
  EXPECT_EQ(store.counts().twice, 0u);
}

TEST_F(StoreClientTest, CallsMadeWhileTheStoreIsDownWaitForTheNextTryAndTheTriesGrowRare) {
  store.SetDown(true);
  for (std::uint64_t req = 1; req <= 30; ++req) {
    Call(req);
    Turn([&] { return ends.count(req) != 0; });
    EXPECT_EQ(ends[req].outcome, Outcome::kConnectFailed);
  }
  // One try for all that come within a wait of up to a second, not one for each.
  EXPECT_LE(client->counts().connects, 31u);
  Call(100, 30s);
  store.SetDown(false);
  Turn([&] { return ends.count(100) != 0; });
  EXPECT_EQ(ends[100].outcome, Outcome::kOk);
}

TEST_F(StoreClientTest, AnIdleConnectionIsClosedFromThisSideAndTheNextCallOpensOne) {
  Call(1);
  Turn([&] { return ends.size() == 1; });
  Turn([&] { return !client->connected(); });
  Call(2);
  Turn([&] { return ends.size() == 2; });
  EXPECT_EQ(ends[2].outcome, Outcome::kOk);
  EXPECT_EQ(store.counts().connections, 2u);
}

TEST_F(StoreClientTest, ASilentConnectionIsLeftAndItsCallsDoNotStickForGood) {
  for (std::uint64_t req = 1; req <= 20; ++req) {
    Call(req);
    Turn([&] { return ends.size() == req; });
  }
  EXPECT_EQ(store.counts().connections, 1u);
  store.Silence();
  Call(21, 60s);
  Turn([&] { return client->counts().unresponsive == 1; });
  Call(22, 60s);
  Turn([&] { return ends.count(22) != 0; });
  EXPECT_EQ(ends[22].outcome, Outcome::kOk);
  Turn([&] { return ends.count(21) != 0; });
  EXPECT_EQ(ends[21].outcome, Outcome::kReset);
  EXPECT_EQ(store.counts().connections, 2u);
}

// One that dies without a word takes one call with it, not all that are in hand.
TEST_F(StoreClientTest, ASilentConnectionTakesOneCallOfManyWithIt) {
  for (std::uint64_t req = 1; req <= 8; ++req) Call(req);
  Turn([&] { return ends.size() == 8; });
  ends.clear();
  store.Silence(1);
  std::uint64_t next = 100;
  for (; next < 108; ++next) Call(next, 60s);
  // Each that ends makes room for another, as the module's places do.
  std::size_t seen = 0;
  Turn([&] {
    for (; seen < ends.size(); ++seen) Call(next++, 60s);
    return ends.size() > 150;
  });
  std::size_t lost = 0;
  for (const auto& [req, end] : ends) lost += end.outcome != Outcome::kOk;
  EXPECT_EQ(lost, 1u);
}

// A store that answers ten times slower from one moment to the next is no dead connection: what has an effect
// may not be called again, so a call that is broken off in vain is lost.
TEST_F(StoreClientTest, AStoreThatSlowsDownAtOnceLosesNoCall) {
  for (std::uint64_t req = 1; req <= 40; ++req) {
    Call(req);
    Turn([&] { return ends.size() == req; });
  }
  store.SetWork(Millis(400));
  for (std::uint64_t req = 100; req < 116; ++req) Call(req, 60s);
  Turn([&] { return client->in_flight() == 0; });
  EXPECT_GT(client->counts().unresponsive, 0u);  // Left, as they look dead for a while; but not broken off.
  EXPECT_EQ(client->counts().broken, 0u);
  EXPECT_EQ(client->counts().ok, 56u);
}

// The reply to a call that was given up, still on its way, must not be taken for that of the request's next.
TEST_F(StoreClientTest, TheNextCallOfARequestIsNotAnsweredWithTheReplyToTheOneBefore) {
  Call(1, 5s, "first ");
  Turn([&] { return store.in_hand() == 1; });
  client->Abandon(1);
  Call(1, 5s, "second ");
  Turn([&] { return ends.size() == 1; });
  EXPECT_EQ(ends[1].outcome, Outcome::kOk);
  EXPECT_EQ(ends[1].reply, standin::ReplyOf("second 1"));
  EXPECT_EQ(store.counts().connections, 2u);
}

TEST_F(StoreClientTest, AnAddressThatMovesLeavesOpenCallsWhereTheyAre) {
  Store other(base.get(), {});
  store.SetStill(true);
  Call(1);
  Turn([&] { return store.in_hand() == 1; });
  client->ChangeAddress(ParseAddress(other.address()));
  Call(2);
  Turn([&] { return ends.size() == 1; });
  EXPECT_EQ(ends[2].outcome, Outcome::kOk);
  EXPECT_EQ(other.counts().calls, 1u);
  EXPECT_EQ(ends.count(1), 0u);
  EXPECT_EQ(store.in_hand(), 1u);
}

struct BusyStore : StoreClientTest {
  BusyStore() : StoreClientTest({.busy_above = 0}) {}
};
TEST_F(BusyStore, TurnsCallsAwayUnseen) {
  Call(1);
  Turn([&] { return ends.size() == 1; });
  EXPECT_EQ(ends[1].outcome, Outcome::kFull);
  EXPECT_EQ(store.counts().begun, 0u);
}

// 200 calls in hand when the store stands still, and then goes on: all end, each once, and no call is begun
// again.
TEST_F(StoreClientTest, AStoreThatStandsStillWithTwoHundredCallsInHandLosesNoneTwice) {
  for (std::uint64_t req = 1; req <= 20; ++req) Call(req);
  Turn([&] { return ends.size() == 20; });
  store.SetStill(true);
  for (std::uint64_t req = 1000; req < 1200; ++req) Call(req, 60s);
  Turn([&] { return !ends.empty() && client->in_flight() == 0; });
  store.SetStill(false);
  Call(3000, 60s);
  Turn([&] { return ends.count(3000) != 0; });
  EXPECT_EQ(ends[3000].outcome, Outcome::kOk);
  EXPECT_EQ(ends.size(), 221u);
  EXPECT_EQ(store.counts().twice, 0u);
  EXPECT_LE(store.counts().connections, 3 * decide::kMaxUpstreamConnections);
}

TEST(ReconnectBackoff, TriesOfManyNodesAreSpreadAndGrowRare) {
  std::mt19937_64 draw(3);
  std::map<int, int> at;  // Tries in each 100 ms, of 300 nodes that all lose the store at once.
  for (int node = 0; node < 300; ++node) {
    decide::ReconnectBackoff reconnect([&] { return std::generate_canonical<double, 32>(draw); });
    double now = 0;
    while (now < 20'000) {
      now += reconnect.OnFailure().count();
      ++at[static_cast<int>(now / 100)];
    }
  }
  // Behind the first second, each node tries about twice a second: 60 in 100 ms.
  for (int i = 20; i < 190; ++i) EXPECT_LT(at[i], 120) << i;
}

}  // namespace
}  // namespace hingelink::net
