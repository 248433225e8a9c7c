#include "decide/load_balancing/load_estimator.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "balanced_node.h"

namespace hingelink::decide {
namespace {

LoadBalancerOptions ReportedLoadOptions() {
  LoadBalancerOptions options;
  options.policy = Policy::kTwoChoicesReportedLoad;
  return options;
}

// The first of four endpoints reports no load, and the others report 8 requests in flight.
class AgingReport : public testing::Test {
 protected:
  AgingReport() {
    node_.RunRequests(100);
    for (const EndpointId id : node_.active()) node_.ReportLoad(id, id == node_.active()[0] ? 0 : 8);
  }
  double EstimateOfFirst() const { return node_.Snapshot(node_.active()[0]).estimated_load; }

  const LoadBalancerOptions options_ = ReportedLoadOptions();
  BalancedNode node_{4, options_};
};

TEST_F(AgingReport, NewReportIsTheEstimatedLoad) { EXPECT_NEAR(EstimateOfFirst(), 0, 0.01); }

TEST_F(AgingReport, ReportHasHalfTheWeightAfterItsHalfLife) {
  node_.now += options_.load_report_half_life;
  EXPECT_NEAR(EstimateOfFirst(), 3, 0.01);
}

TEST_F(AgingReport, MeanOfAllEndpointsReplacesAnOldReport) {
  node_.now += options_.load_report_half_life * 6;
  EXPECT_NEAR(EstimateOfFirst(), 6, 0.3);
}

TEST_F(AgingReport, RequestsStartedSinceTheReportAreAdded) {
  node_.now += options_.load_report_half_life * 6;
  node_.StartRequest();
  double highest = 0;
  for (const EndpointId id : node_.active()) {
    highest = std::max(highest, node_.Snapshot(id).estimated_load);
  }
  EXPECT_GT(highest, 6.5);
}

// Two endpoints were polled, and requests were started before the reports arrived.
class PolledEndpoints : public testing::Test {
 protected:
  PolledEndpoints() {
    node_.RunRequests(50);
    node_.now += Milliseconds(5'000);
    static_cast<void>(node_.balancer().EndpointsToPoll(node_.now));
    polled_at_ = node_.now;
    first_ = node_.active()[0];
    second_ = node_.active()[1];
    for (int i = 0; i < 6; ++i) started_at_first_ += node_.StartRequest().endpoint == first_ ? 1 : 0;
    node_.balancer().OnLoadReport(node_.now, first_, 10, polled_at_);
    node_.balancer().OnLoadReport(node_.now, second_, 10, polled_at_);
  }
  double EstimateOfFirst() const { return node_.Snapshot(first_).estimated_load; }

  BalancedNode node_{2, ReportedLoadOptions()};
  Milliseconds polled_at_{0};
  EndpointId first_ = kNoEndpoint;
  EndpointId second_ = kNoEndpoint;
  double started_at_first_ = 0;
};

TEST_F(PolledEndpoints, RequestsStartedSinceThePollAreAddedToTheReport) {
  ASSERT_GT(started_at_first_, 0);
  EXPECT_NEAR(EstimateOfFirst(), 10 + started_at_first_, 0.1);
}

TEST_F(PolledEndpoints, ReportOfAnEarlierPollIsIgnored) {
  node_.balancer().OnLoadReport(node_.now, first_, 0, polled_at_ - Milliseconds(50));
  EXPECT_NEAR(EstimateOfFirst(), 10 + started_at_first_, 0.1);
}

TEST_F(PolledEndpoints, MeanIncludesANewReportOfTheSameTime) {
  node_.now += Milliseconds(600);
  node_.ReportLoad(second_, 20);
  const double high = EstimateOfFirst();
  node_.now += Milliseconds(0.001);
  node_.ReportLoad(second_, 20);
  static_cast<void>(EstimateOfFirst());
  node_.ReportLoad(second_, 0);
  EXPECT_LT(EstimateOfFirst(), high - 5);
}

}  // namespace
}  // namespace hingelink::decide
