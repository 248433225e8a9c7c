// Tests of StoreClient with a simulated store and with connection faults.
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

TEST(StoreLines, ReplyIsParsedCompletelyOrNotAtAll) {
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
  for (const char* malformed : {"9b1f03aa5c7e2d4 OK 4\r\n", "9b1f03aa5c7e2d41 FINE\r\n",
                                "9b1f03aa5c7e2d41 OK\r\n", "9b1f03aa5c7e2d41 OK -1\r\n",
                                "9b1f03aa5c7e2d41 OK 99999999\r\n", "\r\n", "9b1f03aa5c7e2d41 OK 1\r\nxyz"}) {
    EXPECT_TRUE(std::holds_alternative<proto::MalformedStoreReply>(proto::ParseStoreReply(malformed, size)))
        << malformed;
  }
}

RC_GTEST_PROP(StoreLines, ArbitraryBytesAreParsedSafely, (const std::string& bytes)) {
  std::size_t size = 0;
  const auto message = proto::ParseStoreReply(bytes, size);
  if (std::holds_alternative<proto::StoreReply>(message)) RC_ASSERT(size <= bytes.size());
}

class StoreClientTest : public testing::Test {
 protected:
  struct CallResult {
    Outcome outcome;
    std::string reply;
  };
  explicit StoreClientTest(const StoreOptions& options = {}) : store(base.get(), options) {
    client.emplace(base.get(), ParseAddress(store.address()), 7,
                   [this](std::uint64_t req, Outcome outcome, Millis, std::string_view reply) {
                     EXPECT_EQ(results.count(req), 0u) << "ended twice";
                     results[req] = {outcome, std::string(reply)};
                   });
  }
  void RunUntil(const std::function<bool()>& done, std::chrono::seconds timeout = 20s) {
    const auto end = Steady::now() + timeout;
    while (!done() && Steady::now() < end) {
      event_base_loop(base.get(), EVLOOP_ONCE);
      client->FreeEndedConnections();
    }
    ASSERT_TRUE(done());
  }
  void Call(std::uint64_t req, Millis timeout = 5s, const std::string& body = "once x") {
    client->Call(req, timeout, body + std::to_string(req));
  }
  std::string Body(std::uint64_t req) const { return "once x" + std::to_string(req); }

  BasePtr base = MakeBase();
  Store store;
  std::map<std::uint64_t, CallResult> results;
  std::optional<StoreClient> client;
};

TEST_F(StoreClientTest, ManyCallsShareFewConnectionsAndEachGetsItsOwnReplyOnce) {
  for (std::uint64_t req = 1; req <= 50; ++req) Call(req);
  RunUntil([&] { return results.size() == 50; });
  for (const auto& [req, result] : results) {
    EXPECT_EQ(result.outcome, Outcome::kOk);
    EXPECT_EQ(result.reply, standin::ReplyOf(Body(req)));
  }
  EXPECT_EQ(store.counts().connections, decide::kMaxUpstreamConnections);
  EXPECT_EQ(store.counts().calls, 50u);
  EXPECT_EQ(store.counts().twice, 0u);
}

// A store without timeouts: it works on a call until the client drops the call.
class StoreWithoutTimeoutsTest : public StoreClientTest {
 protected:
  StoreWithoutTimeoutsTest() : StoreClientTest({.answers_late = false}) {}
};

TEST_F(StoreWithoutTimeoutsTest, TimedOutCallIsDroppedAtTheStore) {
  store.SetStill(true);
  Call(1, 40ms);
  RunUntil([&] { return results.size() == 1; });
  EXPECT_EQ(results[1].outcome, Outcome::kTimeout);
  RunUntil([&] { return store.counts().dropped == 1; });
  EXPECT_EQ(store.counts().late, 0u);
}

TEST_F(StoreClientTest, RefusedConnectionReportsNotExecutedAndBrokenOneReportsReset) {
  store.SetDown(true);
  Call(1);
  RunUntil([&] { return results.size() == 1; });
  EXPECT_EQ(results[1].outcome, Outcome::kConnectFailed);
  store.SetDown(false);
  store.SetStill(true);
  Call(2);
  RunUntil([&] { return store.in_hand() == 1; });
  store.Break();
  RunUntil([&] { return results.size() == 2; });
  EXPECT_EQ(results[2].outcome, Outcome::kReset);
  EXPECT_EQ(store.counts().twice, 0u);
}

TEST_F(StoreClientTest, CallsWaitForNextReconnectAndReconnectsBackOffWhileStoreIsDown) {
  store.SetDown(true);
  for (std::uint64_t req = 1; req <= 30; ++req) {
    Call(req);
    RunUntil([&] { return results.count(req) != 0; });
    EXPECT_EQ(results[req].outcome, Outcome::kConnectFailed);
  }
  // Calls that arrive during the reconnect delay share one attempt to connect.
  EXPECT_LE(client->counts().connects, 31u);
  Call(100, 30s);
  store.SetDown(false);
  RunUntil([&] { return results.count(100) != 0; });
  EXPECT_EQ(results[100].outcome, Outcome::kOk);
}

TEST_F(StoreClientTest, IdleConnectionIsClosedByClientAndNextCallOpensAnother) {
  Call(1);
  RunUntil([&] { return results.size() == 1; });
  RunUntil([&] { return !client->connected(); });
  Call(2);
  RunUntil([&] { return results.size() == 2; });
  EXPECT_EQ(results[2].outcome, Outcome::kOk);
  EXPECT_EQ(store.counts().connections, 2u);
}

