// Chooses one of several candidates by the configured policy.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SELECTOR_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "decide/load_balancing/choice.h"
#include "decide/load_balancing/endpoint_set.h"
#include "decide/load_balancing/load_balancer_options.h"
#include "decide/load_balancing/load_estimator.h"
#include "decide/load_balancing/slow_start.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide {

// Not thread-safe. All references must outlive the object.
class EndpointSelector {
 public:
  struct Parts {
    const LoadBalancerOptions& options;
    EndpointSet& endpoints;
    const LoadEstimator& load;
    const SlowStart& slow_start;
    const RandomSource& random;
  };
  explicit EndpointSelector(const Parts& parts) : parts_(parts) {}

  // `candidates` must not be empty. Sets the costs, the alternative and ChoiceReason::kOnlyEndpoint in
  // `record`.
  [[nodiscard]] EndpointId Select(Milliseconds now, const std::vector<EndpointId>& candidates,
                                  ChoiceRecord& record);

 private:
  // A fresh load report, used up by a number of choices (Policy::kProbePool).
  struct Probe {
    EndpointId id = kNoEndpoint;
    double load = 0;  // Per unit of capacity.
  };

  EndpointId SelectLeastLocalLoad(const std::vector<EndpointId>& candidates, ChoiceRecord& record);
  EndpointId SelectOfTwo(Milliseconds now, const std::vector<EndpointId>& candidates, ChoiceRecord& record);
  EndpointId SelectByProbes(Milliseconds now, const std::vector<EndpointId>& candidates,
                            ChoiceRecord& record);

  // A random candidate other than `excluded`, by traffic weight. `total_weight`: of all candidates but the
  // excluded one.
  EndpointId DrawWeighted(Milliseconds now, const std::vector<EndpointId>& candidates, double total_weight,
                          EndpointId excluded);
  // Capacity, reduced during slow start.
  [[nodiscard]] double TrafficWeight(Milliseconds now, EndpointId id) const;
  [[nodiscard]] std::vector<Probe> UnexpiredProbes(Milliseconds now,
                                                   const std::vector<EndpointId>& candidates) const;
  // The load above which probes are hot.
  [[nodiscard]] double HotLoad(const std::vector<Probe>& probes) const;
  [[nodiscard]] double ProbeCost(Milliseconds now, const Probe& probe, double hot_load) const;

  // What the policy compares; the smaller one is chosen.
  [[nodiscard]] double Cost(Milliseconds now, const Endpoint& endpoint) const;
  // Expected latency of one more request, in relative units.
  [[nodiscard]] double ExpectedLatency(Milliseconds now, const Endpoint& endpoint) const;
  // What is compared while all reports are stale: requests of this node, and a latency that differs by more
  // than chance.
  [[nodiscard]] static double LocalCost(const Endpoint& endpoint);

  Parts parts_;
  std::size_t next_round_robin_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SELECTOR_H_
