// Slow start of endpoints that are new, reconnected, or no longer ejected.
//
// A connection proves nothing about what is behind it, and all nodes learn of a returning endpoint at about
// the same time. So each node waits for a random time before its first request, and then gives the endpoint a
// share of the requests that grows with its successful responses.
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

  // Enters EndpointState::kRecovering and forgets what was learned about the endpoint. Takes one random
  // number.
  void Begin(Milliseconds now, Endpoint& endpoint) const;
  // Enters EndpointState::kHealthy once a recovering endpoint has answered enough requests, or for long
  // enough.
  void OnResponse(Milliseconds now, Endpoint& endpoint) const;

  // Whether the endpoint may receive a request by the policy.
  [[nodiscard]] static bool IsAvailable(Milliseconds now, const Endpoint& endpoint);
  // Its share of the requests, as a fraction of that of a healthy endpoint.
  [[nodiscard]] double TrafficFraction(Milliseconds now, const Endpoint& endpoint) const;

 private:
  const LoadBalancerOptions& options_;
  const LatencyTracker& latency_;
  const RandomSource& random_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_SLOW_START_H_
