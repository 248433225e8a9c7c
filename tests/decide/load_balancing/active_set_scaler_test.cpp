#include "decide/load_balancing/active_set_scaler.h"

#include <gtest/gtest.h>

#include "balanced_node.h"

namespace hingelink::decide {
namespace {

LoadBalancerOptions SubsetOfTwo() {
  LoadBalancerOptions options;
  options.subset_size = 2;
  return options;
}

// A node with a subset of two of six endpoints, whose active endpoints all report a high load.
class OverloadedSubset : public testing::Test {
 protected:
  OverloadedSubset() {
    node_.RunRequests(50);
    size_before_ = node_.active().size();
    for (int i = 0; i < 20; ++i) {
      node_.ReportAll(9);
      node_.Pass(Milliseconds(60));
    }
  }

  BalancedNode node_{6, SubsetOfTwo()};
  std::size_t size_before_ = 0;
};

TEST_F(OverloadedSubset, IsExpanded) {
  EXPECT_EQ(size_before_, 2u);
  EXPECT_EQ(node_.active().size(), 6u);
}

TEST_F(OverloadedSubset, IsContractedOnceTheLoadHasFallen) {
  for (int i = 0; i < 400; ++i) {
    node_.ReportAll(0);
    node_.Pass(Milliseconds(100));
  }
  EXPECT_EQ(node_.active().size(), 2u);
}

TEST(ActiveSetScaler, ExpandsForANodeThatExceedsItsShareThoughTheEndpointsAreIdle) {
  BalancedNode node(8, SubsetOfTwo());
  node.balancer().SetNodes(node.now, MakeNodes(40));
  node.RunRequests(50);
  const std::size_t before = node.active().size();
  for (int i = 0; i < 12; ++i) {
    node.ReportAll(0);
    node.Start();
    node.now += Milliseconds(200);
  }
  EXPECT_GT(node.active().size(), before + 1);
}

}  // namespace
}  // namespace hingelink::decide
