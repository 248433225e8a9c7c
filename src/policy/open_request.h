// The state of one request in flight.
#ifndef HINGELINK_POLICY_OPEN_REQUEST_H_
#define HINGELINK_POLICY_OPEN_REQUEST_H_

#include <cstddef>
#include <memory>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

struct IdempotencyEntry;

enum class RequestState {
  kQueued,
  kWaitingForOriginal,  // Waits for the outcome of the holder of its idempotency entry.
  kRunning,
  kAwaitingCall,  // Its execution has reached an upstream call and waits for permission to make the call.
  kInCall,        // Its upstream call is in flight.
  kReplaying,     // Is being answered with the result of its original.
};

// Times in milliseconds on the host's clock.
struct OpenRequest {
  RequestState state = RequestState::kQueued;
  std::size_t class_index = 0;  // Into the class table.
  bool is_retry = false;
  bool over_quota = false;           // Was above its tenant's quota when it arrived.
  bool low_priority = false;         // Starts after all others and is shed before others of its class.
  bool answered = false;             // Was answered, but its execution has not ended yet.
  bool caller_disconnected = false;  // A queued request is removed at once when this is set.

  double reserved_kb = 0;
  double expected_work_ms = 0;  // Arrival::expected_work_ms; 0: unknown.
  double relative_size = 1;     // Expected work relative to the mean of its class.
  double core_time_ms = 0;      // Expected duration of the execution, excluding upstream calls.

  double arrived_at = 0;    // When the request reached the machine.
  double deadline = 0;      // When the request must be answered at the latest.
  double objective = 0;     // The latency objective: an answer until then earns the full weight.
  double scheduled_at = 0;  // The time of its entry in the deadline queue.

  int call_attempts = 0;         // Failed attempts of the current upstream call.
  double call_requested_at = 0;  // When the execution reached the current upstream call.
  double time_in_calls_ms = 0;   // Total time in the ended upstream calls of this execution.

  std::shared_ptr<IdempotencyEntry> idempotency;  // Null if the request shares no execution.
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_OPEN_REQUEST_H_
