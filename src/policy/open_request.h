// What the policy keeps of one request in flight.
#ifndef HINGELINK_POLICY_OPEN_REQUEST_H_
#define HINGELINK_POLICY_OPEN_REQUEST_H_

#include <cstddef>
#include <memory>

#include "hingelink/server_policy.h"

namespace hingelink::policy {

struct IdempotencyEntry;

enum class RequestState {
  kQueued,
  kWaitingForOriginal,  // Waits for the outcome of the attempt that holds its idempotency entry.
  kRunning,
  kAwaitingCall,  // Its execution has reached an upstream call and waits for permission to make it.
  kInCall,        // Its upstream call is in flight.
  kReplaying,     // Is answered with its original's result.
};

// Times in milliseconds on the host's clock.
struct OpenRequest {
  RequestState state = RequestState::kQueued;
  std::size_t class_index = 0;  // Into the class table.
  bool is_retry = false;
  bool over_quota = false;           // Above its tenant's quota when it arrived.
  bool low_priority = false;         // Starts behind all others of its class and is shed before them.
  bool answered = false;             // An answer was given; only the execution is left.
  bool caller_disconnected = false;  // While it is queued its memory is free already.

  double reserved_kb = 0;
  double expected_work_ms = 0;  // As its caller gave it; 0: unknown.
  double relative_size = 1;     // Its expected work over the usual one of its class.
  double core_time_ms = 0;      // Expected of an execution without its upstream calls.

  double arrived_at = 0;    // At the machine.
  double deadline = 0;      // It must be answered by then.
  double objective = 0;     // An answer earns its full weight until then.
  double scheduled_at = 0;  // Its entry in the deadline queue.

  int call_attempts = 0;         // Of the upstream call that it is at.
  double call_requested_at = 0;  // When it reached that call.
  double time_in_calls_ms = 0;   // Over all calls of this execution.

  std::shared_ptr<IdempotencyEntry> idempotency;  // Null if it shares its result with no other request.
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_OPEN_REQUEST_H_
