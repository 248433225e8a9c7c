// Deep checks: one verify in hand, each asker answered in its time, whatever the pool and its link do.
#include "decide/health/deep_health_checks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>

namespace hingelink::decide {
namespace {

using Checks = DeepHealthChecks<int>;
using Millis = Checks::Millis;

TEST(DeepHealthChecks, ThoseThatAskWhileOneIsOutShareItsOutcome) {
  Checks checks;
  const auto first = checks.OnCheck(1, Millis(0));
  ASSERT_TRUE(first.verify);
  EXPECT_FALSE(checks.OnCheck(2, Millis(5)).verify);
  const auto done = checks.OnVerified(*first.verify, true);
  EXPECT_EQ(done.answers, (std::vector<std::pair<int, bool>>{{1, true}, {2, true}}));
  EXPECT_FALSE(checks.in_flight());
}

TEST(DeepHealthChecks, APoolThatHangsIsNotGivenASecondOne) {
  Checks checks;
  const auto first = checks.OnCheck(1, Millis(0));
  const auto due = checks.ExpireWaiting(Checks::kTimeout);
  EXPECT_EQ(due.answers, (std::vector<std::pair<int, bool>>{{1, false}}));
  EXPECT_FALSE(checks.OnCheck(2, Millis(1100)).verify);
  EXPECT_EQ(checks.OnVerified(*first.verify, true).answers.size(), 1u);
}

TEST(DeepHealthChecks, OneLostWithItsLinkIsAskedAgainAndTheOldAnswerSaysNothing) {
  Checks checks;
  const auto first = checks.OnCheck(1, Millis(0));
  const auto again = checks.OnReconnected();
  ASSERT_TRUE(again.verify);
  EXPECT_TRUE(checks.OnVerified(*first.verify, true).answers.empty());
  EXPECT_EQ(checks.OnVerified(*again.verify, false).answers, (std::vector<std::pair<int, bool>>{{1, false}}));
  EXPECT_FALSE(checks.OnReconnected().verify);  // Nobody waits.
}

RC_GTEST_PROP(DeepHealthChecks, OneInHandAndEachAnsweredOnceInItsTime, ()) {
  Checks checks;
  std::map<int, Millis> waiting;  // By when each is to be answered.
  std::optional<std::uint64_t> at_pool;
  std::set<std::uint64_t> sent;
  Millis now{0};
  const auto see = [&](const Checks::Actions& steps) {
    if (steps.verify) {
      RC_ASSERT(!at_pool);
      RC_ASSERT(sent.insert(*steps.verify).second);
      at_pool = steps.verify;
    }
    for (const auto& [asker, good] : steps.answers) RC_ASSERT(waiting.erase(asker) == 1);
  };
  for (int i = 0; i < 300; ++i) {
    now += Millis(*rc::gen::inRange(0, 200));
    if (const auto next = checks.next_deadline(); next && *next <= now) see(checks.ExpireWaiting(now));
    for (const auto& [asker, due] : waiting) RC_ASSERT(due > now);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        waiting[i] = now + Checks::kTimeout;
        see(checks.OnCheck(i, now));
        break;
      case 2:
        if (at_pool)
          see(checks.OnVerified(*std::exchange(at_pool, std::nullopt), *rc::gen::arbitrary<bool>()));
        break;
      case 3:
        at_pool.reset();
        see(checks.OnReconnected());
        break;
      default:
        if (!waiting.empty()) {
          const int asker = waiting.begin()->first;
          waiting.erase(asker);
          checks.OnCallerDisconnected(asker);
        }
    }
    RC_ASSERT(checks.waiting() == waiting.size());
    RC_ASSERT(checks.waiting() <= Checks::kMaxWaiting);
  }
}

}  // namespace
}  // namespace hingelink::decide
