// Tests of deep health checks over real sockets: callers, a gateway front end with one event loop or several,
// and a stand-in for the worker pool that causes faults.
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

class DeepCheckSetup {
 public:
  explicit DeepCheckSetup(std::size_t loops) {
    host_.Do([&] {
      pool_.emplace(host_.base(), standin::PoolOptions{});
      net::PoolEvents pool_events;
      pool_events.bound = [](bool) {};
      pool_events.finished = [](const proto::RunFinished&) {};
      pool_events.spawn_unknown = [](std::uint64_t) {};
      pool_events.verified = [this](std::uint64_t tag, bool good) { checks_->OnVerified(tag, good); };
      pool_events.ready = [this] { checks_->OnPoolLinkReady(); };
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
      link_.emplace(host_.base(), net::ParseAddress(pool_->address()), std::move(pool_events));
      sweep_ = std::make_unique<net::Timer>(host_.base(), [this] {
        front_->Sweep();
        sweep_->Start(500us);
      });
      sweep_->Start(500us);
      port = front_->port();
    });
  }
  ~DeepCheckSetup() {
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
  return Gateway::Encode(peers::kHealthCheckFrame, stream,
                         deep ? std::string("\x01\x04real\x00\x01"
                                            "1",
                                            9)
                              : std::string(1, '\0'));
}

int ReadHealthCode(Gateway& gateway) {
  const Frame frame = gateway.Read();
  EXPECT_EQ(frame.type, peers::kHealthResponseFrame);
  return frame.code;
}

// Sets the health state so that deep checks are verified by the worker pool. The state reaches an event loop
// asynchronously, so the caller repeats the check until one is verified.
bool RequestDeepChecksUntilVerified(DeepCheckSetup& setup, Gateway& caller, std::uint32_t& stream) {
  setup.SetHealth(true, false);
  return setup.Await([&] {
    caller.Write(EncodeHealthCheck(++stream, true));
    (void)ReadHealthCode(caller);
    return setup.verified() > 0;
  });
}

class DeepHealthCheckTest : public testing::TestWithParam<std::size_t> {};

TEST_P(DeepHealthCheckTest, DeepChecksAreVerifiedByThePoolOnlyWhenTheHealthStateIsNotShallow) {
  DeepCheckSetup setup(GetParam());
  Gateway caller(setup.port);
  caller.Write(EncodeHealthCheck(1, true));
  EXPECT_EQ(ReadHealthCode(caller), 0);
  EXPECT_EQ(setup.verified(), 0u);
  setup.SetHealth(true, false);
  // The state reaches an event loop asynchronously, so the caller repeats the check until one is verified.
  std::uint32_t stream = 1;
  ASSERT_TRUE(setup.Await([&] {
    caller.Write(EncodeHealthCheck(++stream, true));
    EXPECT_EQ(ReadHealthCode(caller), 0);
    return setup.verified() > 0;
  }));
  const std::uint64_t before = setup.verified();
  caller.Write(EncodeHealthCheck(++stream, false));
  EXPECT_EQ(ReadHealthCode(caller), 0);
  EXPECT_EQ(setup.verified(), before);
  setup.Cause({.kind = PoolFault::Kind::kErrors, .lasts = standin::Millis(60'000)});
  caller.Write(EncodeHealthCheck(++stream, true));
  EXPECT_NE(ReadHealthCode(caller), 0);
}

TEST_P(DeepHealthCheckTest, ConcurrentDeepChecksShareOneVerifyCommand) {
  DeepCheckSetup setup(GetParam());
  Gateway first(setup.port);
  std::uint32_t stream = 0;
  ASSERT_TRUE(RequestDeepChecksUntilVerified(setup, first, stream));
  const std::uint64_t before = setup.verified();
  std::vector<std::unique_ptr<Gateway>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(std::make_unique<Gateway>(setup.port));
    callers.back()->Write(EncodeHealthCheck(1, true));
  }
  for (const auto& caller : callers) EXPECT_EQ(ReadHealthCode(*caller), 0);
  // Checks that are read after the first verify command has completed share the next one.
  EXPECT_LE(setup.verified() - before, 4u);
}

TEST_P(DeepHealthCheckTest, DeepCheckIsRetriedAfterALinkLossAndTimesOutWhenThePoolHangs) {
  DeepCheckSetup setup(GetParam());
  Gateway caller(setup.port);
  std::uint32_t stream = 0;
  ASSERT_TRUE(RequestDeepChecksUntilVerified(setup, caller, stream));
  // The pool hangs when the verify command is sent, so the command is lost unread with the link.
  setup.Cause({.kind = PoolFault::Kind::kHang, .lasts = standin::Millis(200)});
  caller.Write(EncodeHealthCheck(++stream, true));
  ASSERT_TRUE(setup.Await([&] { return setup.waiting_callers() == 1; }));
  setup.Cause({.kind = PoolFault::Kind::kBreakLinks});
  EXPECT_EQ(ReadHealthCode(caller), 0);
  setup.Cause({.kind = PoolFault::Kind::kHang, .lasts = standin::Millis(60'000)});
  const auto asked = net::Steady::now();
  caller.Write(EncodeHealthCheck(++stream, true));
  EXPECT_NE(ReadHealthCode(caller), 0);
  EXPECT_GE(net::Steady::now() - asked, decide::DeepHealthChecks<int>::kTimeout - 1ms);
  // A check is dropped when its caller disconnects.
  caller.Write(EncodeHealthCheck(++stream, true));
  ASSERT_TRUE(setup.Await([&] { return setup.waiting_callers() == 1; }));
  caller.socket().Close();
  ASSERT_TRUE(setup.Await([&] { return setup.waiting_callers() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(DeepChecks, DeepHealthCheckTest, testing::Values(0, 2));

}  // namespace
}  // namespace hingelink::node
