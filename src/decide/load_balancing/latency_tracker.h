// Tracks the latency of requests: the mean over all endpoints for each kind of request, and the latency of
// each endpoint relative to that mean.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_LATENCY_TRACKER_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_LATENCY_TRACKER_H_

#include <cstdint>
#include <map>

#include "decide/load_balancing/endpoint.h"
#include "decide/load_balancing/load_balancer_options.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

// Not thread-safe.
class LatencyTracker {
 public:
  // `options` must outlive the object.
  explicit LatencyTracker(const LoadBalancerOptions& options) : options_(options) {}

  // Updates the means and the endpoint's latency after a request of this kind succeeded in `elapsed`.
  void OnSuccess(Milliseconds now, Endpoint& endpoint, std::uint32_t request_kind, Milliseconds elapsed);

  // The latency ratio by which a choice compares endpoints. It is 1 while the endpoint has fewer than
  // LoadBalancerOptions::min_responses, and returns to 1 within LoadBalancerOptions::base_ejection_time after
  // the last response: an endpoint that is avoided has no responses that could correct its ratio.
  [[nodiscard]] double RecentRatio(Milliseconds now, const Endpoint& endpoint) const;

  // Mean over all kinds of requests and all endpoints, in ms; 0 before the first response.
  [[nodiscard]] double mean_ms() const { return mean_ms_; }

 private:
  // The recent latency ratio, moved towards 1 by the time since the last response.
  [[nodiscard]] double FadedRatio(Milliseconds now, const Endpoint& endpoint) const;

  const LoadBalancerOptions& options_;
  std::map<std::uint32_t, double> mean_ms_by_kind_;
  double mean_ms_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LATENCY_TRACKER_H_
