// The bound on log lines that peers can cause.
#include <gtest/gtest.h>

#include <chrono>

#include "log/log.h"

namespace {

using hingelink::log::LogBudget;

TEST(LogBudget, AllowsABurstAndCountsTheLinesLeftOut) {
  constexpr int kLines = 5000;
  LogBudget budget;
  const LogBudget::Time start{std::chrono::hours(1)};
  int written = 0;
  for (int line = 0; line < kLines; ++line) written += budget.Take(start) ? 1 : 0;
  EXPECT_EQ(written, LogBudget::kBurst);
  EXPECT_EQ(budget.TakeLeftOut(), kLines - written);
  EXPECT_TRUE(budget.Take(start + std::chrono::seconds(1)));
  EXPECT_EQ(budget.TakeLeftOut(), 0);
}

}  // namespace
