// Learns how long requests take: over all endpoints by kind of request, and for each endpoint relative to
// that.
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
  // A request succeeded after `elapsed`. Updates the endpoint's latency.
  void OnSuccess(Endpoint& endpoint, std::uint32_t request_kind, Milliseconds elapsed);

  // Mean over all kinds of requests and all endpoints, in ms; 0 before the first response.
  [[nodiscard]] double mean_ms() const { return mean_ms_; }

 private:
  std::map<std::uint32_t, double> mean_ms_by_kind_;
  double mean_ms_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LATENCY_TRACKER_H_
