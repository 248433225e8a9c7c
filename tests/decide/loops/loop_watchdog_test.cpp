#include "decide/loops/loop_watchdog.h"

#include <gtest/gtest.h>

namespace hingelink::decide {
namespace {

using Transition = LoopWatchdog::Transition;

constexpr int kMaxMissed = 3;

TEST(LoopWatchdog, ALoopIsStalledAfterConsecutiveObservationsWithoutHeartbeat) {
  LoopWatchdog watchdog(2, kMaxMissed);
  EXPECT_EQ(watchdog.Observe(0, 1), Transition::kNone);
  EXPECT_EQ(watchdog.Observe(0, 1), Transition::kNone);
  EXPECT_EQ(watchdog.Observe(0, 2), Transition::kNone);
  EXPECT_EQ(watchdog.Observe(0, 2), Transition::kNone);
  EXPECT_EQ(watchdog.Observe(0, 2), Transition::kNone);
  EXPECT_EQ(watchdog.Observe(0, 2), Transition::kStalled);
  EXPECT_TRUE(watchdog.is_stalled(0));
  EXPECT_FALSE(watchdog.is_stalled(1));
}

// Loop 0 is stalled; its heartbeat counter stopped at 2.
class StalledLoop : public testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i <= kMaxMissed; ++i) static_cast<void>(watchdog_.Observe(0, 2));
    ASSERT_TRUE(watchdog_.is_stalled(0));
  }

  LoopWatchdog watchdog_{2, kMaxMissed};
};

TEST_F(StalledLoop, IsReportedOnce) { EXPECT_EQ(watchdog_.Observe(0, 2), Transition::kNone); }

TEST_F(StalledLoop, RecoversWithItsNextHeartbeat) {
  EXPECT_EQ(watchdog_.Observe(0, 3), Transition::kRecovered);
  EXPECT_FALSE(watchdog_.is_stalled(0));
}

}  // namespace
}  // namespace hingelink::decide
