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

// A node with a subset of two of six endpoints. All its active endpoints report a high load.
class OverloadedSubset : public testing::Test {
 protected:
  OverloadedSubset() {
    node_.RunRequests(50);
    size_before_ = node_.active().size();
    for (int i = 0; i < 20; ++i) {
      node_.ReportLoadOfAll(9);
      node_.AdvanceTime(Milliseconds(60));
    }
  }

  BalancedNode node_{6, SubsetOfTwo()};
  std::size_t size_before_ = 0;
};

TEST_F(OverloadedSubset, IsExpandedToAllConnectedEndpoints) {
  EXPECT_EQ(size_before_, 2u);
  EXPECT_EQ(node_.active().size(), 6u);
}

TEST_F(OverloadedSubset, IsContractedToTheSubsetAfterTheLoadHasDropped) {
  for (int i = 0; i < 400; ++i) {
    node_.ReportLoadOfAll(0);
    node_.AdvanceTime(Milliseconds(100));
  }
  EXPECT_EQ(node_.active().size(), 2u);
}

TEST(ActiveSetScaler, ExpandsIfTheNodeExceedsItsShareWhileReportedLoadIsZero) {
  BalancedNode node(8, SubsetOfTwo());
  node.balancer().SetNodes(node.now, MakeNodes(40));
  node.RunRequests(50);
  const std::size_t before = node.active().size();
  for (int i = 0; i < 12; ++i) {
    node.ReportLoadOfAll(0);
    node.StartRequest();
    node.now += Milliseconds(200);
  }
  EXPECT_GT(node.active().size(), before + 1);
}

}  // namespace
}  // namespace hingelink::decide
