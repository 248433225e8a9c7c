// Decides when to poll endpoints for their load.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_LOAD_POLLER_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_LOAD_POLLER_H_

#include <vector>

#include "decide/load_balancing/choice.h"
#include "decide/load_balancing/endpoint_set.h"
#include "decide/load_balancing/load_balancer_counters.h"
#include "decide/load_balancing/load_balancer_options.h"
#include "decide/load_balancing/request_budget.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide {

// Not thread-safe. All references must outlive the object.
class LoadPoller {
 public:
  LoadPoller(const LoadBalancerOptions& options, EndpointSet& endpoints, const RandomSource& random,
             LoadBalancerCounters& counters);

  // Adds the tokens of a new request, not of a retry, to the budget of probes.
  void OnRequest() { probe_budget_.OnRequest(); }
  // To be called when a request is started at an endpoint.
  void OnRequestStarted(Milliseconds now) { last_start_at_ = now; }
  // Returns the endpoints to poll now, and records the polls as sent.
  [[nodiscard]] std::vector<EndpointId> EndpointsToPoll(Milliseconds now);

 private:
  [[nodiscard]] Milliseconds PollInterval(Milliseconds now) const;
  // Adds the connected active endpoints whose poll interval has passed.
  void AddScheduled(Milliseconds now, std::vector<EndpointId>& polled);
  // Adds random connected active endpoints, within the budget of probes.
  void AddProbes(Milliseconds now, std::vector<EndpointId>& polled);

  const LoadBalancerOptions& options_;
  EndpointSet& endpoints_;
  const RandomSource& random_;
  LoadBalancerCounters& counters_;
  RequestBudget probe_budget_;
  Milliseconds last_start_at_ = kNever;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LOAD_POLLER_H_
