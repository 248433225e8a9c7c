// Tests of StoreClient with a simulated store and with connection faults.
#include "net/store/store_client.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <optional>

#include "cut_off_listener.h"
#include "proto/pool_lines.h"
#include "proto/tokenizer.h"
#include "standin/own_address.h"
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
  explicit StoreClientTest(const StoreOptions& options = {}) : store(base.get(), AtOwnAddress(options)) {
    client.emplace(base.get(), ParseAddress(store.address()), 7,
                   [this](std::uint64_t req, Outcome outcome, Millis, std::string_view reply) {
                     EXPECT_EQ(results.count(req), 0u) << "ended twice";
                     results[req] = {outcome, std::string(reply)};
                   });
  }
  // No other process takes the address while the store is down.
  static StoreOptions AtOwnAddress(StoreOptions options) {
    options.listen = standin::OwnAddress();
    return options;
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

// A store that is reached through a listener of the test. It records the calls and answers them at once.
class RecordingStore {
 public:
  struct Call {
    std::uint64_t req = 0;
    double wait_ms = 0;
    std::string body;
  };
  RecordingStore(event_base* base, Descriptor listener)
      : base_(base),
        listener_(evconnlistener_new(
            base,
            [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
              static_cast<RecordingStore*>(self)->Accept(fd);
            },
            this, LEV_OPT_CLOSE_ON_FREE, 0, listener.release())) {
    evutil_make_socket_nonblocking(evconnlistener_get_fd(listener_.get()));
  }
  std::vector<Call> calls;
  std::vector<std::uint64_t> drops;

 private:
  void Accept(evutil_socket_t fd) {
    connections_.emplace_back(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        connections_.back().get(),
        [](bufferevent* bev, void* self) { static_cast<RecordingStore*>(self)->Read(bev); }, nullptr, nullptr,
        this);
    bufferevent_enable(connections_.back().get(), EV_READ | EV_WRITE);
  }
  void Read(bufferevent* bev) {
    for (;;) {
      const std::string_view all = ReceivedBytes(bev);
      const std::size_t end = all.find("\r\n");
      if (end == std::string_view::npos) return;
      proto::Tokenizer words(all.substr(0, end));
      const bool is_call = words.Next() == "CALL";
      const std::uint64_t req = words.Number<std::uint64_t>(16).value_or(0);
      if (!is_call) {
        drops.push_back(req);
        Consume(bev, end + 2);
        continue;
      }
      const double wait_ms = words.Number<double>().value_or(0);
      const std::size_t size = words.Number<std::size_t>().value_or(0);
      if (all.size() < end + 2 + size + 2) return;
      calls.push_back({req, wait_ms, std::string(all.substr(end + 2, size))});
      Consume(bev, end + 2 + size + 2);
      const std::string reply = standin::ReplyOf(calls.back().body);
      Send(bev,
           proto::FormatRequestId(req) + " OK " + std::to_string(reply.size()) + "\r\n" + reply + "\r\n");
    }
  }

  event_base* base_;
  ListenerPtr listener_;
  std::vector<BufferPtr> connections_;
};

// Guards against calls that reach the store without their body: the handshake takes longer than the store's
// replies, the connection is given up, and its calls are sent on another one.
TEST_F(StoreClientTest, CallsKeepTheirBodiesWhenTheirConnectionIsGivenUpDuringTheHandshake) {
  constexpr std::uint64_t kCalls = 4;
  const auto started = Steady::now();
  CutOffListener cut;
  client->ChangeAddress(ParseAddress(cut.address()));
  for (std::uint64_t req = 1; req <= kCalls; ++req) Call(req, 20s);
  RunUntil([&] { return client->counts().unresponsive >= kCalls; });
  const auto cut_ended = Steady::now();
  RecordingStore reached(base.get(), cut.Release());
  RunUntil([&] { return results.size() == kCalls; });
  for (const auto& [req, result] : results) {
    EXPECT_EQ(result.outcome, Outcome::kOk);
    EXPECT_EQ(result.reply, standin::ReplyOf(Body(req)));
  }
  ASSERT_EQ(reached.calls.size(), kCalls);
  // The store learns the time that remains when the call is sent, in whole milliseconds.
  const Millis least = 20s - (Steady::now() - started), most = 20s - (cut_ended - started) + 1ms;
  for (const RecordingStore::Call& call : reached.calls) {
    EXPECT_EQ(call.body, Body(call.req));
    EXPECT_GE(call.wait_ms, least.count());
    EXPECT_LE(call.wait_ms, most.count());
  }
}

// The same if the address of the store changes meanwhile.
TEST_F(StoreClientTest, CallsKeepTheirBodiesWhenTheAddressChangesDuringTheHandshake) {
  CutOffListener cut;
  client->ChangeAddress(ParseAddress(cut.address()));
  Call(1, 20s);
  Call(2, 20s);
  client->ChangeAddress(ParseAddress(store.address()));
  RunUntil([&] { return results.size() == 2; });
  for (const auto& [req, result] : results) {
    EXPECT_EQ(result.outcome, Outcome::kOk);
    EXPECT_EQ(result.reply, standin::ReplyOf(Body(req)));
  }
  EXPECT_EQ(store.counts().calls, 2u);
}

// A call that waits for a handshake has not run: its timeout says so, and neither the call nor a DROP is sent
// later. A new call of the same request is sent with its own body.
TEST_F(StoreClientTest, CallThatEndsDuringTheHandshakeIsNeverSent) {
  CutOffListener cut;
  client->ChangeAddress(ParseAddress(cut.address()));
  Call(1, 100ms);
  Call(2, 20s);
  client->Abandon(2);
  Call(3, 20s, "first ");
  Call(3, 20s, "second ");
  RunUntil([&] { return results.size() == 1; });
  EXPECT_EQ(results[1].outcome, Outcome::kConnectFailed);
  RecordingStore reached(base.get(), cut.Release());
  RunUntil([&] { return results.size() == 2; });
  EXPECT_EQ(results[3].reply, standin::ReplyOf("second 3"));
  ASSERT_EQ(reached.calls.size(), 1u);
  EXPECT_EQ(reached.calls[0].body, "second 3");
  EXPECT_TRUE(reached.drops.empty());
}

// The calls that wait for a handshake are bounded: beyond 1 MiB of bodies on the connection, further calls
// end as never written.
TEST_F(StoreClientTest, BodiesThatWaitForAHandshakeAreBounded) {
  constexpr std::size_t kBodyBytes = 64 << 10, kMaxBytes = 1 << 20;
  CutOffListener cut;
  client->ChangeAddress(ParseAddress(cut.address()));
  std::uint64_t refused = 0;
  for (std::uint64_t req = 1; req <= 1'000; ++req) client->Call(req, 20s, std::string(kBodyBytes, 'b'));
  RunUntil([&] {
    refused = results.size();
    return refused > 0;
  });
  for (const auto& [req, result] : results) EXPECT_EQ(result.outcome, Outcome::kConnectFailed);
  // One call beyond the limit on each connection may still be taken.
  EXPECT_LE(client->in_flight(), client->open_connections() * (kMaxBytes / kBodyBytes + 1));
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
