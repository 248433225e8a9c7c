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
  // Maximum number of active endpoints: those in the subset and those that were added to it because of high
  // load.
  std::size_t max_active_endpoints = 64;

  // Load reports. The weight of a report in the estimated load halves in this time. The mean of all reports
  // has the remaining weight.
  Milliseconds load_report_half_life{120};
  // Interval between two polls of an active endpoint while requests are started.
  Milliseconds poll_interval{250};
  // Interval between two polls otherwise: while no requests are started, or if the policy needs no regular
  // reports.
  Milliseconds idle_poll_interval{2'000};

  // Policy::kProbePool. Polls of random endpoints per request.
  double probes_per_request = 2;
  // Maximum number of choices that rely on the same report.
  std::size_t max_probe_uses = 3;
  // Older reports are not compared.
  Milliseconds max_probe_age{250};
  // An endpoint whose load is above this quantile of the loads is hot: it is chosen only if all are hot.
  double hot_quantile = 0.75;

  // Slow start. Number of successful responses after which a recovering endpoint is healthy.
  double slow_start_responses = 12;
  // After this time a recovering endpoint is healthy after a single successful response.
  Milliseconds max_slow_start{4'000};
  // When an endpoint reconnects, recovers or is activated, each node waits for a random delay before it uses
  // the endpoint. The maximum delay is this multiple of the time in which the endpoint can serve one request
  // of each node that shares it, ...
  double reaction_delay_factor = 1.0;
  // ... but at most this time.
  Milliseconds max_reaction_delay{2'000};

  // An endpoint that received no request for this long may receive the next request regardless of the policy.
  Milliseconds max_unprobed_time{2'000};
  // Maximum fraction of the requests that are sent to an endpoint because of max_unprobed_time.
  double unprobed_request_fraction = 0.05;

  // The subset is expanded above this load, as a multiple of two requests in flight per unit of capacity.
  double expansion_threshold = 0.9;
  // Minimum time between two changes of the active endpoints.
  Milliseconds expansion_interval{100};
  // An expansion is removed when the load has not required an expansion for this time.
  Milliseconds contraction_delay{10'000};

  // Maximum fraction of the requests that are retried.
  double retry_budget_fraction = 0.1;
  // Maximum number of retries that accumulate in the budget.
  double max_retry_budget = 10;

  // Outlier detection. Maximum fraction of the active endpoints that are ejected at the same time.
  double max_ejected_fraction = 0.34;
  // Error rate above which an endpoint may be ejected. Scaled down while the endpoint has few responses.
  double ejection_error_rate = 0.5;
  // The latency ratio of an endpoint is its latency divided by the mean latency of all endpoints for requests
  // of the same kind. An endpoint is ejected if its latency ratio exceeds this multiple of the median of the
  // latency ratios of the other endpoints.
  double ejection_latency_factor = 3.5;
  // Number of responses after which the latency is evaluated. The error rate is evaluated after half as many.
  double min_responses = 8;
  // An endpoint with requests in flight is unresponsive after this time without a response, or after this
  // multiple of the mean latency over all endpoints, whichever is longer.
  Milliseconds min_unresponsive_time{1'500};
  double unresponsive_latency_factor = 12;
  // Duration of the first ejection. Each further ejection takes twice as long, up to the maximum.
  Milliseconds base_ejection_time{1'000};
  Milliseconds max_ejection_time{30'000};
  // Number of consecutive successful probes that end the half-open state.
  double half_open_successes = 3;

  // Number of recent choices that are kept for operators.
  std::size_t max_recent_choices = 256;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_OPTIONS_H_
