// Expands the active endpoints of a node while they are overloaded, and contracts them again.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_ACTIVE_SET_SCALER_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_ACTIVE_SET_SCALER_H_

#include <cstddef>
#include <cstdint>

#include "decide/load_balancing/endpoint_set.h"
#include "decide/load_balancing/load_balancer_counters.h"
#include "decide/load_balancing/load_balancer_options.h"
#include "decide/load_balancing/load_estimator.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

// Not thread-safe. All references must outlive the object.
class ActiveSetScaler {
 public:
  ActiveSetScaler(const LoadBalancerOptions& options, EndpointSet& endpoints, const LoadEstimator& load,
                  LoadBalancerCounters& counters)
      : options_(options), endpoints_(endpoints), load_(load), counters_(counters) {}

  // Expands if all active endpoints are busy, or if this node alone uses up its share of them; contracts
  // after a while without need. `local_in_flight`: requests of this node at all endpoints.
  void Update(Milliseconds now, std::uint64_t local_in_flight);

 private:
  struct Usage {
    double min_load = 0;        // Per unit of capacity, of the connected active endpoints.
    double capacity_share = 0;  // This node's, where all nodes that share an endpoint have equal shares.
    std::size_t expansions = 0;
  };
  [[nodiscard]] Usage SampleUsage(Milliseconds now) const;
  [[nodiscard]] bool NeedsExpansion(const Usage& usage, std::uint64_t local_in_flight) const;

  const LoadBalancerOptions& options_;
  EndpointSet& endpoints_;
  const LoadEstimator& load_;
  LoadBalancerCounters& counters_;
  Milliseconds changed_at_ = kNever;
  Milliseconds sampled_at_ = kNever;
  Milliseconds needed_at_{0};  // When the expansions were last needed.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_ACTIVE_SET_SCALER_H_
