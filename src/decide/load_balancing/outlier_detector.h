// Ejects endpoints that fail more often or are slower than the other active endpoints, or that do not
// respond, and readmits them later.
//
// An ejected endpoint receives no requests for a time that doubles at each ejection. The endpoint is then
// half-open: this node probes it with single requests. When several probes in a row have succeeded, its slow
// start begins. When a probe fails, the endpoint is ejected again.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_OUTLIER_DETECTOR_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_OUTLIER_DETECTOR_H_

#include "decide/load_balancing/choice.h"
#include "decide/load_balancing/endpoint_set.h"
#include "decide/load_balancing/latency_tracker.h"
#include "decide/load_balancing/load_balancer_counters.h"
#include "decide/load_balancing/load_balancer_options.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide {

// Not thread-safe. All references must outlive the object.
class OutlierDetector {
 public:
  struct Parts {
    const LoadBalancerOptions& options;
    EndpointSet& endpoints;
    const LatencyTracker& latency;
    const RandomSource& random;
    LoadBalancerCounters& counters;
  };
  explicit OutlierDetector(const Parts& parts) : parts_(parts) {}

  // Counts a response in the endpoint's statistics. kNotExecuted counts as a failure, because an endpoint
  // that rejects all requests must not appear fast.
  static void CountResponse(Endpoint& endpoint, RequestOutcome outcome);
  // To be called when a half-open endpoint has responded to a request. Ejects the endpoint if the request
  // failed; begins its slow start after enough successes in a row.
  void OnProbeResponse(Milliseconds now, EndpointId id, bool is_success);
  // Ejects the endpoint if it is an outlier by error rate or latency. To be called after each response.
  void Evaluate(Milliseconds now, EndpointId id);
  // Ejects unresponsive endpoints, and makes ejected endpoints half-open when their ejection time has passed.
  // To be called at next_deadline() at the latest.
  void Tick(Milliseconds now);

  [[nodiscard]] Milliseconds next_deadline() const { return next_deadline_; }

 private:
  // Ejects the endpoint for `cause`, unless too many endpoints are ejected already. A half-open endpoint
  // counts as ejected and can always be ejected again.
  void Eject(Milliseconds now, EndpointId id, EjectionCause cause);
  // Whether one more ejection stays within LoadBalancerOptions::max_ejected_fraction.
  [[nodiscard]] bool MayEject() const;
  [[nodiscard]] bool IsUnresponsive(Milliseconds now, const Endpoint& endpoint) const;

  Parts parts_;
  Milliseconds next_deadline_{0};
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_OUTLIER_DETECTOR_H_
