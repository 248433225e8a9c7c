#include "decide/upstream/unresponsive_connection.h"

#include <gtest/gtest.h>

namespace hingelink::decide {
namespace {

using Detector = UnresponsiveConnectionDetector;
using Verdict = Detector::Verdict;

constexpr Milliseconds kMeanReply{30};
constexpr Milliseconds kStillUsed{0};

// A detector after replies that each took kMeanReply.
class UnresponsiveConnection : public testing::Test {
 protected:
  UnresponsiveConnection() {
    for (int i = 0; i < 50; ++i) detector_.OnReply(kMeanReply);
  }

  Detector detector_;
};

TEST_F(UnresponsiveConnection, TimeoutIsAMultipleOfTheMeanReplyTime) {
  EXPECT_NEAR(detector_.timeout().count(), 8 * 30, 1);
}

TEST_F(UnresponsiveConnection, RemainsInUseUntilTheTimeout) {
  EXPECT_EQ(detector_.Evaluate(detector_.timeout() * 0.9, kStillUsed, true, 100), Verdict::kWait);
}

TEST_F(UnresponsiveConnection, RemainsInUseWhileNoOtherConnectionMayBeOpened) {
  EXPECT_EQ(detector_.Evaluate(detector_.timeout(), kStillUsed, false, 100), Verdict::kWait);
}

TEST_F(UnresponsiveConnection, IsNoLongerUsedAfterTheTimeout) {
  EXPECT_EQ(detector_.Evaluate(detector_.timeout(), kStillUsed, true, 100), Verdict::kStopUsing);
}

TEST_F(UnresponsiveConnection, IsClosedAfterManyRepliesOnOtherConnections) {
  const Milliseconds timeout = detector_.timeout();
  EXPECT_EQ(detector_.Evaluate(timeout, timeout, true, Detector::kMinOvertakingReplies), Verdict::kClose);
}

TEST_F(UnresponsiveConnection, IsNotClosedAfterFewRepliesOnOtherConnections) {
  const Milliseconds timeout = detector_.timeout();
  EXPECT_EQ(detector_.Evaluate(timeout * 9, timeout, true, Detector::kMinOvertakingReplies - 1),
            Verdict::kWait);
}

TEST_F(UnresponsiveConnection, IsClosedAfterAMultipleOfTheTimeout) {
  const Milliseconds timeout = detector_.timeout();
  EXPECT_EQ(detector_.Evaluate(timeout * 10, timeout, true, 0), Verdict::kClose);
}

TEST_F(UnresponsiveConnection, IsClosedAfterMaxDeadTimeoutRegardlessOfTheTimeout) {
  EXPECT_EQ(detector_.Evaluate(Detector::kMaxDeadTimeout, Detector::kMaxTimeout, true, 0), Verdict::kClose);
}

TEST(UnresponsiveConnectionTimeout, GrowsUpToTheMaximumWithEachConnectionGivenUp) {
  Detector detector;
  Milliseconds before{0};
  for (int i = 0; i < 10; ++i) {
    const Milliseconds timeout = detector.timeout();
    EXPECT_GE(timeout, before);
    EXPECT_EQ(detector.Evaluate(timeout, kStillUsed, true, 0), Verdict::kStopUsing);
    before = timeout;
  }
  EXPECT_EQ(detector.timeout(), Detector::kMaxTimeout);
}

TEST(UnresponsiveConnectionTimeout, ReplyResetsTheTimeout) {
  Detector detector;
  for (int i = 0; i < 10; ++i) static_cast<void>(detector.Evaluate(detector.timeout(), kStillUsed, true, 0));
  detector.OnReply(Milliseconds(10));
  EXPECT_EQ(detector.timeout(), Detector::kMinTimeout);
}

}  // namespace
}  // namespace hingelink::decide
