// Tests of several node processes with keyed requests, tenants and one shared store, while pools, the store
// and nodes fail.
#include "deployment.h"

namespace hingelink::standin {
namespace {

TEST(Deployment, KeyedRequestsWithUpstreamCallsAndTenantsAreServedAndNeverRunTwice) {
  Deployment deployment({.abandoned_fraction = 0.2, .store = {.work = Millis(20)}});
  deployment.StartLoad();
  ASSERT_TRUE(deployment.WaitForServed(250));
  ASSERT_TRUE(deployment.FinishLoad());
  EXPECT_EQ(deployment.Violations(), "");
  const ClassAccount claim = deployment.CountsOfClass("claim");
  // Callers that gave up retried with the same key and got the result of the first execution.
  EXPECT_GT(claim.left, 5u);
  EXPECT_GT(claim.good, claim.requests * 9 / 10);
}

TEST(Deployment, BrokenPoolConnectionsDuringUpstreamCallsRepeatNoCall) {
  Deployment deployment({.nodes = 1, .rate = 60, .store = {.work = Millis(30)}});
  deployment.StartLoad();
  for (std::uint64_t good = 10; good <= 240; good += 10) {
    ASSERT_TRUE(deployment.WaitForServed(good));
    deployment.InjectPoolFault(0, {.kind = PoolFault::Kind::kBreakLinks});
  }
  ASSERT_TRUE(deployment.FinishLoad());
  EXPECT_EQ(deployment.Violations(), "");
  EXPECT_GT(deployment.CountsOfPool(0).links, 5u);
  EXPECT_GT(deployment.CountsOfPool(0).swallowed, 0u);
  // A reply lost with a connection is sent again, so no execution waits for its call forever.
  EXPECT_EQ(deployment.CountsOfPool(0).cancelled, 0u);
  EXPECT_EQ(deployment.CountsOfClass("claim").failed + deployment.CountsOfClass("search").failed, 0u);
}

TEST(Deployment, StoreOutagesAndRecoveryRepeatNoCall) {
  Deployment deployment({});
  deployment.StartLoad();
  ASSERT_TRUE(deployment.WaitForServed(60));
  deployment.RunOnHost([&] { deployment.store->Break(); });
  ASSERT_TRUE(deployment.WaitForServed(120));
  deployment.RunOnHost([&] { deployment.store->Silence(); });
  ASSERT_TRUE(deployment.WaitForServed(180));
  deployment.RunOnHost([&] { deployment.store->SetDown(true); });
  ASSERT_TRUE(deployment.WaitForServed(220));  // Requests without a call, and fallback answers.
  deployment.RunOnHost([&] { deployment.store->SetDown(false); });
  std::uint64_t ok_before = 0;
  deployment.RunOnHost([&] { ok_before = deployment.store->counts().ok; });
  ASSERT_TRUE(deployment.WaitForServed(330));
  ASSERT_TRUE(deployment.FinishLoad());
  EXPECT_EQ(deployment.Violations(), "");
  deployment.RunOnHost([&] { EXPECT_GT(deployment.store->counts().ok, ok_before + 20); });
}

TEST(Deployment, NodeKilledDuringUpstreamCallsDoesNotAffectTheOtherNodes) {
  Deployment deployment({.store = {.work = Millis(40)}});
  deployment.StartLoad();
  ASSERT_TRUE(deployment.WaitForServed(80));
  deployment.KillAndRestart(1);
  ASSERT_TRUE(deployment.WaitForServed(250));
  ASSERT_TRUE(deployment.FinishLoad());
  EXPECT_EQ(deployment.Violations({.may_lose = true}), "");
}

TEST(Deployment, AttemptsOfOneKeyInBothProcessesOfAHandoverRunOnce) {
  // Upstream calls are slow, so that many keys are in flight when the second process takes over. Their
  // callers give up and retry at the second process.
  Deployment deployment({.nodes = 1,
                         .rate = 60,
                         .abandoned_fraction = 0.7,
                         .abandoned_within = Millis(500),
                         .upstream_call_quota = 200,
                         .store = {.slots = {.count = 200}, .work = Millis(250)}});
  deployment.StartLoad();
  ASSERT_TRUE(deployment.WaitForServed(60));
  deployment.Upgrade(0);
  ASSERT_TRUE(deployment.WaitForServed(150));
  ASSERT_TRUE(deployment.FinishLoad());
  EXPECT_EQ(deployment.Violations(), "");
  EXPECT_GT(deployment.CountsOfClass("claim").left, 10u);
}

// Guards against a predecessor that cuts its requests short: after a handover it has the longest deadline (3
// s at most) and 0.7 s to end, whatever the stop time of a drain is.
TEST(Deployment, PredecessorInAHandoverServesItsRequestsBeyondTheStopTime) {
  // Executions last longer than the stop time, so that some are in flight at its end.
  Deployment deployment({.nodes = 1,
                         .rate = 60,
                         .upstream_call_quota = 200,
                         .store = {.slots = {.count = 200}, .work = Millis(1'200)},
                         .edit_config = [](nlohmann::ordered_json& config) { config["stop_ms"] = 1'000; }});
  deployment.StartLoad();
  ASSERT_TRUE(deployment.WaitForServed(30));
  const Deployment::Process successor = deployment.SpawnProcess(0, 1);
  ASSERT_TRUE(Deployment::AwaitEvent(successor, "handover-done", 20s));
  deployment.SignalOldestProcess(0, SIGTERM);
  EXPECT_EQ(deployment.AwaitOldestProcess(0, 3'700ms), 0);
  ASSERT_TRUE(deployment.FinishLoad());
  EXPECT_EQ(deployment.Violations(), "");
  for (const char* name : {"search", "match", "claim"})
    EXPECT_EQ(deployment.CountsOfClass(name).failed, 0u) << name;
}

// ---- The audit that the deployment tests rely on ----

TEST(Audit, ReportsEachKindOfViolation) {
  Account account;
  account.classes.resize(1);
  EXPECT_TRUE(Audit({account}, {PoolCounts{}}, StoreCounts{}).empty());
  const auto violations_after = [&](const std::function<void(Account&, PoolCounts&, StoreCounts&)>& inject) {
    Account a = account;
    PoolCounts p;
    StoreCounts s;
    inject(a, p, s);
    return Audit({a}, {PoolCounts{}, p}, s).size();
  };
  EXPECT_EQ(violations_after([](Account& a, PoolCounts&, StoreCounts&) { a.classes[0].wrong = 1; }), 1u);
  EXPECT_EQ(violations_after([](Account& a, PoolCounts&, StoreCounts&) { a.classes[0].unanswered = 1; }), 1u);
  EXPECT_EQ(violations_after([](Account& a, PoolCounts&, StoreCounts&) { a.classes[0].twice = 1; }), 1u);
  EXPECT_EQ(violations_after([](Account&, PoolCounts& p, StoreCounts&) { p.run_twice = 1; }), 1u);
  EXPECT_EQ(violations_after([](Account&, PoolCounts& p, StoreCounts&) { p.wrong_replies = 1; }), 1u);
  EXPECT_EQ(violations_after([](Account&, PoolCounts&, StoreCounts& s) { s.twice = 1; }), 1u);
}

}  // namespace
}  // namespace hingelink::standin
