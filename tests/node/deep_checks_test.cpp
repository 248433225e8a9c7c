// Deep checks over real sockets: callers, the callers' side on one loop and on several, and the stand-in of
// the worker pool, with faults between them.
#include "node/checks/deep_checks.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "net/loop_group.h"
#include "net/pool_link.h"
#include "net/single_loop_front_end.h"
#include "scripted_peers.h"
#include "standin/host.h"
#include "standin/pool.h"

namespace hingelink::node {
namespace {

using namespace std::chrono_literals;
using peers::Frame;
using peers::Gateway;
using standin::PoolFault;

class Rig {
 public:
  explicit Rig(std::size_t loops) {
    host_.Do([&] {
      pool_.emplace(host_.base(), standin::PoolOptions{});
      net::PoolEvents below;
      below.bound = [](bool) {};
      below.finished = [](const proto::RunFinished&) {};
      below.spawn_unknown = [](std::uint64_t) {};
      below.verified = [this](std::uint64_t tag, bool good) { checks_->OnVerified(tag, good); };
      below.ready = [this] { checks_->OnPoolLinkReady(); };
      core::FrontEndEvents events;
      events.request = [](const core::IncomingRequest&) {};
      events.disconnected = [this](core::StreamAddress from) { checks_->OnCallerDisconnected(from); };
      events.deep_check = [this](core::StreamAddress from) { checks_->OnDeepCheck(from); };
      events.class_counts = [](std::string_view) { return nullptr; };
      const auto any = net::ParseAddress("127.0.0.1:0");
      if (loops == 0) {
        front_ = std::make_unique<net::SingleLoopFrontEnd>(host_.base(), any, net::Descriptor(), 100,
                                                           std::move(events));
      } else {
        net::LoopGroup::Options group;
        group.loops = loops;
        group.max_connections = 100;
        group.classes = [](std::size_t) { return std::make_shared<net::ClassTable>(); };
        group.class_counts = [](std::string_view, std::size_t) { return nullptr; };
        front_ = std::make_unique<net::LoopGroup>(host_.base(), any, net::Descriptor(), std::move(group),
                                                  std::move(events));
      }
      checks_.emplace(
          host_.base(),
          DeepChecks::Callbacks{
              .verify = [this](std::uint64_t tag) { return link_->Verify(tag); },
              .answer = [this](core::StreamAddress to, bool good) { front_->AnswerHealthCheck(to, good); }});
      link_.emplace(host_.base(), net::ParseAddress(pool_->address()), std::move(below));
      sweep_ = std::make_unique<net::Timer>(host_.base(), [this] {
        front_->Sweep();
        sweep_->Start(500us);
      });
      sweep_->Start(500us);
      port = front_->port();
    });
  }
  ~Rig() {
    host_.Do([this] {
      sweep_.reset();
      link_.reset();
      checks_.reset();
      front_.reset();
      pool_.reset();
    });
  }
  void SetHealth(bool good, bool shallow) {
    host_.Do([&] { front_->SetHealth(good, shallow); });
  }
  void Cause(const PoolFault& fault) {
    host_.Do([&] { pool_->Cause(fault); });
  }
  std::uint64_t verified() {
    std::uint64_t count = 0;
    host_.Do([&] { count = pool_->counts().verified; });
    return count;
  }
  std::size_t waiting_callers() {
    std::size_t count = 0;
    host_.Do([&] { count = checks_->waiting_callers(); });
    return count;
  }
  bool Await(const std::function<bool()>& done) {
    const auto end = net::Steady::now() + 20s;
    while (!done() && net::Steady::now() < end) std::this_thread::sleep_for(1ms);
    return done();
  }

  std::uint16_t port = 0;

