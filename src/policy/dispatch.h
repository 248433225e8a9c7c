// Starts queued requests. No other class starts an execution.
//
// Implements DTOC (Carter and Cherkasova, HPL-98-164R1): before a queued request starts, Dispatch checks
// whether the caller has disconnected and, while the server is busy, whether the request can still meet its
// latency objective. If not, the request is rejected.
#ifndef HINGELINK_POLICY_DISPATCH_H_
#define HINGELINK_POLICY_DISPATCH_H_

#include "hingelink/server_policy.h"
#include "policy/action_sink.h"
#include "policy/admission.h"
#include "policy/busy_gate.h"
#include "policy/class_table.h"
#include "policy/concurrency_limiter.h"
#include "policy/idempotency_table.h"
#include "policy/load_totals.h"
#include "policy/open_requests.h"
#include "policy/stall_detector.h"
#include "policy/start_queue.h"
#include "policy/upstream_calls.h"

namespace hingelink::policy {

// Not thread-safe. All references must outlive the object.
class Dispatch {
 public:
  struct Parts {
    ClassTable& classes;
    OpenRequests& requests;
    StartQueue& queue;
    LoadTotals& totals;
    const ConcurrencyLimiter& limiter;
    const BusyGate& busy_gate;
    const StallDetector& stall;
    const UpstreamCalls& upstream_calls;
    Admission& admission;
    IdempotencyTable& idempotency;
    ActionSink& actions;
  };
  explicit Dispatch(const Parts& parts) : parts_(parts) {}

  // Starts queued requests within the limits on concurrency and memory, earliest latency objective first.
  // `now` in ms. To be called once per step.
  void StartQueued(double now);

 private:
  // Rejects requests at the front of each lane until the first request of the lane is worth starting.
  void RejectNotWorthStarting(double now);
  bool IsNotWorthStarting(const OpenRequest& request, double now) const;
  // Whether an execution of this class would have to wait for its upstream call without a fallback, because
  // too many calls are waiting.
  bool IsBlockedByUpstream(std::size_t class_index) const;
  void StartExecution(RequestId id, OpenRequest& request);

  Parts parts_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_DISPATCH_H_
