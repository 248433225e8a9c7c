// What this node holds of one endpoint.
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
  kRecovering,    // Slow start: its share of the requests grows with its responses.
  kEjected,       // An outlier: receives no requests.
  kHalfOpen,      // Receives single requests as probes until several in a row succeeded.
  kDisconnected,  // There is no connection.
};

// Why it was ejected.
enum class EjectionCause : std::uint8_t { kNone, kErrorRate, kLatency, kUnresponsive };

// The words of records, such as "aside" and "silence".
[[nodiscard]] const char* EndpointStateName(EndpointState state);
[[nodiscard]] const char* EjectionCauseName(EjectionCause cause);

// A time before all others.
inline constexpr Milliseconds kNever{-1e9};

// A poll of the endpoint's load that was not answered yet.
struct PendingPoll {
  Milliseconds at{0};
  double net_starts = 0;  // Endpoint::net_starts then.
};

struct Endpoint {
  SubsetEndpoint record;
  bool is_listed = true;  // In the list of endpoints given last.
  bool is_connected = false;
  bool is_active = false;         // May be chosen: in the node's subset, or an expansion of it.
  bool is_expansion = false;      // Active beyond the subset.
  std::size_t sharing_nodes = 1;  // Nodes that have it in their subset.

  // Requests of this node.
  std::uint64_t in_flight = 0;
  std::uint64_t requests = 0;
  std::uint64_t errors = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t ejections = 0;
  Milliseconds last_request_at = kNever;
  // Its last response, or since when one is outstanding.
  Milliseconds last_response_at{0};

  // Load reports.
  double reported_load = -1;    // Requests in flight of all nodes; below 0: not reported.
  Milliseconds reported_at{0};  // When the load was polled: it is no more recent.
  int report_uses = 0;          // Choices that relied on this report.
  Milliseconds last_poll_at = kNever;
  double net_starts = 0;  // Requests started less requests ended, of this node, since the beginning.
  double net_starts_at_report = 0;  // When the reported load was polled.
  std::deque<PendingPoll> pending_polls;

  // Latency of its responses.
  double mean_latency_ms = 0;
  double latency_ratio = 1;    // Relative to all endpoints, for requests of the same kind.
  double latency_samples = 0;  // Responses that the ratio is based on, bounded.

  EndpointState state = EndpointState::kHealthy;
  EjectionCause ejection_cause = EjectionCause::kNone;

  // Outlier detection.
  double error_rate = 0;  // Moving fraction of failed requests.
  double responses = 0;   // Since it was last ejected or connected.
  Milliseconds ejected_until{0};
  Milliseconds ejection_time{0};  // The last one; doubles at each ejection.
  Milliseconds healthy_since{0};
  std::size_t half_open_successes = 0;

  // Slow start.
  double recovery_successes = 0;
  Milliseconds recovering_since{0};
  Milliseconds available_at{0};
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_H_
