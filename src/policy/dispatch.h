// Starts queued requests. The only place where an execution starts.
//
// DTOC (Carter and Cherkasova, HPL-98-164R1): while the server is busy, a queued request that is about to
// start is first checked for a caller that has disconnected or can no longer be served in time. Such a
// request is rejected instead.
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

  // Starts what may run, earliest latency objective first, within the limits on concurrency and memory. `now`
  // in ms.
  void StartQueued(double now);

 private:
  // Rejects the first requests of each lane whose start would be useless.
  void RejectHopeless(double now);
  bool IsHopeless(const OpenRequest& request, double now) const;
  // Whether an execution of this class would only wait for its upstream call.
  bool IsBlockedByUpstream(std::size_t class_index) const;
  void StartExecution(RequestId id, OpenRequest& request);

  Parts parts_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_DISPATCH_H_
