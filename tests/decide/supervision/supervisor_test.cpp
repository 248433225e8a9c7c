// Tests of the individual rules of decide::Supervisor.
#include "decide/supervision/supervisor.h"

#include <gtest/gtest.h>

#include <set>

#include "supervisor_harness.h"

namespace hingelink::decide {
namespace {

TEST(Supervisor, PersistsStateBeforeAProcessIsSpawned) {
  SupervisorHarness supervisor;
  const Actions actions = supervisor.At(0, SupervisorStarted{});
  ASSERT_GE(actions.size(), 2u);
  EXPECT_TRUE(std::holds_alternative<PersistState>(actions[0]));
  EXPECT_EQ(ActionsOf<SpawnProcess>(actions).size(), 1u);
}

TEST(Supervisor, PersistsTheProcessIdBeforeTheProcessIsReleased) {
  SupervisorHarness supervisor;
  supervisor.At(0, SupervisorStarted{});
  const Actions actions = supervisor.At(1, ProcessStarted{1, {55, 9}});
  ASSERT_GE(actions.size(), 2u);
  EXPECT_TRUE(std::holds_alternative<PersistState>(actions[0]));
  EXPECT_TRUE(std::holds_alternative<ReleaseProcess>(actions[1]));
  EXPECT_EQ(supervisor.state().current->process, (ProcessId{55, 9}));
}

// ---- Crashes ----

TEST(Supervisor, BackoffDoublesWithEachCrashUpToItsMaximum) {
  SupervisorOptions options = OptionsWithoutJitter();
  options.crash_backoff.crash_loop_threshold = 1000;
  ServingSupervisor supervisor(options);
  SupervisorTime now = Ms(1000);
  SupervisorTime expected = options.crash_backoff.initial_backoff;
  for (int crash = 0; crash < 12; ++crash) {
    const Actions actions = supervisor.At(now, ProcessExited{supervisor.last_generation(), false});
    EXPECT_TRUE(Logs(actions, "crashed"));
    EXPECT_FALSE(Contains<SpawnProcess>(actions));
    ASSERT_TRUE(supervisor.restart_at());
    const SupervisorTime backoff = *supervisor.restart_at() - now;
    EXPECT_DOUBLE_EQ(backoff.count(), expected.count());
    expected = std::min(2 * expected, options.crash_backoff.max_backoff);
    EXPECT_FALSE(Contains<SpawnProcess>(supervisor.At(now + backoff - Ms(1), TimerExpired{})));
    now += backoff;
    EXPECT_EQ(ActionsOf<SpawnProcess>(supervisor.At(now, TimerExpired{})).size(), 1u);
    supervisor.At(now, ProcessStarted{supervisor.last_generation(), {200 + crash, 1}});
    now += Ms(10);
    supervisor.At(now, StatusReported{.generation = supervisor.last_generation(), .ready = true});
  }
}

TEST(Supervisor, JitterSpreadsTheRestartsOfManyNodes) {
  std::set<SupervisorTime> backoffs;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    StartingSupervisor supervisor({}, seed);
    supervisor.At(0, ProcessExited{1, false});
    const SupervisorTime backoff = *supervisor.restart_at();
    const CrashBackoffOptions& options = supervisor.options().crash_backoff;
    EXPECT_GE(backoff, options.initial_backoff * (1 - options.jitter_fraction));
    EXPECT_LE(backoff, options.initial_backoff * (1 + options.jitter_fraction));
    backoffs.insert(backoff);
  }
  EXPECT_GT(backoffs.size(), 45u);
}

// Lets the node crash until it is in a crash loop. Returns the time of the last crash.
SupervisorTime EnterCrashLoop(SupervisorHarness& supervisor) {
  SupervisorTime now = Ms(1000);
  const std::uint32_t threshold = supervisor.options().crash_backoff.crash_loop_threshold;
  for (std::uint32_t crash = 1;; ++crash) {
    const Actions actions = supervisor.At(now, ProcessExited{supervisor.last_generation(), false});
    EXPECT_EQ(Logs(actions, "crash-loop"), crash == threshold);
    if (crash == threshold) return now;
    now = *supervisor.restart_at();
    supervisor.At(now, TimerExpired{});
    supervisor.At(now, ProcessStarted{supervisor.last_generation(), {300, 1}});
  }
}

TEST(Supervisor, CrashLoopIsEnteredAtTheThresholdAndBacksOffLonger) {
  ServingSupervisor supervisor(OptionsWithoutJitter());
  const SupervisorTime now = EnterCrashLoop(supervisor);
  EXPECT_EQ(supervisor.phase(), SupervisorPhase::kCrashLoop);
  const SupervisorTime backoff = *supervisor.restart_at() - now;
  EXPECT_DOUBLE_EQ(backoff.count(), supervisor.options().crash_backoff.crash_loop_backoff.count());
}

TEST(Supervisor, StartRequestEndsACrashLoop) {
  ServingSupervisor supervisor(OptionsWithoutJitter());
  const SupervisorTime now = EnterCrashLoop(supervisor) + Ms(5);
  EXPECT_EQ(Replies(supervisor.At(now, StartRequested{})), "ok:done");
  EXPECT_TRUE(Contains<SpawnProcess>(supervisor.At(now, TimerExpired{})));
  supervisor.At(now, ProcessStarted{supervisor.last_generation(), {301, 1}});
  supervisor.At(now + Ms(5), ProcessExited{supervisor.last_generation(), false});
  EXPECT_EQ(supervisor.state().consecutive_crashes, 1u);
}

TEST(Supervisor, CrashCountIsResetOnceTheNodeIsStable) {
  ServingSupervisor supervisor(OptionsWithoutJitter());
  supervisor.At(1000, ProcessExited{1, false});
  const SupervisorTime now = *supervisor.restart_at();
  supervisor.At(now, TimerExpired{});
  supervisor.At(now, ProcessStarted{2, {302, 1}});
  supervisor.At(now, StatusReported{.generation = 2, .ready = true});
  const SupervisorTime stable_at = now + supervisor.options().stable_after;
  EXPECT_TRUE(Logs(supervisor.At(stable_at, TimerExpired{}), "crash-count-reset"));
  EXPECT_EQ(supervisor.state().consecutive_crashes, 0u);
}

TEST(Supervisor, CrashCountIsKeptWhenTheNodeLosesReadiness) {
  ServingSupervisor supervisor;
  supervisor.At(1000, ProcessExited{1, false});
  const SupervisorTime now = *supervisor.restart_at();
  supervisor.At(now, TimerExpired{});
  supervisor.At(now, ProcessStarted{2, {9, 9}});
  supervisor.At(now, StatusReported{.generation = 2, .ready = true});
  const SupervisorTime stable_after = supervisor.options().stable_after;
  supervisor.At(now + stable_after / 2, StatusReported{.generation = 2, .ready = false});
  supervisor.At(now + stable_after, TimerExpired{});
  EXPECT_EQ(supervisor.state().consecutive_crashes, 1u);
}

TEST(Supervisor, AFailedStartCountsAsACrash) {
  SupervisorHarness supervisor;
  supervisor.At(0, SupervisorStarted{});
  supervisor.At(0, ProcessStartFailed{1});
  EXPECT_EQ(supervisor.state().consecutive_crashes, 1u);
  EXPECT_TRUE(supervisor.restart_at());
}

// ---- Unresponsive nodes ----

TEST(Supervisor, NodeThatReportsThatItIsNotReadyIsNotKilled) {
  StartingSupervisor supervisor;
  supervisor.At(50, StatusReported{.generation = 1, .ready = false});
  for (double now = 100; now < 1e7; now += 60'000) {
    EXPECT_FALSE(Contains<KillProcess>(supervisor.At(now, TimerExpired{})));
    supervisor.At(now, StatusReported{.generation = 1, .ready = false});
  }
}

TEST(Supervisor, NodeWithoutAnyStatusReportIsKilledOnceAtTheStartupTimeout) {
  StartingSupervisor supervisor;
  const SupervisorTime timeout = supervisor.options().startup_timeout;
  EXPECT_FALSE(Contains<KillProcess>(supervisor.At(timeout - Ms(1), TimerExpired{})));
  EXPECT_TRUE(Contains<KillProcess>(supervisor.At(timeout, TimerExpired{})));
  EXPECT_FALSE(Contains<KillProcess>(supervisor.At(timeout + Ms(1), TimerExpired{})));
}

TEST(Supervisor, ConsecutiveStatusTimeoutsKillTheNode) {
  ServingSupervisor supervisor;
  for (std::uint32_t timeout = 1; timeout < supervisor.options().unresponsive_threshold; ++timeout) {
    EXPECT_FALSE(Contains<KillProcess>(supervisor.At(1000, StatusTimedOut{1})));
  }
  EXPECT_TRUE(Contains<KillProcess>(supervisor.At(1000, StatusTimedOut{1})));
}

TEST(Supervisor, AStatusReportResetsTheCountOfTimeouts) {
  ServingSupervisor supervisor;
  const std::uint32_t threshold = supervisor.options().unresponsive_threshold;
  for (std::uint32_t timeout = 1; timeout < threshold; ++timeout) supervisor.At(1000, StatusTimedOut{1});
  supervisor.At(1000, StatusReported{.generation = 1, .ready = true});
  for (std::uint32_t timeout = 1; timeout < threshold; ++timeout) {
    EXPECT_FALSE(Contains<KillProcess>(supervisor.At(1000, StatusTimedOut{1})));
  }
  EXPECT_TRUE(Contains<KillProcess>(supervisor.At(1000, StatusTimedOut{1})));
}

// ---- Drains ----

TEST(Supervisor, ASecondDrainRequestChangesNothing) {
  ServingSupervisor supervisor;
  const Actions first = supervisor.At(1000, DrainRequested{});
  EXPECT_EQ(Replies(first), "ok:done");
  EXPECT_EQ(ActionsOf<RequestDrain>(first).size(), 1u);
  const Actions second = supervisor.At(1500, DrainRequested{});
  EXPECT_EQ(Replies(second), "ok:already");
  EXPECT_FALSE(Contains<RequestDrain>(second));
}

TEST(Supervisor, AStopRequestDoesNotExtendADrainInProgress) {
  ServingSupervisor supervisor;
  const SupervisorTime timeout = supervisor.options().drain_timeout;
  supervisor.At(1000, DrainRequested{});
  EXPECT_FALSE(Contains<RequestDrain>(supervisor.At(2000, StopRequested{})));
  EXPECT_FALSE(Contains<KillProcess>(supervisor.At(Ms(1000) + timeout - Ms(1), TimerExpired{})));
  EXPECT_TRUE(Contains<KillProcess>(supervisor.At(Ms(1000) + timeout, TimerExpired{})));
  const Actions exited = supervisor.At(6000, ProcessExited{1, false});
  EXPECT_TRUE(Logs(exited, "drain-incomplete"));
  EXPECT_TRUE(Contains<ExitSupervisor>(exited));
}

TEST(Supervisor, ADrainRequestIsRepeatedUntilTheNodeReportsThatItDrains) {
  ServingSupervisor supervisor;
  const StatusReported serving{.generation = 1, .ready = true};
  supervisor.At(1000, DrainRequested{});
  EXPECT_FALSE(Contains<RequestDrain>(supervisor.At(1100, serving)));
  const SupervisorTime resend_at = Ms(1000) + supervisor.options().drain_resend_interval;
  EXPECT_TRUE(Contains<RequestDrain>(supervisor.At(resend_at, serving)));
  const StatusReported draining{.generation = 1, .ready = false, .draining = true};
  EXPECT_FALSE(Contains<RequestDrain>(supervisor.At(3000, draining)));
}

TEST(Supervisor, ANodeKilledWhileItDrainsIsNotRestarted) {
  ServingSupervisor supervisor;
  supervisor.At(1000, DrainRequested{});
  const Actions exited = supervisor.At(1200, ProcessExited{1, false});
  EXPECT_FALSE(Contains<SpawnProcess>(exited));
  EXPECT_FALSE(Contains<ExitSupervisor>(exited));
  EXPECT_FALSE(supervisor.restart_at());
  EXPECT_EQ(supervisor.phase(), SupervisorPhase::kDrained);
}

TEST(Supervisor, StartRequestAfterADrainSpawnsANode) {
  ServingSupervisor supervisor;
  supervisor.At(1000, DrainRequested{});
  supervisor.At(1200, ProcessExited{1, false});
  EXPECT_TRUE(Contains<SpawnProcess>(supervisor.At(1300, StartRequested{})));
}

TEST(Supervisor, StartRequestDuringADrainSpawnsTheNextNodeAfterTheDrain) {
  ServingSupervisor supervisor;
  supervisor.At(1000, DrainRequested{});
  EXPECT_FALSE(Contains<SpawnProcess>(supervisor.At(1100, StartRequested{})));
  const StatusReported draining{.generation = 1, .ready = false, .draining = true};
  EXPECT_FALSE(Contains<SpawnProcess>(supervisor.At(1200, draining)));
  EXPECT_EQ(ActionsOf<SpawnProcess>(supervisor.At(1300, ProcessExited{1, true})).size(), 1u);
}

TEST(Supervisor, ANodeThatWasDrainedExternallyIsNotRestarted) {
  ServingSupervisor supervisor;
  const StatusReported draining{.generation = 1, .ready = false, .draining = true};
  EXPECT_TRUE(Logs(supervisor.At(1000, draining), "drained-externally"));
  EXPECT_FALSE(Contains<SpawnProcess>(supervisor.At(1500, ProcessExited{1, true})));
}

TEST(Supervisor, CleanExitWithoutAReportedDrainCountsAsExternalDrain) {
  ServingSupervisor supervisor;
  const Actions exited = supervisor.At(1000, ProcessExited{1, true});
  EXPECT_TRUE(Logs(exited, "drained-externally"));
  EXPECT_FALSE(Contains<SpawnProcess>(exited));
  EXPECT_FALSE(supervisor.restart_at());
}

// ---- Upgrades ----

TEST(Supervisor, AnUpgradeSpawnsASuccessorAndLeavesTheCurrentNodeServing) {
  ServingSupervisor supervisor;
  const Actions started = supervisor.At(1000, UpgradeRequested{});
  ASSERT_EQ(ActionsOf<SpawnProcess>(started).size(), 1u);
  EXPECT_EQ(ActionsOf<SpawnProcess>(started)[0].generation, 2u);
  EXPECT_FALSE(Contains<RequestDrain>(started));
  supervisor.At(1000, ProcessStarted{2, {102, 12}});
  const StatusReported not_ready{.generation = 2, .ready = false};
  EXPECT_FALSE(Contains<RequestDrain>(supervisor.At(1100, not_ready)));
}

TEST(Supervisor, ReadySuccessorIsPersistedAsCurrentBeforeThePredecessorIsDrained) {
  UpgradingSupervisor supervisor;
  const Actions ready = supervisor.At(1200, StatusReported{.generation = 2, .ready = true});
  EXPECT_LT(FirstIndexOf<PersistState>(ready), FirstIndexOf<RequestDrain>(ready));
  ASSERT_EQ(ActionsOf<RequestDrain>(ready).size(), 1u);
  EXPECT_EQ(ActionsOf<RequestDrain>(ready)[0].generation, 1u);
  EXPECT_EQ(ActionsOf<RedirectControlSocket>(ready)[0].generation, 2u);
  supervisor.At(1300, ProcessExited{1, true});
  EXPECT_EQ(supervisor.state().current->generation, 2u);
  EXPECT_FALSE(supervisor.state().predecessor);
}

TEST(Supervisor, AnotherUpgradeIsRejectedUntilThePredecessorExited) {
  UpgradingSupervisor supervisor;
  EXPECT_EQ(Replies(supervisor.At(1100, UpgradeRequested{})), "rejected:upgrade-under-way");
  supervisor.At(1200, StatusReported{.generation = 2, .ready = true});
  EXPECT_EQ(Replies(supervisor.At(1250, UpgradeRequested{})), "rejected:upgrade-under-way");
  supervisor.At(1300, ProcessExited{1, true});
  supervisor.At(1300, StatusReported{.generation = 2, .ready = true});
  EXPECT_EQ(Replies(supervisor.At(1400, UpgradeRequested{})), "ok:done");
}

TEST(Supervisor, AnUpgradeIsRolledBackWhenTheSuccessorExits) {
  UpgradingSupervisor supervisor;
  const Actions exited = supervisor.At(1100, ProcessExited{2, false});
  EXPECT_TRUE(Logs(exited, "upgrade-rolled-back"));
  EXPECT_FALSE(Contains<RequestDrain>(exited));
  EXPECT_FALSE(Contains<SpawnProcess>(exited));
  EXPECT_EQ(supervisor.state().current->generation, 1u);
  EXPECT_EQ(supervisor.state().consecutive_crashes, 0u);
}

TEST(Supervisor, AnUpgradeIsRolledBackWhenTheSuccessorIsNotReadyInTime) {
  UpgradingSupervisor supervisor;
  const SupervisorTime timeout_at = Ms(1000) + supervisor.options().upgrade_timeout;
  EXPECT_FALSE(Contains<KillProcess>(supervisor.At(timeout_at - Ms(1), TimerExpired{})));
  const Actions timed_out = supervisor.At(timeout_at, TimerExpired{});
  ASSERT_EQ(ActionsOf<KillProcess>(timed_out).size(), 1u);
  EXPECT_EQ(ActionsOf<KillProcess>(timed_out)[0].generation, 2u);
  // A status report that the successor sent before it was killed does not complete the upgrade.
  const StatusReported ready{.generation = 2, .ready = true};
  EXPECT_FALSE(Contains<RequestDrain>(supervisor.At(timeout_at, ready)));
  supervisor.At(timeout_at + Ms(1), ProcessExited{2, false});
  EXPECT_EQ(supervisor.state().current->generation, 1u);
}

TEST(Supervisor, TheSuccessorReplacesACurrentNodeThatCrashesDuringAnUpgrade) {
  UpgradingSupervisor supervisor;
  const Actions exited = supervisor.At(1100, ProcessExited{1, false});
  EXPECT_FALSE(Contains<SpawnProcess>(exited));
  EXPECT_EQ(supervisor.state().current->generation, 2u);
  EXPECT_FALSE(supervisor.state().successor);
  EXPECT_EQ(ActionsOf<RedirectControlSocket>(exited)[0].generation, 2u);
}

TEST(Supervisor, AnUpgradeIsRejectedWithoutAReadyNode) {
  SupervisorHarness supervisor;
  supervisor.At(0, SupervisorStarted{});
  EXPECT_EQ(Replies(supervisor.At(1, UpgradeRequested{})), "rejected:not-serving");
  supervisor.At(2, ProcessStarted{1, {9, 9}});
  supervisor.At(3, StatusReported{.generation = 1, .ready = false});
  EXPECT_EQ(Replies(supervisor.At(4, UpgradeRequested{})), "rejected:not-serving");
  supervisor.At(5, DrainRequested{});
  EXPECT_EQ(Replies(supervisor.At(6, UpgradeRequested{})), "rejected:not-serving");
}

TEST(Supervisor, ADrainDuringAnUpgradeDrainsBothNodes) {
  UpgradingSupervisor supervisor;
  EXPECT_EQ(ActionsOf<RequestDrain>(supervisor.At(1100, DrainRequested{})).size(), 2u);
  // The successor's readiness no longer completes the upgrade.
  const StatusReported ready{.generation = 2, .ready = true};
  EXPECT_FALSE(Contains<RedirectControlSocket>(supervisor.At(1200, ready)));
  supervisor.At(1300, ProcessExited{1, true});
  supervisor.At(1300, ProcessExited{2, true});
  EXPECT_EQ(supervisor.phase(), SupervisorPhase::kDrained);
}

// ---- Adopted processes ----

SupervisorState StateWithGeneration4() {
  SupervisorState state;
  state.last_generation = 4;
  state.current = Incarnation{.generation = 4, .process = {77, 7}, .ready = false, .draining = false};
  return state;
}

TEST(Supervisor, DrainOfAnAdoptedNodeIsContinued) {
  SupervisorState state = StateWithGeneration4();
  state.desired = DesiredState::kDrained;
  state.current->draining = true;
  SupervisorHarness supervisor;
  const Actions actions = supervisor.At(0, SupervisorStarted{state});
  EXPECT_EQ(ActionsOf<RequestDrain>(actions).size(), 1u);
  EXPECT_FALSE(Contains<SpawnProcess>(actions));
  supervisor.At(100, ProcessExited{4, true});
  EXPECT_EQ(supervisor.phase(), SupervisorPhase::kDrained);
}

TEST(Supervisor, AdoptedServingNodeIsNeitherDrainedNorKilledNorReplaced) {
  SupervisorHarness supervisor;
  const Actions actions = supervisor.At(0, SupervisorStarted{StateWithGeneration4()});
  EXPECT_FALSE(Contains<RequestDrain>(actions));
  EXPECT_FALSE(Contains<SpawnProcess>(actions));
  EXPECT_FALSE(Contains<KillProcess>(actions));
}

}  // namespace
}  // namespace hingelink::decide
