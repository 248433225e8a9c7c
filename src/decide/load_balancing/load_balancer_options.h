// Parameters of the load balancer.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_OPTIONS_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_OPTIONS_H_

#include <cstddef>

#include "decide/load_balancing/policy.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

struct LoadBalancerOptions {
  Policy policy = Policy::kProbePool;

  // Endpoints in the subset of a node.
  std::size_t subset_size = 8;
  // Active endpoints, expansions of the subset included.
  std::size_t max_active_endpoints = 64;

  // Load reports. The weight of a report halves in this time; the mean of all reports has the rest.
  Milliseconds load_report_half_life{120};
  // Between two polls of an active endpoint while requests are started.
  Milliseconds poll_interval{250};
  // Between two polls otherwise.
  Milliseconds idle_poll_interval{2'000};

  // Policy::kProbePool. Endpoints polled per request.
  double probes_per_request = 2;
  // Choices that may rely on the same report.
  std::size_t max_probe_uses = 3;
  Milliseconds max_probe_age{250};
  // Endpoints whose load is above this quantile are hot.
  double hot_quantile = 0.75;

  // Slow start. Successful responses until a recovering endpoint is healthy.
  double slow_start_responses = 12;
  // Duration after which one successful response is enough.
  Milliseconds max_slow_start{4'000};
  // Nodes begin to use an endpoint that became available at random times, within this multiple of the time in
  // which it can serve one request of each node that shares it ...
  double reaction_delay_factor = 1.0;
  // ... and within this time.
  Milliseconds max_reaction_delay{2'000};

  // An endpoint without a request for this long may receive the next one, whatever the policy ...
  Milliseconds max_unprobed_time{2'000};
  // ... for at most this fraction of the requests.
  double unprobed_request_fraction = 0.05;

  // The subset is expanded above this load per core, as a multiple of two requests in flight.
  double expansion_threshold = 0.9;
  // Between two changes of the active endpoints.
  Milliseconds expansion_interval{100};
  // Without need for an expansion, one is removed after this time.
  Milliseconds contraction_delay{10'000};

  // Retries as a fraction of the requests, and how many may accumulate.
  double retry_budget_fraction = 0.1;
  double max_retry_budget = 10;

  // Outlier detection. Active endpoints that may be ejected at the same time.
  double max_ejected_fraction = 0.34;
  double ejection_error_rate = 0.5;
  // Relative to the median of the other endpoints.
  double ejection_latency_factor = 3.5;
  // Latency is judged after this many responses, the error rate after half as many.
  double min_responses = 8;
  // An endpoint with requests in flight is unresponsive after this time without a response, or after this
  // multiple of the mean latency, whichever is longer.
  Milliseconds min_unresponsive_time{1'500};
  double unresponsive_latency_factor = 12;
  // The first ejection; each further one takes twice as long.
  Milliseconds base_ejection_time{1'000};
  Milliseconds max_ejection_time{30'000};
  // Consecutive successful probes that end the half-open state.
  double half_open_successes = 3;

  // Choices kept for operators.
  std::size_t max_recent_choices = 256;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_OPTIONS_H_
