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
using Answers = std::vector<Checks::Answer>;

TEST(DeepHealthChecks, CallersShareTheVerificationInFlight) {
  Checks checks;
  const auto first = checks.OnCheck(1, Millis(0));
  ASSERT_TRUE(first.verify);
  EXPECT_FALSE(checks.OnCheck(2, Millis(5)).verify);
  EXPECT_EQ(checks.OnVerified(*first.verify, true).answers, (Answers{{1, true}, {2, true}}));
  EXPECT_FALSE(checks.in_flight());
}

TEST(DeepHealthChecks, CallerIsAnsweredUnhealthyAfterTheTimeout) {
  Checks checks;
  ASSERT_TRUE(checks.OnCheck(1, Millis(0)).verify);
  EXPECT_EQ(checks.ExpireWaiting(Checks::kTimeout).answers, (Answers{{1, false}}));
}

TEST(DeepHealthChecks, VerificationStaysInFlightAfterTheTimeout) {
  Checks checks;
  const auto first = checks.OnCheck(1, Millis(0));
  static_cast<void>(checks.ExpireWaiting(Checks::kTimeout));
  EXPECT_FALSE(checks.OnCheck(2, Millis(1100)).verify);
  EXPECT_EQ(checks.OnVerified(*first.verify, true).answers, (Answers{{2, true}}));
}

TEST(DeepHealthChecks, ReconnectRepeatsTheVerificationAndIgnoresTheOldOutcome) {
  Checks checks;
  const auto first = checks.OnCheck(1, Millis(0));
  const auto repeated = checks.OnReconnected();
  ASSERT_TRUE(repeated.verify);
  EXPECT_TRUE(checks.OnVerified(*first.verify, true).answers.empty());
  EXPECT_EQ(checks.OnVerified(*repeated.verify, false).answers, (Answers{{1, false}}));
}

TEST(DeepHealthChecks, ReconnectStartsNoVerificationWhileNoCallerWaits) {
  Checks checks;
  EXPECT_FALSE(checks.OnReconnected().verify);
  const auto first = checks.OnCheck(1, Millis(0));
  static_cast<void>(checks.OnVerified(*first.verify, true));
  EXPECT_FALSE(checks.OnReconnected().verify);
}

// A model of the owner of the checks: callers that wait for an answer, and a pool that answers verifications.
class OwnerModel {
 public:
  void AdvanceTime(Millis span) {
    now_ += span;
    if (const auto next = checks_.next_deadline(); next && *next <= now_) {
      Execute(checks_.ExpireWaiting(now_));
    }
    for (const auto& [caller, deadline] : deadlines_) RC_ASSERT(deadline > now_);
  }
  void Check(int caller) {
    deadlines_[caller] = now_ + Checks::kTimeout;
    Execute(checks_.OnCheck(caller, now_));
  }
  void AnswerVerification(bool healthy) {
    if (!at_pool_) return;
    Execute(checks_.OnVerified(*std::exchange(at_pool_, std::nullopt), healthy));
  }
  void Reconnect() {
    at_pool_.reset();
    Execute(checks_.OnReconnected());
  }
  void DisconnectCaller() {
    if (deadlines_.empty()) return;
    const int caller = deadlines_.begin()->first;
    deadlines_.erase(caller);
    checks_.OnCallerDisconnected(caller);
  }
  void CheckWaiting() const {
    RC_ASSERT(checks_.waiting() == deadlines_.size());
    RC_ASSERT(checks_.waiting() <= Checks::kMaxWaiting);
  }

 private:
  void Execute(const Checks::Actions& actions) {
    if (actions.verify) {
      RC_ASSERT(!at_pool_);
      RC_ASSERT(tags_.insert(*actions.verify).second);
      at_pool_ = actions.verify;
    }
    for (const Checks::Answer& answer : actions.answers) RC_ASSERT(deadlines_.erase(answer.caller) == 1u);
  }

  Checks checks_;
  Millis now_{0};
  std::map<int, Millis> deadlines_;       // Keyed by waiting caller.
  std::optional<std::uint64_t> at_pool_;  // Tag of the verification that the pool has not answered.
  std::set<std::uint64_t> tags_;          // Tags of all verifications so far.
};

RC_GTEST_PROP(DeepHealthChecks, AtMostOneVerificationIsInFlightAndEachCallerIsAnsweredOnceInTime, ()) {
  OwnerModel owner;
  for (int i = 0; i < 300; ++i) {
    owner.AdvanceTime(Millis(*rc::gen::inRange(0, 200)));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        owner.Check(i);
        break;
      case 2:
        owner.AnswerVerification(*rc::gen::arbitrary<bool>());
        break;
      case 3:
        owner.Reconnect();
        break;
      default:
        owner.DisconnectCaller();
    }
    owner.CheckWaiting();
  }
}

}  // namespace
}  // namespace hingelink::decide
