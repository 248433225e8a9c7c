// Several stand-ins of worker pools as one: where runs go, and that each runs once.
#include "net/pool_group.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "standin/pool.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

class GroupTest : public testing::Test {
 protected:
  // Pools of one core each, told to the group in this order.
  void Make(std::size_t count, const std::function<void(std::size_t, standin::PoolOptions&)>& tune = {},
            decide::LoadBalancerOptions spread = {}) {
    PoolGroupOptions options;
    for (std::size_t i = 0; i < count; ++i) {
      standin::PoolOptions pool;
      pool.cores.count = 2;
      pool.listen = {"127.0.0.1:0", "127.0.0.1:0"};
      if (tune) tune(i, pool);
      pools_.push_back(std::make_unique<standin::Pool>(base_.get(), pool));
      options.services.push_back({"s" + std::to_string(i), "", 2, pools_[i]->address()});
    }
    services_ = options.services;
    options.load_balancing = spread;
    options.self = "n0";
    options.fail_after = fail_after_;
    options.random = [this] {
      return draw_ = draw_ * 6364136223846793005ULL + 1442695040888963407ULL, draw_ >> 16 | draw_ << 48;
    };
    PoolEvents events;
    events.bound = [this](bool) { ++bound_; };
    events.finished = [this](const proto::RunFinished& run) {
      ended_[run.request_id].push_back(run.outcome == proto::RunOutcome::kComplete ? std::string(run.result)
                                                                                   : "error");
    };
    events.spawn_unknown = [this](std::uint64_t req) { ended_[req].push_back("unknown"); };
    events.ready = [this] {
      for (auto& [req, run] : runs_) {
        if (!ended_.contains(req) && !group_->Processed(run.mark)) Send(req);
      }
    };
    PoolGroupCallbacks callbacks;
    callbacks.restart_execution = [this](std::uint64_t req) {
      ++again_;
      if (nobody_waits_) return false;
      Send(req);
      return true;
    };
    callbacks.is_idempotent = [](std::string_view kind) { return kind != "write"; };
    callbacks.gauge_index = [](std::string_view name) {
      return name == "runnable" ? std::size_t{1} : std::size_t{9};
    };
    group_.emplace(base_.get(), std::move(options), std::move(events), std::move(callbacks));
  }
  void Send(std::uint64_t req) {
    Run& run = runs_[req];
    run.mark = group_->Spawn(req, run.kind, run.body);
  }
  std::uint64_t Start(const char* kind = "read", double work = 5) {
    const std::uint64_t req = 1000 + runs_.size();
    runs_[req] = {kind, standin::WorkBody(standin::Millis(work), "x" + std::to_string(req)), 0};
    Send(req);
    return req;
  }
  bool Until(const std::function<bool()>& done) {
    Timer late(base_.get(), [] {});
    const auto end = Steady::now() + 20s;
    while (!done() && Steady::now() < end) {
      late.Start(10ms);
      event_base_loop(base_.get(), EVLOOP_ONCE);
    }
    return done();
  }
  bool AllUp() {
    return Until([this] {
      const auto& ids = group_->load_balancer().active_endpoints();
      return std::all_of(ids.begin(), ids.end(), [this](auto id) {
        return group_->load_balancer().Snapshot(group_->Now(), id).state !=
               decide::EndpointState::kDisconnected;
      });
    });
  }
  bool AllEnded() {
    return Until([this] { return ended_.size() == runs_.size(); });
  }
  std::uint64_t Started() const {
    std::uint64_t all = 0;
    for (const auto& pool : pools_) all += pool->counts().started;
    return all;
  }
  // Each has one end, and each good one is what a run of it gives.
  void ExpectOneEndEach() {
    for (const auto& [req, ends] : ended_) {
      EXPECT_EQ(ends.size(), 1u) << req;
      const bool well = ends[0] != "error" && ends[0] != "unknown";
      EXPECT_TRUE(!well || ends[0] == standin::ResultOf(req, runs_[req].body)) << req;
    }
  }

