// Nodes with keys, tenants and one store, with faults between them.
#include "deployment.h"

namespace hingelink::standin {
namespace {

TEST(Deployment, ServesKeyedRequestsWithCallsAndTenantsAndRunsNoneTwice) {
  Deployment all({.leaves = 0.2, .store = {.work = Millis(20)}});
  all.Load();
  ASSERT_TRUE(all.Served(250));
  ASSERT_TRUE(all.Finish());
  EXPECT_EQ(all.Faults(), "");
  const ClassAccount claim = all.Class("claim");
  // Callers that left came again with the same key, and were answered from the run of the first.
  EXPECT_GT(claim.left, 5u);
  EXPECT_GT(claim.good, claim.requests * 9 / 10);
}

TEST(Deployment, ABrokenLinkToThePoolWhileRunsStandAtCallsMakesNoCallTwice) {
  Deployment all({.nodes = 1, .rate = 60, .store = {.work = Millis(30)}});
  all.Load();
  for (std::uint64_t good = 10; good <= 240; good += 10) {
    ASSERT_TRUE(all.Served(good));
    all.CausePool(0, {.kind = PoolFault::Kind::kBreakLinks});
  }
  ASSERT_TRUE(all.Finish());
  EXPECT_EQ(all.Faults(), "");
  EXPECT_GT(all.PoolOf(0).links, 5u);
  EXPECT_GT(all.PoolOf(0).swallowed, 0u);
  // A reply that the break has swallowed is supplied again: no run stands at its call for good.
  EXPECT_EQ(all.PoolOf(0).cancelled, 0u);
  EXPECT_EQ(all.Class("claim").failed + all.Class("search").failed, 0u);
}

TEST(Deployment, TheStoreBrokenSilentKilledAndBackRunsNoCallTwice) {
  Deployment all({});
  all.Load();
  ASSERT_TRUE(all.Served(60));
  all.Do([&] { all.store->Break(); });
  ASSERT_TRUE(all.Served(120));
  all.Do([&] { all.store->Silence(); });
  ASSERT_TRUE(all.Served(180));
  all.Do([&] { all.store->SetDown(true); });
  ASSERT_TRUE(all.Served(220));  // What needs no call, and the poorer answers.
  all.Do([&] { all.store->SetDown(false); });
  std::uint64_t ok = 0;
  all.Do([&] { ok = all.store->counts().ok; });
  ASSERT_TRUE(all.Served(330));
  ASSERT_TRUE(all.Finish());
  EXPECT_EQ(all.Faults(), "");
  all.Do([&] { EXPECT_GT(all.store->counts().ok, ok + 20); });
}

TEST(Deployment, ANodeKilledBetweenCallAndReplyTakesNoOtherWithIt) {
  Deployment all({.store = {.work = Millis(40)}});
  all.Load();
  ASSERT_TRUE(all.Served(80));
  all.KillAndRestart(1);
  ASSERT_TRUE(all.Served(250));
  ASSERT_TRUE(all.Finish());
  EXPECT_EQ(all.Faults({.may_lose = true}), "");
}

TEST(Deployment, TriesOfOneKeyOnBothSidesOfAHandoverRunOnce) {
  // Calls take long, so that many keys are in hand as the second process takes over, and their callers come
  // again to that one.
  Deployment all({.nodes = 1,
                  .rate = 60,
                  .leaves = 0.7,
                  .leaves_within = Millis(500),
                  .upstream_call_quota = 200,
                  .store = {.slots = {.count = 200}, .work = Millis(250)}});
  all.Load();
  ASSERT_TRUE(all.Served(60));
  all.Upgrade(0);
  ASSERT_TRUE(all.Served(150));
  ASSERT_TRUE(all.Finish());
  EXPECT_EQ(all.Faults(), "");
  EXPECT_GT(all.Class("claim").left, 10u);
}

// ---- The auditor finds what it is there for ----

TEST(Audit, FindsEachPlantedFault) {
  Account account;
  account.classes.resize(1);
  EXPECT_TRUE(Audit({account}, {PoolCounts{}}, StoreCounts{}).empty());
  const auto planted = [&](const std::function<void(Account&, PoolCounts&, StoreCounts&)>& plant) {
    Account a = account;
    PoolCounts p;
    StoreCounts s;
    plant(a, p, s);
    return Audit({a}, {PoolCounts{}, p}, s).size();
  };
  EXPECT_EQ(planted([](Account& a, PoolCounts&, StoreCounts&) { a.classes[0].wrong = 1; }), 1u);
  EXPECT_EQ(planted([](Account& a, PoolCounts&, StoreCounts&) { a.classes[0].unanswered = 1; }), 1u);
  EXPECT_EQ(planted([](Account& a, PoolCounts&, StoreCounts&) { a.classes[0].twice = 1; }), 1u);
  EXPECT_EQ(planted([](Account&, PoolCounts& p, StoreCounts&) { p.run_twice = 1; }), 1u);
  EXPECT_EQ(planted([](Account&, PoolCounts& p, StoreCounts&) { p.wrong_replies = 1; }), 1u);
  EXPECT_EQ(planted([](Account&, PoolCounts&, StoreCounts& s) { s.twice = 1; }), 1u);
}

}  // namespace
}  // namespace hingelink::standin