TEST_F(StoreClientTest, UnresponsiveConnectionIsRetiredAndItsCallsFail) {
  for (std::uint64_t req = 1; req <= 20; ++req) {
    Call(req);
    RunUntil([&] { return results.size() == req; });
  }
  EXPECT_EQ(store.counts().connections, 1u);
  store.Silence();
  Call(21, 60s);
  RunUntil([&] { return client->counts().unresponsive == 1; });
  Call(22, 60s);
  RunUntil([&] { return results.count(22) != 0; });
  EXPECT_EQ(results[22].outcome, Outcome::kOk);
  RunUntil([&] { return results.count(21) != 0; });
  EXPECT_EQ(results[21].outcome, Outcome::kReset);
  EXPECT_EQ(store.counts().connections, 2u);
}

// If a connection breaks without being closed, only the one call on it is lost, and not all calls in flight.
TEST_F(StoreClientTest, UnresponsiveConnectionLosesOneCallOfMany) {
  for (std::uint64_t req = 1; req <= 8; ++req) Call(req);
  RunUntil([&] { return results.size() == 8; });
  results.clear();
  store.Silence(1);
  std::uint64_t next = 100;
  for (; next < 108; ++next) Call(next, 60s);
  // Each ended call is replaced by a new one, as the decision module does within its limit of calls in
  // flight.
  std::size_t replaced = 0;
  RunUntil([&] {
    for (; replaced < results.size(); ++replaced) Call(next++, 60s);
    return results.size() > 150;
  });
  std::size_t lost = 0;
  for (const auto& [req, result] : results) lost += result.outcome != Outcome::kOk;
  EXPECT_EQ(lost, 1u);
}

// A store that suddenly becomes ten times slower must not be taken for a broken connection: a call that has
// an effect must not be repeated, so a call on a connection that is closed without need is lost.
TEST_F(StoreClientTest, SuddenlySlowStoreLosesNoCall) {
  for (std::uint64_t req = 1; req <= 40; ++req) {
    Call(req);
    RunUntil([&] { return results.size() == req; });
  }
  store.SetWork(Millis(400));
  for (std::uint64_t req = 100; req < 116; ++req) Call(req, 60s);
  RunUntil([&] { return client->in_flight() == 0; });
  EXPECT_GT(client->counts().unresponsive, 0u);  // Retired as unresponsive, but not closed.
  EXPECT_EQ(client->counts().broken, 0u);
  EXPECT_EQ(client->counts().ok, 56u);
}

// A late reply to an abandoned call must not be taken for the reply to the next call of the same request.
TEST_F(StoreClientTest, NewCallDoesNotGetReplyToAbandonedCallOfSameRequest) {
  Call(1, 5s, "first ");
  RunUntil([&] { return store.in_hand() == 1; });
  client->Abandon(1);
  Call(1, 5s, "second ");
  RunUntil([&] { return results.size() == 1; });
  EXPECT_EQ(results[1].outcome, Outcome::kOk);
  EXPECT_EQ(results[1].reply, standin::ReplyOf("second 1"));
  EXPECT_EQ(store.counts().connections, 2u);
}

TEST_F(StoreClientTest, AddressChangeKeepsCallsInFlightOnOldConnections) {
  Store other_store(base.get(), {});
  store.SetStill(true);
  Call(1);
  RunUntil([&] { return store.in_hand() == 1; });
  client->ChangeAddress(ParseAddress(other_store.address()));
  Call(2);
  RunUntil([&] { return results.size() == 1; });
  EXPECT_EQ(results[2].outcome, Outcome::kOk);
  EXPECT_EQ(other_store.counts().calls, 1u);
  EXPECT_EQ(results.count(1), 0u);
  EXPECT_EQ(store.in_hand(), 1u);
}

struct BusyStoreTest : StoreClientTest {
  BusyStoreTest() : StoreClientTest({.busy_above = 0}) {}
};
TEST_F(BusyStoreTest, CallRejectedAsBusyIsNotExecuted) {
  Call(1);
  RunUntil([&] { return results.size() == 1; });
  EXPECT_EQ(results[1].outcome, Outcome::kFull);
  EXPECT_EQ(store.counts().begun, 0u);
}

// The store stalls with 200 calls in flight and then continues: each call ends once, and no call is executed
// twice.
TEST_F(StoreClientTest, StalledStoreWithTwoHundredCallsInFlightRunsNoCallTwice) {
  for (std::uint64_t req = 1; req <= 20; ++req) Call(req);
  RunUntil([&] { return results.size() == 20; });
  store.SetStill(true);
  for (std::uint64_t req = 1000; req < 1200; ++req) Call(req, 60s);
  RunUntil([&] { return !results.empty() && client->in_flight() == 0; });
  store.SetStill(false);
  Call(3000, 60s);
  RunUntil([&] { return results.count(3000) != 0; });
  EXPECT_EQ(results[3000].outcome, Outcome::kOk);
  EXPECT_EQ(results.size(), 221u);
  EXPECT_EQ(store.counts().twice, 0u);
  EXPECT_LE(store.counts().connections, 3 * decide::kMaxUpstreamConnections);
}

TEST(ReconnectBackoff, ReconnectsOfManyNodesAreSpreadAndBackOff) {
  std::mt19937_64 random(3);
  std::map<int, int> attempts;  // Per 100 ms, by 300 nodes that lose the store at the same time.
  for (int node = 0; node < 300; ++node) {
    decide::ReconnectBackoff backoff([&] { return std::generate_canonical<double, 32>(random); });
    double now = 0;
    while (now < 20'000) {
      now += backoff.OnFailure().count();
      ++attempts[static_cast<int>(now / 100)];
    }
  }
  // After the first second, each node makes about two attempts per second: 60 per 100 ms in total.
  for (int i = 20; i < 190; ++i) EXPECT_LT(attempts[i], 120) << i;
}

}  // namespace
}  // namespace hingelink::net
