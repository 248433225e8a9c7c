// Adds standbys to the active endpoints of a node while these are overloaded, and removes them afterwards.
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

  // Activates a standby if all active endpoints are overloaded, or if the requests of this node exceed its
  // share of their capacity. Deactivates an expansion when none has been needed for
  // LoadBalancerOptions::contraction_delay. `local_in_flight`: requests of this node at all endpoints.
  void Update(Milliseconds now, std::uint64_t local_in_flight);

 private:
  struct Usage {
    double min_load = 0;         // Smallest load per unit of capacity of a connected active endpoint.
    double capacity_share = 0;   // Capacity for this node if all nodes share each endpoint equally.
    std::size_t expansions = 0;  // Active endpoints outside of the subset.
  };
  [[nodiscard]] Usage SampleUsage(Milliseconds now) const;
  [[nodiscard]] bool NeedsExpansion(const Usage& usage, std::uint64_t local_in_flight) const;

  const LoadBalancerOptions& options_;
  EndpointSet& endpoints_;
  const LoadEstimator& load_;
  LoadBalancerCounters& counters_;
  Milliseconds changed_at_ = kNever;  // Last change or attempted change of the active endpoints.
  Milliseconds sampled_at_ = kNever;
  Milliseconds needed_at_{0};  // When an expansion was last needed.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_ACTIVE_SET_SCALER_H_
