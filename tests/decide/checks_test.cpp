// Deep checks: one verify in hand, each asker answered in its time, whatever the pool and its link do.
#include "decide/checks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>

namespace hingelink::decide {
namespace {

using Checks = DeepChecks<int>;
using Millis = Checks::Millis;

TEST(DeepChecks, ThoseThatAskWhileOneIsOutShareItsOutcome) {
  Checks checks;
  const auto first = checks.Ask(1, Millis(0));
  ASSERT_TRUE(first.verify);
  EXPECT_FALSE(checks.Ask(2, Millis(5)).verify);
  const auto done = checks.Verified(*first.verify, true);
  EXPECT_EQ(done.answers, (std::vector<std::pair<int, bool>>{{1, true}, {2, true}}));
  EXPECT_FALSE(checks.in_hand());
}

TEST(DeepChecks, APoolThatHangsIsNotGivenASecondOne) {
  Checks checks;
  const auto first = checks.Ask(1, Millis(0));
  const auto due = checks.Due(Checks::kPatience);
  EXPECT_EQ(due.answers, (std::vector<std::pair<int, bool>>{{1, false}}));
  EXPECT_FALSE(checks.Ask(2, Millis(1100)).verify);
  EXPECT_EQ(checks.Verified(*first.verify, true).answers.size(), 1u);
}

TEST(DeepChecks, OneLostWithItsLinkIsAskedAgainAndTheOldAnswerSaysNothing) {
  Checks checks;
  const auto first = checks.Ask(1, Millis(0));
  const auto again = checks.Rebound();
  ASSERT_TRUE(again.verify);
  EXPECT_TRUE(checks.Verified(*first.verify, true).answers.empty());
  EXPECT_EQ(checks.Verified(*again.verify, false).answers, (std::vector<std::pair<int, bool>>{{1, false}}));
  EXPECT_FALSE(checks.Rebound().verify);  // Nobody waits.
}

RC_GTEST_PROP(DeepChecks, OneInHandAndEachAnsweredOnceInItsTime, ()) {
  Checks checks;
  std::map<int, Millis> waiting;  // By when each is to be answered.
  std::optional<std::uint64_t> at_pool;
  std::set<std::uint64_t> sent;
  Millis now{0};
  const auto see = [&](const Checks::Steps& steps) {
    if (steps.verify) {
      RC_ASSERT(!at_pool);
      RC_ASSERT(sent.insert(*steps.verify).second);
      at_pool = steps.verify;
    }
    for (const auto& [asker, good] : steps.answers) RC_ASSERT(waiting.erase(asker) == 1);
  };
  for (int i = 0; i < 300; ++i) {
    now += Millis(*rc::gen::inRange(0, 200));
    if (const auto next = checks.next(); next && *next <= now) see(checks.Due(now));
    for (const auto& [asker, due] : waiting) RC_ASSERT(due > now);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        waiting[i] = now + Checks::kPatience;
        see(checks.Ask(i, now));
        break;
      case 2:
        if (at_pool) see(checks.Verified(*std::exchange(at_pool, std::nullopt), *rc::gen::arbitrary<bool>()));
        break;
      case 3:
        at_pool.reset();
        see(checks.Rebound());
        break;
      default:
        if (!waiting.empty()) {
          const int asker = waiting.begin()->first;
          waiting.erase(asker);
          checks.Left(asker);
        }
    }
    RC_ASSERT(checks.asking() == waiting.size());
    RC_ASSERT(checks.asking() <= Checks::kMostAskers);
  }
}

}  // namespace
}  // namespace hingelink::decide
