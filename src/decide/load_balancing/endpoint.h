// The state that this node keeps for each endpoint.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "decide/load_balancing/subsetting.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

enum class EndpointState : std::uint8_t {
  kHealthy,
  kRecovering,    // Slow start: its share of the requests grows with its successful responses.
  kEjected,       // The endpoint is an outlier and receives no requests.
  kHalfOpen,      // Receives single requests as probes until several in a row succeed.
  kDisconnected,  // This node has no connection to the endpoint.
};

// Why an endpoint was ejected.
enum class EjectionCause : std::uint8_t { kNone, kErrorRate, kLatency, kUnresponsive };

// Return the words that records contain, such as "aside" and "silence".
[[nodiscard]] const char* EndpointStateName(EndpointState state);
[[nodiscard]] const char* EjectionCauseName(EjectionCause cause);

// A time earlier than any other.
inline constexpr Milliseconds kNever{-1e9};

// A poll of the endpoint's load that has not been answered yet.
struct PendingPoll {
  Milliseconds at{0};
  double net_starts = 0;  // Value of Endpoint::net_starts when the poll was sent.
};

struct Endpoint {
  SubsetEndpoint record;
  bool is_listed = true;  // Part of the latest list of endpoints.
  bool is_connected = false;
  bool is_active = false;         // Part of the node's subset or of its expansions, so it may be chosen.
  bool is_expansion = false;      // Active although not in the subset.
  std::size_t sharing_nodes = 1;  // Nodes that have the endpoint in their subset.

  // Requests of this node.
  std::uint64_t in_flight = 0;
  std::uint64_t requests = 0;
  std::uint64_t errors = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t ejections = 0;
  Milliseconds last_request_at = kNever;
  // Start of the current time without a response: the last response, or the start of the first request in
  // flight if that is later.
  Milliseconds last_response_at{0};

  // Load reports.
  double reported_load = -1;    // Requests in flight of all nodes; below 0 if never reported.
  Milliseconds reported_at{0};  // When the poll for this report was sent.
  int report_uses = 0;          // Choices that used this report.
  Milliseconds last_poll_at = kNever;
  double net_starts = 0;            // Requests of this node: number started minus number ended.
  double net_starts_at_report = 0;  // Value of net_starts when the poll was sent.
  std::deque<PendingPoll> pending_polls;

  // Latency of its responses.
  double mean_latency_ms = 0;
  double latency_ratio = 1;    // Latency relative to the mean of all endpoints for requests of the same kind.
  double latency_samples = 0;  // Number of responses in the ratio, bounded.
  // Like latency_ratio, but returns to 1 in time without responses. See LatencyTracker::RecentRatio().
  double recent_latency_ratio = 1;
  Milliseconds last_latency_at{0};  // The last response in the ratios.

  EndpointState state = EndpointState::kHealthy;
  EjectionCause ejection_cause = EjectionCause::kNone;

  // Outlier detection.
  double error_rate = 0;  // Exponentially weighted fraction of failed requests.
  double responses = 0;   // Number of responses since the last ejection or slow start began.
  Milliseconds ejected_until{0};
  Milliseconds ejection_time{0};  // Duration of the last ejection, before jitter. Doubles at each ejection.
  Milliseconds healthy_since{0};
  std::size_t half_open_successes = 0;

  // Slow start.
  double recovery_successes = 0;  // Successful responses since slow start began.
  Milliseconds recovering_since{0};
  Milliseconds available_at{0};  // End of the random delay before the first request.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_H_
