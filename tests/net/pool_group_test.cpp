// Tests of PoolGroup with several simulated worker pools: which pool runs an execution, and that each
// execution runs once.
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

class PoolGroupTest : public testing::Test {
 protected:
  // Creates a group of pools with two cores each. `configure` may change the options of each pool.
  void CreateGroup(std::size_t count,
                   const std::function<void(std::size_t, standin::PoolOptions&)>& configure = {},
                   decide::LoadBalancerOptions load_balancing = {}) {
    PoolGroupOptions options;
    for (std::size_t i = 0; i < count; ++i) {
      standin::PoolOptions pool;
      pool.cores.count = 2;
      pool.listen = {"127.0.0.1:0", "127.0.0.1:0"};
      if (configure) configure(i, pool);
      pools_.push_back(std::make_unique<standin::Pool>(base_.get(), pool));
      options.services.push_back({"s" + std::to_string(i), "", 2, pools_[i]->address()});
    }
    services_ = options.services;
    options.load_balancing = load_balancing;
    options.self = "n0";
    options.fail_after = fail_after_;
    options.random = [this] {
      return random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL,
             random_state_ >> 16 | random_state_ << 48;
    };
    PoolEvents events;
    events.bound = [this](bool) { ++bound_events_; };
    events.finished = [this](const proto::RunFinished& run) {
      results_[run.request_id].push_back(run.outcome == proto::RunOutcome::kComplete ? std::string(run.result)
                                                                                     : "error");
    };
    events.spawn_unknown = [this](std::uint64_t req) { results_[req].push_back("unknown"); };
    events.ready = [this] {
      for (auto& [req, execution] : executions_) {
        if (!results_.contains(req) && !group_->Processed(execution.mark)) SpawnExecution(req);
      }
    };
    PoolGroupCallbacks callbacks;
    callbacks.restart_execution = [this](std::uint64_t req) {
      ++restarts_;
      if (no_caller_waits_) return false;
      SpawnExecution(req);
      return true;
    };
    callbacks.is_idempotent = [](std::string_view kind) { return kind != "write"; };
    callbacks.gauge_index = [](std::string_view name) {
      return name == "runnable" ? std::size_t{1} : std::size_t{9};
    };
    group_.emplace(base_.get(), std::move(options), std::move(events), std::move(callbacks));
  }
  void SpawnExecution(std::uint64_t req) {
    Execution& execution = executions_[req];
    execution.mark = group_->Spawn(req, execution.kind, execution.body);
  }
  std::uint64_t StartExecution(const char* kind = "read", double work = 5) {
    const std::uint64_t req = 1000 + executions_.size();
    executions_[req] = {kind, standin::WorkBody(standin::Millis(work), "x" + std::to_string(req)), 0};
    SpawnExecution(req);
    return req;
  }
  // Runs the event loop until the condition holds, for 20 s at most.
  bool RunUntil(const std::function<bool()>& done) {
    Timer timer(base_.get(), [] {});
    const auto end = Steady::now() + 20s;
    while (!done() && Steady::now() < end) {
      timer.Start(10ms);
      event_base_loop(base_.get(), EVLOOP_ONCE);
    }
    return done();
  }
  bool RunUntilConnected() {
    return RunUntil([this] {
      const auto& ids = group_->load_balancer().active_endpoints();
      return std::all_of(ids.begin(), ids.end(), [this](auto id) {
        return group_->load_balancer().Snapshot(group_->Now(), id).state !=
               decide::EndpointState::kDisconnected;
      });
    });
  }
  bool RunUntilAllEnded() {
    return RunUntil([this] { return results_.size() == executions_.size(); });
  }
  std::uint64_t StartedExecutions() const {
    std::uint64_t all = 0;
    for (const auto& pool : pools_) all += pool->counts().started;
    return all;
  }
  // Each execution has ended once, and each successful one has the result of its body.
  void ExpectOneValidResultEach() {
    for (const auto& [req, results] : results_) {
      EXPECT_EQ(results.size(), 1u) << req;
      const bool succeeded = results[0] != "error" && results[0] != "unknown";
      EXPECT_TRUE(!succeeded || results[0] == standin::ResultOf(req, executions_[req].body)) << req;
    }
  }

