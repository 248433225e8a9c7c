// The stand-ins: what every later test rests on.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sys/socket.h>

#include <optional>

#include "proto/pool_lines.h"
#include "standin/core_model.h"
#include "standin/faults.h"
#include "standin/host.h"
#include "standin/pool.h"
#include "standin/registry.h"

namespace {

using namespace std::chrono_literals;
using namespace hingelink::standin;
using hingelink::proto::FormatRequestId;

double Sum(const std::vector<std::uint64_t>& ids) {
  double sum = 0;
  for (const auto id : ids) sum += static_cast<double>(id);
  return sum;
}

TEST(CoreModel, SharesItsCoresEvenly) {
  CoreModel model({.count = 2});
  for (std::uint64_t run = 1; run <= 4; ++run) model.Start(run, Millis(100), Millis(0));
  EXPECT_NEAR(model.NextEnd(Millis(0))->count(), 200, 1e-6);
  EXPECT_TRUE(model.TakeEnded(Millis(199)).empty());
  EXPECT_EQ(Sum(model.TakeEnded(Millis(200.001))), 10);
  // One run cannot use two cores.
  model.Start(9, Millis(50), Millis(300));
  EXPECT_NEAR(model.NextEnd(Millis(300))->count(), 350, 1e-6);
}

TEST(CoreModel, ColdSlowAndCrowdedWorkTakesLonger) {
  CoreModel warming_up({.count = 1, .speed = 2, .warm_up_speed_fraction = 0.5, .cold_for = Millis(100)});
  warming_up.Start(1, Millis(300), Millis(0));  // 100 ms at 1, then 200 of work at 2.
  EXPECT_NEAR(warming_up.NextEnd(Millis(0))->count(), 200, 1e-6);
  CoreModel crowd({.count = 1, .crowd_at = 2, .crowd_share = 0.5});
  for (std::uint64_t run = 1; run <= 3; ++run) crowd.Start(run, Millis(10), Millis(0));
  EXPECT_NEAR(crowd.NextEnd(Millis(0))->count(), 60, 1e-6);
  CoreModel slow({.count = 1});
  slow.Start(1, Millis(100), Millis(0));
  slow.SetPace(0.25, Millis(50));
  EXPECT_NEAR(slow.NextEnd(Millis(50))->count(), 250, 1e-6);
  slow.SetPace(0, Millis(60));
  EXPECT_FALSE(slow.NextEnd(Millis(60)));
  EXPECT_TRUE(slow.TakeEnded(Millis(10'000)).empty());
}

// Whatever starts when: no core does more than its speed, and all work ends.
TEST(CoreModel, NeverDoesMoreThanItsCoresCan) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint16_t>& starts, std::uint8_t cores) {
    CoreModel model({.count = 1 + cores % 8, .crowd_at = 1e9});
    double now = 0, work = 0;
    std::size_t ended = 0;
    for (std::size_t i = 0; i < starts.size(); ++i) {
      now += starts[i] % 31;
      ended += model.TakeEnded(Millis(now)).size();
      const double its = 1 + starts[i] % 97;
      work += its;
      model.Start(i + 1, Millis(its), Millis(now));
    }
    while (const auto next = model.NextEnd(Millis(now))) {
      now = std::max(now, next->count()) + 1e-6;
      ended += model.TakeEnded(Millis(now)).size();
    }
    RC_ASSERT(ended == starts.size());
    RC_ASSERT(now * (1 + cores % 8) + 1 >= work);
    RC_ASSERT(model.running() == 0u);
  }));
}