  struct Run {
    std::string kind, body;
    WorkerPool::CommandMark mark = 0;
  };
  BasePtr base_ = MakeBase();
  std::uint64_t draw_ = 99;
  std::vector<std::unique_ptr<standin::Pool>> pools_;
  std::vector<ServiceEndpoint> services_;
  std::optional<PoolGroup> group_;
  std::map<std::uint64_t, Run> runs_;
  std::map<std::uint64_t, std::vector<std::string>> ended_;
  std::chrono::milliseconds fail_after_{30'000};
  bool nobody_waits_ = false;
  int bound_ = 0, again_ = 0;
};

TEST_F(GroupTest, RunsGoToAllAndEachHasItsOwnResult) {
  Make(4);
  EXPECT_FALSE(group_->ready());
  ASSERT_TRUE(AllUp());
  EXPECT_EQ(bound_, 1);  // The module begins once.
  for (int i = 0; i < 200; ++i) {
    Start();
    ASSERT_TRUE(i % 4 != 3 || AllEnded());
  }
  ASSERT_TRUE(AllEnded());
  ExpectOneEndEach();
  for (const auto& pool : pools_) EXPECT_GT(pool->counts().started, 5u);
  EXPECT_EQ(Started(), 200u);
  EXPECT_EQ(group_->in_flight(), 0u);
}

TEST_F(GroupTest, WhatOneDoesNotKnowRunsOnceElsewhereWithinTheBudget) {
  decide::LoadBalancerOptions spread;
  spread.max_retry_budget = 6;
  spread.policy = decide::Policy::kRandom;
  spread.max_ejected_fraction = 0;  // It is tried again and again.
  // The first knows no class of ours.
  Make(
      2, [](std::size_t i, standin::PoolOptions& pool) { pool.classes = {i == 0 ? "other" : "write"}; },
      spread);
  ASSERT_TRUE(AllUp());
  std::size_t unknown = 0;
  for (int i = 0; i < 100; ++i) {
    const std::uint64_t req = Start("write");
    ASSERT_TRUE(AllEnded());
    unknown += ended_[req][0] == "unknown" ? 1 : 0;
  }
  ExpectOneEndEach();
  EXPECT_GT(again_, 5);
  EXPECT_GT(unknown, 10u);
  EXPECT_LE(static_cast<double>(again_), spread.max_retry_budget + 0.1 * 100);
  EXPECT_EQ(pools_[1]->counts().started, 100 - unknown);
}

TEST_F(GroupTest, WhatMayRunTwiceLeavesAServiceThatIsAwayAndAWriteWaitsForIt) {
  Make(2);
  ASSERT_TRUE(AllUp());
  std::set<std::uint64_t> writes;
  for (int i = 0; i < 4; ++i) {
    Start("read", 300);
    writes.insert(Start("write", 300));
  }
  const std::uint64_t before = Started();
  ASSERT_TRUE(Until([&] { return Started() == 8; })) << before;
  // The first is gone for good, with what it had.
  const std::uint64_t lost = pools_[0]->counts().started;
  ASSERT_GT(lost, 0u);
  pools_[0].reset();
  ASSERT_TRUE(Until([&] { return ended_.size() >= 8 - writes.size() && again_ > 0; }));
  // Two seconds are more than enough for a write that would be sent anew.
  const auto until = group_->Now() + decide::Milliseconds(1'000);
  Until([&] { return group_->Now() > until; });
  ExpectOneEndEach();
  for (const auto& [req, run] : runs_) {
    EXPECT_TRUE(run.kind != "read" || ended_.contains(req)) << req;
  }
  // No write is anywhere but where it was sent first.
  std::uint64_t writes_ended = 0;
  for (const std::uint64_t req : writes) writes_ended += ended_.contains(req) ? 1 : 0;
  EXPECT_LT(writes_ended, 4u);
  EXPECT_EQ(group_->in_flight(), 4 - writes_ended);
}

TEST_F(GroupTest, WhatAServiceOwesThatNeverComesBackEndsOnceAndRunsNowhereElse) {
  fail_after_ = 700ms;
  nobody_waits_ = true;  // So that reads stay there, too.
  Make(2);
  ASSERT_TRUE(AllUp());
  for (int i = 0; i < 4; ++i) {
    Start("read", 300);
    Start("write", 300);
  }
  ASSERT_TRUE(Until([&] { return Started() == 8; }));
  const std::uint64_t lost = pools_[0]->counts().started;
  ASSERT_GT(lost, 0u);
  pools_[0].reset();
  ASSERT_TRUE(AllEnded());
  ExpectOneEndEach();
  std::uint64_t errors = 0;
  for (const auto& [req, ends] : ended_) errors += ends[0] == "error" ? 1 : 0;
  EXPECT_EQ(errors, lost);
  EXPECT_EQ(pools_[1]->counts().started, 8 - lost);
  EXPECT_EQ(group_->in_flight(), 0u);
}

TEST_F(GroupTest, WhatNeverRanEndsThoughNobodyWaitsForIt) {
  nobody_waits_ = true;
  Make(2, [](std::size_t, standin::PoolOptions& pool) { pool.classes = {"other"}; });
  ASSERT_TRUE(AllUp());
  for (int i = 0; i < 10; ++i) Start();
  ASSERT_TRUE(AllEnded());
  EXPECT_GT(again_, 0);
  EXPECT_EQ(group_->in_flight(), 0u);
  ExpectOneEndEach();
}

TEST_F(GroupTest, ABrokenLinkLosesNothingAndStartsNothingTwice) {
  Make(3);
  ASSERT_TRUE(AllUp());
  for (int round = 0; round < 30; ++round) {
    for (int i = 0; i < 6; ++i) Start(i % 2 == 0 ? "read" : "write", 8);
    // Read, and not yet told: such a run is undone with the link, as the protocol has it.
    ASSERT_TRUE(Until([&, all = runs_.size()] { return Started() >= all; }));
    standin::PoolFault broken;
    broken.kind = standin::PoolFault::Kind::kBreakLinks;
    pools_[static_cast<std::size_t>(round) % 3]->Cause(broken);
    ASSERT_TRUE(AllEnded()) << round;
  }
  ExpectOneEndEach();
  std::uint64_t swallowed = 0;
  for (const auto& pool : pools_) swallowed += pool->counts().swallowed;
  EXPECT_GT(swallowed, 0u);
  // What was undone does not count there as started.
  EXPECT_EQ(Started(), runs_.size() + static_cast<std::uint64_t>(again_));
}

TEST_F(GroupTest, AChangedListIsFollowedWithAnswersUnderWay) {
  Make(5);
  ASSERT_TRUE(AllUp());
  for (int round = 0; round < 40; ++round) {
    for (int i = 0; i < 3; ++i) Start();
    std::vector<ServiceEndpoint> fewer(services_);
    fewer.erase(fewer.begin() + round % 5);
    group_->SetServices(round % 2 == 0 ? fewer : services_);
    Until([&, ended = ended_.size()] { return ended_.size() > ended; });
  }
  ASSERT_TRUE(AllEnded());
  ExpectOneEndEach();
  group_->SetServices({services_[0]});
  ASSERT_TRUE(Until([this] { return group_->link_count() == 1; }));
  Start();
  EXPECT_TRUE(AllEnded());
}

}  // namespace
}  // namespace hingelink::net
