// Ejects endpoints that fail, are slow, or do not respond, compared with the other active endpoints, and lets
// them return.
//
// An ejected endpoint receives no requests for a time that doubles at each ejection. It is then half-open:
// single requests of this node probe it, until several in a row succeed and its slow start begins, or until
// one fails and it is ejected again.
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

  // Counts a response in the endpoint's statistics. kNotExecuted counts as a failure: an endpoint that
  // rejects all requests must not appear fast.
  static void CountResponse(Endpoint& endpoint, RequestOutcome outcome);
  // The half-open endpoint answered a probe.
  void OnProbeResponse(Milliseconds now, EndpointId id, bool is_success);
  // Ejects the endpoint if it is an outlier by errors or latency.
  void Evaluate(Milliseconds now, EndpointId id);
  // Ejects unresponsive endpoints, and makes ejected ones half-open when their time is over. To be called at
  // next_deadline() at the latest.
  void Tick(Milliseconds now);

  [[nodiscard]] Milliseconds next_deadline() const { return next_deadline_; }

 private:
  // Ejects the endpoint unless too many are ejected already.
  void Eject(Milliseconds now, EndpointId id, EjectionCause cause);
  [[nodiscard]] bool MayEject() const;
  [[nodiscard]] bool IsUnresponsive(Milliseconds now, const Endpoint& endpoint) const;

  Parts parts_;
  Milliseconds next_deadline_{0};
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_OUTLIER_DETECTOR_H_