// A link that says what the test wants.
class Link {
 public:
  explicit Link(const std::string& address) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in at = hingelink::net::ParseAddress(address);
    EXPECT_EQ(connect(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    const timeval patience{20, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  }
  void Say(const std::string& text) const {
    EXPECT_EQ(send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }
  std::string Line() {
    std::size_t end;
    while ((end = read_.find("\r\n")) == std::string::npos) {
      char bytes[4096];
      const ssize_t got = recv(fd_.get(), bytes, sizeof bytes, 0);
      if (got <= 0) return "closed";
      read_.append(bytes, static_cast<std::size_t>(got));
    }
    const std::string line = read_.substr(0, end);
    read_.erase(0, end + 2);
    return line;
  }

 private:
  hingelink::net::Descriptor fd_;
  std::string read_;
};

struct Served {
  explicit Served(PoolOptions options = {}) {
    host.Do([&] { pool.emplace(host.base(), options); });
  }
  ~Served() {
    host.Do([this] { pool.reset(); });
  }
  PoolCounts counts() {
    PoolCounts seen;
    host.Do([&] { seen = pool->counts(); });
    return seen;
  }
  void Cause(PoolFault::Kind kind, double lasts = 0) {
    host.Do([&] { pool->Cause({kind, Millis(0), Millis(lasts), 3}); });
  }
  std::string address(std::size_t place = 0) const { return pool->address(place); }

  Host host;
  std::optional<Pool> pool;
};

std::string Spawn(std::uint64_t req, const std::string& body) {
  return "spawn " + FormatRequestId(req) + " c " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
}

TEST(PoolStandin, RunsAndGivesAResultThatCanBeTold) {
  Served served;
  Link link(served.address());
  link.Say("bind 0\r\n");
  EXPECT_TRUE(link.Line().starts_with("bound hot "));
  const std::string body = WorkBody(Millis(1), "x");
  link.Say(Spawn(7, body));
  EXPECT_TRUE(link.Line().starts_with("finished 1 0000000000000007 complete "));
  EXPECT_EQ(link.Line(), ResultOf(7, body));
  EXPECT_NE(ResultOf(7, body), ResultOf(8, body));
  EXPECT_NE(ResultOf(7, body), ResultOf(7, body + "y"));
  link.Say("poll t1\r\n");
  EXPECT_TRUE(link.Line().starts_with("polled t1 "));
  // What is over is not run again.
  link.Say(Spawn(7, body));
  EXPECT_TRUE(link.Line().starts_with("finished 2 0000000000000007 unknown "));
  EXPECT_EQ(served.counts().started, 1u);
  EXPECT_EQ(served.counts().repeated, 1u);
}

TEST(PoolStandin, TellsANewLinkAllNoticesBehindTheOneItNames) {
  Served served;
  {
    Link link(served.address());
    link.Say("bind 0\r\n" + Spawn(1, WorkBody(Millis(0), "")) + Spawn(2, WorkBody(Millis(1), "")));
    link.Line();
    for (int i = 0; i < 4; ++i) link.Line();
  }
  Link link(served.address());
  link.Say("bind 1\r\n");
  EXPECT_TRUE(link.Line().starts_with("bound"));
  EXPECT_TRUE(link.Line().starts_with("finished 2 0000000000000002 complete"));
}

TEST(PoolStandin, EachAddressHasItsOwnNoticesAndRuns) {
  Served served({.listen = {"127.0.0.1:0", "127.0.0.1:0"}});
  Link one(served.address(0)), two(served.address(1));
  one.Say("bind 0\r\n");
  two.Say("bind 0\r\n");
  one.Line();
  two.Line();
  two.Say(Spawn(5, WorkBody(Millis(0), "")));
  EXPECT_TRUE(two.Line().starts_with("finished 1 "));
  one.Say("poll x\r\n");
  EXPECT_TRUE(one.Line().starts_with("polled x"));
}

TEST(PoolStandin, ABrokenLinkSwallowsWhatNoAnswerFollowed) {
  Served served;
  Link link(served.address());
  link.Say("bind 0\r\n");
  link.Line();
  link.Say(Spawn(1, WorkBody(Millis(60'000), "")) + "poll a\r\n");
  link.Line();
  link.Say(Spawn(2, WorkBody(Millis(60'000), "")));
  while (served.counts().started < 2) {
  }
  served.Cause(PoolFault::Kind::kBreakLinks);
  EXPECT_EQ(link.Line(), "closed");
  // The second may be older than 50 ms on a machine that stood still; the first was answered for in any case.
  EXPECT_LE(served.counts().swallowed, 1u);
  std::size_t running = 0;
  served.host.Do([&] { running = served.pool->running(); });
  EXPECT_EQ(running, 2 - served.counts().swallowed);
}

TEST(PoolStandin, WhatIsNoCommandEndsTheLink) {
  for (const char* bad : {"nonsense\r\n", "spawn 1\r\n", "bind x\r\n", "spawn zz c 3\r\nabc\r\n", "poll\r\n",
                          "spawn 01 c 3\r\nabcde"}) {
    Served served;
    Link link(served.address());
    link.Say(std::string("bind 0\r\n"));
    link.Line();
    link.Say(bad);
    EXPECT_EQ(link.Line(), "closed") << bad;
    EXPECT_EQ(served.counts().bad_commands, 1u);
  }
  Served served({.classes = {"known"}});
  Link link(served.address());
  link.Say("bind 0\r\n" + Spawn(1, "x"));
  link.Line();
  EXPECT_EQ(link.Line(), "unknown spawn 0000000000000001");
}

TEST(PoolStandin, HangsAndErrsOnCue) {
  Served served;
  Link link(served.address());
  link.Say("bind 0\r\n");
  link.Line();
  served.Cause(PoolFault::Kind::kHang, 300);
  const auto began = std::chrono::steady_clock::now();
  link.Say("poll a\r\n");
  EXPECT_TRUE(link.Line().starts_with("polled a"));
  EXPECT_GE(std::chrono::steady_clock::now() - began, 250ms);
  served.Cause(PoolFault::Kind::kErrors, 60'000);
  link.Say(Spawn(3, WorkBody(Millis(0), "")));
  EXPECT_TRUE(link.Line().starts_with("finished 1 0000000000000003 error"));
  served.Cause(PoolFault::Kind::kRemark);
  link.Line();  // The empty result.
  EXPECT_EQ(link.Line(), "chatter 2 xxx");
}

TEST(RegistryStandin, ListsWhoReportsAndForgetsWhoDoesNot) {
  Host host;
  std::optional<Registry> registry;
  host.Do([&] { registry.emplace(host.base(), RegistryOptions{.lapse = 50ms}); });
  Link link(registry->address());
  const auto put = [&](const std::string& body) {
    link.Say("PUT /v1/instances/n1 HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body);
    const std::string status = link.Line();
    while (!link.Line().empty()) {
    }
    return status;
  };
  EXPECT_EQ(put(R"({"state":"ready"})"), "HTTP/1.1 204 No Content");
  EXPECT_EQ(put(R"({"state":"odd"})"), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(put(R"({"state":"draining"})"), "HTTP/1.1 204 No Content");
  std::string state = "x";
  const auto until = std::chrono::steady_clock::now() + 20s;
  while (!state.empty() && std::chrono::steady_clock::now() < until) {
    host.Do([&] { state = registry->state_of("n1"); });
  }
  EXPECT_EQ(state, "");
  host.Do([&] { registry.reset(); });
}

TEST(FaultScript, IsReadOrSaysWhere) {
  const auto faults = ParseFaults(R"([{"at_ms":5,"fault":"hang","for_ms":7},{"fault":"slow","factor":6}])");
  ASSERT_EQ(faults.size(), 2u);
  EXPECT_EQ(faults[0].lasts, Millis(7));
  EXPECT_EQ(faults[1].factor, 6);
  for (const char* bad : {"{}", R"([{"fault":"no"}])", R"([{"fault":"hang","at":1}])",
                          R"([{"fault":"hang","at_ms":-1}])", R"([7])"}) {
    EXPECT_THROW(ParseFaults(bad), std::runtime_error) << bad;
  }
}

}  // namespace
