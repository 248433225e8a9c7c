#include "decide/upstream/reconnect_backoff.h"

#include <gtest/gtest.h>

namespace hingelink::decide {
namespace {

using Span = ReconnectBackoff::Span;

TEST(ReconnectBackoff, TheUpperBoundOfTheDelayDoublesUpToItsMaximum) {
  ReconnectBackoff backoff([] { return 1.0; });
  for (const double bound : {40.0, 80.0, 160.0, 320.0, 640.0, 1000.0, 1000.0}) {
    EXPECT_DOUBLE_EQ(backoff.OnFailure().count(), bound);
  }
}

TEST(ReconnectBackoff, TheLowerBoundOfTheDelayDoesNotGrow) {
  ReconnectBackoff backoff([] { return 0.0; });
  for (int i = 0; i < 20; ++i) EXPECT_EQ(backoff.OnFailure(), ReconnectBackoff::kMinDelay);
}

TEST(ReconnectBackoff, IsUnhealthyFromAFailureUntilAReply) {
  ReconnectBackoff backoff([] { return 1.0; });
  EXPECT_TRUE(backoff.healthy());
  static_cast<void>(backoff.OnFailure());
  EXPECT_FALSE(backoff.healthy());
  backoff.OnSuccess();
  EXPECT_TRUE(backoff.healthy());
}

TEST(ReconnectBackoff, AReplyResetsTheDelay) {
  ReconnectBackoff backoff([] { return 1.0; });
  const Span first = backoff.OnFailure();
  EXPECT_GT(backoff.OnFailure(), first);
  backoff.OnSuccess();
  EXPECT_EQ(backoff.OnFailure(), first);
}

}  // namespace
}  // namespace hingelink::decide