  struct Execution {
    std::string kind, body;
    WorkerPool::CommandMark mark = 0;
  };
  BasePtr base_ = MakeBase();
  std::uint64_t random_state_ = 99;
  std::vector<std::unique_ptr<standin::Pool>> pools_;
  std::vector<ServiceEndpoint> services_;
  std::optional<PoolGroup> group_;
  std::map<std::uint64_t, Execution> executions_;
  std::map<std::uint64_t, std::vector<std::string>> results_;
  std::chrono::milliseconds fail_after_{30'000};
  bool no_caller_waits_ = false;
  int bound_events_ = 0, restarts_ = 0;
};

TEST_F(PoolGroupTest, ExecutionsAreDistributedToAllPoolsAndEachReturnsItsOwnResult) {
  CreateGroup(4);
  EXPECT_FALSE(group_->ready());
  ASSERT_TRUE(RunUntilConnected());
  EXPECT_EQ(bound_events_, 1);  // The decision module is started once.
  for (int i = 0; i < 200; ++i) {
    StartExecution();
    ASSERT_TRUE(i % 4 != 3 || RunUntilAllEnded());
  }
  ASSERT_TRUE(RunUntilAllEnded());
  ExpectOneValidResultEach();
  for (const auto& pool : pools_) EXPECT_GT(pool->counts().started, 5u);
  EXPECT_EQ(StartedExecutions(), 200u);
  EXPECT_EQ(group_->in_flight(), 0u);
}

TEST_F(PoolGroupTest, ExecutionRejectedByOnePoolRunsOnceElsewhereWithinRetryBudget) {
  decide::LoadBalancerOptions load_balancing;
  load_balancing.max_retry_budget = 6;
  load_balancing.policy = decide::Policy::kRandom;
  load_balancing.max_ejected_fraction = 0;  // The rejecting pool is not ejected.
  // The first pool does not know the class of the executions.
  CreateGroup(
      2, [](std::size_t i, standin::PoolOptions& pool) { pool.classes = {i == 0 ? "other" : "write"}; },
      load_balancing);
  ASSERT_TRUE(RunUntilConnected());
  std::size_t unknown = 0;
  for (int i = 0; i < 100; ++i) {
    const std::uint64_t req = StartExecution("write");
    ASSERT_TRUE(RunUntilAllEnded());
    unknown += results_[req][0] == "unknown" ? 1 : 0;
  }
  ExpectOneValidResultEach();
  EXPECT_GT(restarts_, 5);
  EXPECT_GT(unknown, 10u);
  EXPECT_LE(static_cast<double>(restarts_), load_balancing.max_retry_budget + 0.1 * 100);
  EXPECT_EQ(pools_[1]->counts().started, 100 - unknown);
}

TEST_F(PoolGroupTest, IdempotentExecutionsLeaveDisconnectedServiceAndWritesStay) {
  CreateGroup(2);
  ASSERT_TRUE(RunUntilConnected());
  std::set<std::uint64_t> writes;
  for (int i = 0; i < 4; ++i) {
    StartExecution("read", 300);
    writes.insert(StartExecution("write", 300));
  }
  const std::uint64_t before = StartedExecutions();
  ASSERT_TRUE(RunUntil([&] { return StartedExecutions() == 8; })) << before;
  // The first pool disappears for good with its executions.
  const std::uint64_t lost = pools_[0]->counts().started;
  ASSERT_GT(lost, 0u);
  pools_[0].reset();
  ASSERT_TRUE(RunUntil([&] { return results_.size() >= 8 - writes.size() && restarts_ > 0; }));
  // A write that is restarted by mistake would be sent within this time.
  const auto until = group_->Now() + decide::Milliseconds(1'000);
  RunUntil([&] { return group_->Now() > until; });
  ExpectOneValidResultEach();
  for (const auto& [req, execution] : executions_) {
    EXPECT_TRUE(execution.kind != "read" || results_.contains(req)) << req;
  }
  // Writes at the lost pool have not ended and are still in flight.
  std::uint64_t writes_ended = 0;
  for (const std::uint64_t req : writes) writes_ended += results_.contains(req) ? 1 : 0;
  EXPECT_LT(writes_ended, 4u);
  EXPECT_EQ(group_->in_flight(), 4 - writes_ended);
}

TEST_F(PoolGroupTest, ExecutionsOfLostServiceFailOnceAndRunNowhereElse) {
  fail_after_ = 700ms;
  no_caller_waits_ = true;  // So that reads stay at the lost pool as well.
  CreateGroup(2);
  ASSERT_TRUE(RunUntilConnected());
  for (int i = 0; i < 4; ++i) {
    StartExecution("read", 300);
    StartExecution("write", 300);
  }
  ASSERT_TRUE(RunUntil([&] { return StartedExecutions() == 8; }));
  const std::uint64_t lost = pools_[0]->counts().started;
  ASSERT_GT(lost, 0u);
  pools_[0].reset();
  ASSERT_TRUE(RunUntilAllEnded());
  ExpectOneValidResultEach();
  std::uint64_t errors = 0;
  for (const auto& [req, results] : results_) errors += results[0] == "error" ? 1 : 0;
  EXPECT_EQ(errors, lost);
  EXPECT_EQ(pools_[1]->counts().started, 8 - lost);
  EXPECT_EQ(group_->in_flight(), 0u);
}

TEST_F(PoolGroupTest, ExecutionThatNeverRanEndsEvenIfNoCallerWaits) {
  no_caller_waits_ = true;
  CreateGroup(2, [](std::size_t, standin::PoolOptions& pool) { pool.classes = {"other"}; });
  ASSERT_TRUE(RunUntilConnected());
  for (int i = 0; i < 10; ++i) StartExecution();
  ASSERT_TRUE(RunUntilAllEnded());
  EXPECT_GT(restarts_, 0);
  EXPECT_EQ(group_->in_flight(), 0u);
  ExpectOneValidResultEach();
}

TEST_F(PoolGroupTest, BrokenLinkLosesNoExecutionAndStartsNoneTwice) {
  CreateGroup(3);
  ASSERT_TRUE(RunUntilConnected());
  for (int round = 0; round < 30; ++round) {
    for (int i = 0; i < 6; ++i) StartExecution(i % 2 == 0 ? "read" : "write", 8);
    // The pool has read the commands but not reported their ends. By the protocol, the pool discards such
    // executions when the link breaks.
    ASSERT_TRUE(RunUntil([&, all = executions_.size()] { return StartedExecutions() >= all; }));
    standin::PoolFault broken;
    broken.kind = standin::PoolFault::Kind::kBreakLinks;
    pools_[static_cast<std::size_t>(round) % 3]->Cause(broken);
    ASSERT_TRUE(RunUntilAllEnded()) << round;
  }
  ExpectOneValidResultEach();
  std::uint64_t swallowed = 0;
  for (const auto& pool : pools_) swallowed += pool->counts().swallowed;
  EXPECT_GT(swallowed, 0u);
  // Discarded executions are not counted as started.
  EXPECT_EQ(StartedExecutions(), executions_.size() + static_cast<std::uint64_t>(restarts_));
}

TEST_F(PoolGroupTest, ServiceListChangesWithExecutionsInFlight) {
  CreateGroup(5);
  ASSERT_TRUE(RunUntilConnected());
  for (int round = 0; round < 40; ++round) {
    for (int i = 0; i < 3; ++i) StartExecution();
    std::vector<ServiceEndpoint> fewer(services_);
    fewer.erase(fewer.begin() + round % 5);
    group_->SetServices(round % 2 == 0 ? fewer : services_);
    RunUntil([&, ended = results_.size()] { return results_.size() > ended; });
  }
  ASSERT_TRUE(RunUntilAllEnded());
  ExpectOneValidResultEach();
  group_->SetServices({services_[0]});
  ASSERT_TRUE(RunUntil([this] { return group_->link_count() == 1; }));
  StartExecution();
  EXPECT_TRUE(RunUntilAllEnded());
}

}  // namespace
}  // namespace hingelink::net
