// Estimates the load of endpoints from their load reports and the requests of this node.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_LOAD_ESTIMATOR_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_LOAD_ESTIMATOR_H_

#include <cstdint>

#include "decide/load_balancing/choice.h"
#include "decide/load_balancing/endpoint.h"
#include "decide/load_balancing/endpoint_set.h"
#include "decide/load_balancing/load_balancer_options.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

// Not thread-safe. All references must outlive the object.
class LoadEstimator {
 public:
  LoadEstimator(const LoadBalancerOptions& options, EndpointSet& endpoints)
      : options_(options), endpoints_(endpoints) {}

  // To be called when the endpoint has reported `in_flight`, its requests in flight of all nodes.
  // `polled_at`: when this node sent the poll, or the time of the report on this node's clock. A report older
  // than the latest one is ignored.
  void OnReport(Milliseconds now, EndpointId id, double in_flight, Milliseconds polled_at);

  // Returns the estimated number of requests in flight of all nodes, which is at least the number of this
  // node. As a report ages, its weight shifts to the mean load of all endpoints, so that the nodes do not
  // overload an endpoint that once reported a low load. Requests of this node that started or ended since the
  // poll are added or subtracted.
  [[nodiscard]] double EstimatedLoad(Milliseconds now, const Endpoint& endpoint) const;
  // Whether the report is too old to compare the endpoint with others.
  [[nodiscard]] bool IsStale(Milliseconds now, const Endpoint& endpoint) const;

 private:
  // Mean load of the active endpoints per unit of capacity, over recent reports only. 0 if there are none.
  [[nodiscard]] double MeanReportedLoad(Milliseconds now) const;

  const LoadBalancerOptions& options_;
  EndpointSet& endpoints_;
  // The cached result of MeanReportedLoad(), valid for this revision and this time.
  mutable std::uint64_t mean_revision_ = UINT64_MAX;
  mutable Milliseconds mean_at_{-1};
  mutable double mean_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LOAD_ESTIMATOR_H_
