// Slow start of endpoints that are new, reconnected, or no longer ejected.
//
// A successful connection does not prove that the endpoint can execute requests, and all nodes learn at about
// the same time that an endpoint is available again. Each node therefore waits for a random delay before its
// first request, and then gives the endpoint a share of the requests that grows with its successful
// responses.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_SLOW_START_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_SLOW_START_H_

#include "decide/load_balancing/endpoint.h"
#include "decide/load_balancing/latency_tracker.h"
#include "decide/load_balancing/load_balancer_options.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide {

// Not thread-safe. All references must outlive the object.
class SlowStart {
 public:
  SlowStart(const LoadBalancerOptions& options, const LatencyTracker& latency, const RandomSource& random)
      : options_(options), latency_(latency), random_(random) {}

  // Enters EndpointState::kRecovering and resets the statistics and load report of the endpoint. Draws one
  // random number.
  void Begin(Milliseconds now, Endpoint& endpoint) const;
  // To be called after each response. Enters EndpointState::kHealthy if the endpoint is recovering and has
  // answered enough requests successfully, or at least one after LoadBalancerOptions::max_slow_start.
  void OnResponse(Milliseconds now, Endpoint& endpoint) const;

  // Whether the policy may choose the endpoint: it is healthy, or it is recovering, its random delay has
  // passed and it has few requests in flight.
  [[nodiscard]] static bool IsAvailable(Milliseconds now, const Endpoint& endpoint);
  // The share of the requests for the endpoint, as a fraction of the share of a healthy endpoint.
  [[nodiscard]] double TrafficFraction(Milliseconds now, const Endpoint& endpoint) const;

 private:
  const LoadBalancerOptions& options_;
  const LatencyTracker& latency_;
  const RandomSource& random_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_SLOW_START_H_
