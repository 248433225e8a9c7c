#include "decide/load_balancing/request_budget.h"

#include <gtest/gtest.h>

namespace hingelink::decide {
namespace {

TEST(RequestBudget, GrantsTheConfiguredFractionOfRequests) {
  RequestBudget budget(0.25, 10, 0);
  int granted = 0;
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest();
    if (!budget.has_token()) continue;
    budget.Consume();
    ++granted;
  }
  EXPECT_EQ(granted, 25);
}

TEST(RequestBudget, AccumulatesTokensUpToTheMaximum) {
  RequestBudget budget(1, 3, 0);
  for (int i = 0; i < 100; ++i) budget.OnRequest();
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(budget.has_token());
    budget.Consume();
  }
  EXPECT_FALSE(budget.has_token());
}

TEST(RequestBudget, StartsWithItsInitialTokens) {
  EXPECT_TRUE(RequestBudget(0.1, 10, 5).has_token());
  EXPECT_FALSE(RequestBudget(0.1, 10, 0).has_token());
}

}  // namespace
}  // namespace hingelink::decide
