#include "decide/upstream/reconnect_backoff.h"

#include <gtest/gtest.h>

namespace hingelink::decide {
namespace {

TEST(ReconnectBackoff, UpperBoundOfDelayDoublesUpToTheMaximum) {
  ReconnectBackoff backoff([] { return 1.0; });
  for (const double bound : {40.0, 80.0, 160.0, 320.0, 640.0, 1000.0, 1000.0}) {
    EXPECT_DOUBLE_EQ(backoff.OnFailure().count(), bound);
  }
}

TEST(ReconnectBackoff, LowerBoundOfDelayIsConstant) {
  ReconnectBackoff backoff([] { return 0.0; });
  for (int i = 0; i < 20; ++i) EXPECT_EQ(backoff.OnFailure(), ReconnectBackoff::kMinDelay);
}

TEST(ReconnectBackoff, IsUnhealthyAfterAFailureUntilAReply) {
  ReconnectBackoff backoff([] { return 1.0; });
  EXPECT_TRUE(backoff.healthy());
  static_cast<void>(backoff.OnFailure());
  EXPECT_FALSE(backoff.healthy());
  backoff.OnSuccess();
  EXPECT_TRUE(backoff.healthy());
}

TEST(ReconnectBackoff, ReplyResetsTheDelay) {
  ReconnectBackoff backoff([] { return 1.0; });
  const Milliseconds first = backoff.OnFailure();
  EXPECT_GT(backoff.OnFailure(), first);
  backoff.OnSuccess();
  EXPECT_EQ(backoff.OnFailure(), first);
}

}  // namespace
}  // namespace hingelink::decide
