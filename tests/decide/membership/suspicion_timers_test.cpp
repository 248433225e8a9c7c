#include "decide/membership/suspicion_timers.h"

#include <gtest/gtest.h>

#include "member_records.h"

namespace hingelink::decide::membership {
namespace {

constexpr std::size_t kLiveMembers = 20;

class SuspicionTimersTest : public testing::Test {
 protected:
  SuspicionTimersTest() {
    suspect_.record = MakeRecord("a", 5, 0, MemberState::kSuspect);
    other_.record = MakeRecord("b", 5, 0, MemberState::kSuspect);
  }
  Milliseconds TimeoutWith(std::size_t accusers) {
    suspect_.suspicion.accusers.assign(accusers, "accuser");
    return timers_.Timeout(suspect_, kLiveMembers);
  }

  MembershipOptions options_;
  SuspicionTimers timers_{options_};
  Member suspect_;
  Member other_;
};

TEST_F(SuspicionTimersTest, ShortensTheTimeoutWithEachConfirmation) {
  EXPECT_EQ(TimeoutWith(1), options_.min_suspicion_timeout * options_.max_suspicion_factor);
  EXPECT_LT(TimeoutWith(2), TimeoutWith(1));
  EXPECT_LT(TimeoutWith(3), TimeoutWith(2));
  EXPECT_EQ(TimeoutWith(1 + options_.suspicion_confirmations), options_.min_suspicion_timeout);
  EXPECT_EQ(TimeoutWith(10), options_.min_suspicion_timeout);
}

TEST_F(SuspicionTimersTest, UsesMinTimeoutWhenNoMemberCanConfirm) {
  suspect_.suspicion.accusers = {"self"};
  EXPECT_EQ(timers_.Timeout(suspect_, 3), options_.min_suspicion_timeout);
}

TEST_F(SuspicionTimersTest, FiresForTheFinalProbeBeforeTheDeadline) {
  timers_.Schedule(suspect_, Milliseconds(5'000), true);
  EXPECT_EQ(timers_.next_deadline(), Milliseconds(5'000) - options_.final_probe_lead);
  EXPECT_FALSE(suspect_.suspicion.is_final_probe_done);
  timers_.Schedule(suspect_, Milliseconds(5'000), false);
  EXPECT_EQ(timers_.next_deadline(), Milliseconds(5'000));
  EXPECT_TRUE(suspect_.suspicion.is_final_probe_done);
}

TEST_F(SuspicionTimersTest, FiresEarliestTimerFirst) {
  timers_.Schedule(suspect_, Milliseconds(5'000), false);
  timers_.Schedule(other_, Milliseconds(4'000), false);
  EXPECT_EQ(&timers_.next_member(), &other_);
  timers_.Cancel(other_);
  EXPECT_EQ(&timers_.next_member(), &suspect_);
  timers_.Cancel(suspect_);
  EXPECT_TRUE(timers_.empty());
}

TEST_F(SuspicionTimersTest, PostponesAllDeadlinesAndSchedulesFinalProbes) {
  timers_.Schedule(suspect_, Milliseconds(2'000), false);
  timers_.Schedule(other_, Milliseconds(9'000), false);
  timers_.PostponeAll(Milliseconds(6'000));
  EXPECT_EQ(suspect_.suspicion.deadline, Milliseconds(6'000));
  EXPECT_EQ(other_.suspicion.deadline, Milliseconds(9'000));
  EXPECT_FALSE(suspect_.suspicion.is_final_probe_done);
  // An earlier deadline, as after a confirmation, has no effect.
  timers_.Schedule(suspect_, Milliseconds(3'000), false);
  EXPECT_EQ(suspect_.suspicion.deadline, Milliseconds(6'000));
}

}  // namespace
}  // namespace hingelink::decide::membership
