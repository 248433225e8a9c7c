// Tracks the latency of requests: the mean over all endpoints for each kind of request, and the latency of
// each endpoint relative to that mean.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_LATENCY_TRACKER_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_LATENCY_TRACKER_H_

#include <cstdint>
#include <map>

#include "decide/load_balancing/endpoint.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

// Not thread-safe.
class LatencyTracker {
 public:
  // Updates the means and the endpoint's latency after a request of this kind succeeded in `elapsed`.
  void OnSuccess(Endpoint& endpoint, std::uint32_t request_kind, Milliseconds elapsed);

  // Mean over all kinds of requests and all endpoints, in ms; 0 before the first response.
  [[nodiscard]] double mean_ms() const { return mean_ms_; }

 private:
  std::map<std::uint32_t, double> mean_ms_by_kind_;
  double mean_ms_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LATENCY_TRACKER_H_
