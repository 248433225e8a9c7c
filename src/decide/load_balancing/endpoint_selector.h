// Chooses one of several candidates by the configured policy.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SELECTOR_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "decide/load_balancing/choice.h"
#include "decide/load_balancing/endpoint_set.h"
#include "decide/load_balancing/latency_tracker.h"
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
    const LatencyTracker& latency;
    const SlowStart& slow_start;
    const RandomSource& random;
  };
  explicit EndpointSelector(const Parts& parts) : parts_(parts) {}

  // Returns one of `candidates`, which must not be empty. Sets the costs and the alternative in `record`, and
  // the reason ChoiceReason::kOnlyEndpoint if there is a single candidate.
  [[nodiscard]] EndpointId Select(Milliseconds now, const std::vector<EndpointId>& candidates,
                                  ChoiceRecord& record);

 private:
  // A recent load report that has not reached its maximum number of uses (Policy::kProbePool).
  struct Probe {
    EndpointId id = kNoEndpoint;
    double load = 0;  // Per unit of capacity.
  };

  EndpointId SelectLeastLocalLoad(const std::vector<EndpointId>& candidates, ChoiceRecord& record);
  // Compares two candidates drawn by traffic weight.
  EndpointId SelectOfTwo(Milliseconds now, const std::vector<EndpointId>& candidates, ChoiceRecord& record);
  // Compares all candidates with a usable report, or calls SelectOfTwo() if there are fewer than two.
  EndpointId SelectByProbes(Milliseconds now, const std::vector<EndpointId>& candidates,
                            ChoiceRecord& record);

  // Draws a candidate other than `excluded` with a probability proportional to its traffic weight.
  // `total_weight`: sum of the weights of all candidates except `excluded`.
  EndpointId DrawWeighted(Milliseconds now, const std::vector<EndpointId>& candidates, double total_weight,
                          EndpointId excluded);
  // The capacity of the endpoint, reduced during slow start.
  [[nodiscard]] double TrafficWeight(Milliseconds now, EndpointId id) const;
  // Whether the endpoint takes part in a comparison: always, or in slow start with the probability of its
  // traffic fraction. A higher cost instead would exclude it while others are idle, and without responses its
  // share would not grow.
  bool DrawAdmission(Milliseconds now, const Endpoint& endpoint);
  // The reports that are recent, not used up, and of endpoints that take part in the comparison.
  std::vector<Probe> UsableProbes(Milliseconds now, const std::vector<EndpointId>& candidates);
  // The load above which probes are hot.
  [[nodiscard]] double HotLoad(const std::vector<Probe>& probes) const;
  [[nodiscard]] double ProbeCost(Milliseconds now, const Probe& probe, double hot_load) const;

  // The value that the policy compares. The endpoint with the smaller cost is chosen.
  [[nodiscard]] double Cost(Milliseconds now, const Endpoint& endpoint) const;
  // Expected latency of one more request in relative units: the latency ratio scaled by the load per core.
  [[nodiscard]] double ExpectedLatency(Milliseconds now, const Endpoint& endpoint) const;
  // The latency ratio by which endpoints are compared, or 1 if it differs from 1 by no more than random
  // variation.
  [[nodiscard]] double SignificantLatencyRatio(Milliseconds now, const Endpoint& endpoint) const;
  // The cost while the reports of both candidates are stale: the requests of this node per unit of capacity,
  // weighted by the significant latency ratio.
  [[nodiscard]] double LocalCost(Milliseconds now, const Endpoint& endpoint) const;

  Parts parts_;
  std::size_t next_round_robin_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SELECTOR_H_