 private:
  standin::Host host_;
  std::optional<standin::Pool> pool_;
  std::unique_ptr<net::GatewayFrontEnd> front_;
  std::optional<DeepChecks> checks_;
  std::optional<net::PoolLink> link_;
  std::unique_ptr<net::Timer> sweep_;
};

std::string EncodeHealthCheck(std::uint32_t stream, bool deep) {
  return Gateway::Encode(6, stream,
                         deep ? std::string("\x01\x04real\x00\x01"
                                            "1",
                                            9)
                              : std::string(1, '\0'));
}

int ReadHealthCode(Gateway& gateway) {
  const Frame frame = gateway.Read();
  EXPECT_EQ(frame.type, 7);
  return frame.code;
}

// Wishes for checks by work. That reaches a loop in its own time: asked until one is done so.
bool RequestDeepChecksUntilVerified(Rig& rig, Gateway& caller, std::uint32_t& stream) {
  rig.SetHealth(true, false);
  return rig.Await([&] {
    caller.Write(EncodeHealthCheck(++stream, true));
    (void)ReadHealthCode(caller);
    return rig.verified() > 0;
  });
}

class DeepHealthCheckTest : public testing::TestWithParam<std::size_t> {};

TEST_P(DeepHealthCheckTest, AreAnsweredByWorkWhereThatIsWishedAndFromTheStoreElse) {
  Rig rig(GetParam());
  Gateway caller(rig.port);
  caller.Write(EncodeHealthCheck(1, true));
  EXPECT_EQ(ReadHealthCode(caller), 0);
  EXPECT_EQ(rig.verified(), 0u);
  rig.SetHealth(true, false);
  // The wish reaches a loop in its own time: asked until one is done by work.
  std::uint32_t stream = 1;
  ASSERT_TRUE(rig.Await([&] {
    caller.Write(EncodeHealthCheck(++stream, true));
    EXPECT_EQ(ReadHealthCode(caller), 0);
    return rig.verified() > 0;
  }));
  const std::uint64_t before = rig.verified();
  caller.Write(EncodeHealthCheck(++stream, false));
  EXPECT_EQ(ReadHealthCode(caller), 0);
  EXPECT_EQ(rig.verified(), before);
  rig.Cause({.kind = PoolFault::Kind::kErrors, .lasts = standin::Millis(60'000)});
  caller.Write(EncodeHealthCheck(++stream, true));
  EXPECT_NE(ReadHealthCode(caller), 0);
}

TEST_P(DeepHealthCheckTest, ManyAskersHaveOneVerifyInHandAndItsOutcome) {
  Rig rig(GetParam());
  Gateway first(rig.port);
  std::uint32_t stream = 0;
  ASSERT_TRUE(RequestDeepChecksUntilVerified(rig, first, stream));
  const std::uint64_t before = rig.verified();
  std::vector<std::unique_ptr<Gateway>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(std::make_unique<Gateway>(rig.port));
    callers.back()->Write(EncodeHealthCheck(1, true));
  }
  for (const auto& caller : callers) EXPECT_EQ(ReadHealthCode(*caller), 0);
  // Those that were read behind the end of the first share the second.
  EXPECT_LE(rig.verified() - before, 4u);
}

TEST_P(DeepHealthCheckTest, ABrokenLinkAsksAgainAndAHungPoolIsBadInItsTime) {
  Rig rig(GetParam());
  Gateway caller(rig.port);
  std::uint32_t stream = 0;
  ASSERT_TRUE(RequestDeepChecksUntilVerified(rig, caller, stream));
  // The pool stands still as the verify is sent: it is lost with the link, unread.
  rig.Cause({.kind = PoolFault::Kind::kHang, .lasts = standin::Millis(200)});
  caller.Write(EncodeHealthCheck(++stream, true));
  ASSERT_TRUE(rig.Await([&] { return rig.waiting_callers() == 1; }));
  rig.Cause({.kind = PoolFault::Kind::kBreakLinks});
  EXPECT_EQ(ReadHealthCode(caller), 0);
  rig.Cause({.kind = PoolFault::Kind::kHang, .lasts = standin::Millis(60'000)});
  const auto asked = net::Steady::now();
  caller.Write(EncodeHealthCheck(++stream, true));
  EXPECT_NE(ReadHealthCode(caller), 0);
  EXPECT_GE(net::Steady::now() - asked, decide::DeepHealthChecks<int>::kTimeout - 1ms);
  // One whose caller leaves is forgotten.
  caller.Write(EncodeHealthCheck(++stream, true));
  ASSERT_TRUE(rig.Await([&] { return rig.waiting_callers() == 1; }));
  caller.socket().Close();
  ASSERT_TRUE(rig.Await([&] { return rig.waiting_callers() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(DeepChecks, DeepHealthCheckTest, testing::Values(0, 2));

}  // namespace
}  // namespace hingelink::node
