// Tests of the limit on log lines that peers can cause.
#include <gtest/gtest.h>

#include <chrono>

#include "log/log.h"

namespace {

using hingelink::log::LogBudget;

TEST(LogBudget, AllowsABurstAndCountsSuppressedLines) {
  constexpr int kLines = 5000;
  LogBudget budget;
  const LogBudget::Time start{std::chrono::hours(1)};
  int written = 0;
  for (int line = 0; line < kLines; ++line) written += budget.TryConsume(start) ? 1 : 0;
  EXPECT_EQ(written, LogBudget::kBurstLines);
  EXPECT_EQ(budget.ResetSuppressedCount(), kLines - written);
  EXPECT_TRUE(budget.TryConsume(start + std::chrono::seconds(1)));
  EXPECT_EQ(budget.ResetSuppressedCount(), 0);
}

}  // namespace
