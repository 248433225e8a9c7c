// Estimates the load of endpoints from their reports.
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

  // The endpoint reported `in_flight` requests of all nodes. `polled_at`: when this node sent the poll, or
  // the report's age on this node's clock. A report older than the latest one is ignored.
  void OnReport(Milliseconds now, EndpointId id, double in_flight, Milliseconds polled_at);

  // Requests in flight of all nodes, at least those of this node. As a report ages, the mean load of all
  // endpoints replaces it, so that nodes do not overload the endpoint whose load was low once. Requests of
  // this node that started or ended since the report are added.
  [[nodiscard]] double EstimatedLoad(Milliseconds now, const Endpoint& endpoint) const;
  // Whether the report is too old to compare the endpoint with others.
  [[nodiscard]] bool IsStale(Milliseconds now, const Endpoint& endpoint) const;

 private:
  // Of the active endpoints, per unit of capacity. Recent reports only; 0 without any.
  [[nodiscard]] double MeanReportedLoad(Milliseconds now) const;

  const LoadBalancerOptions& options_;
  EndpointSet& endpoints_;
  // The result of MeanReportedLoad(), valid for one time and one revision.
  mutable std::uint64_t mean_revision_ = UINT64_MAX;
  mutable Milliseconds mean_at_{-1};
  mutable double mean_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LOAD_ESTIMATOR_H_
