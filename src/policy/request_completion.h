// Completes requests whose execution finishes, whose caller disconnects or whose deadline expires.
#ifndef HINGELINK_POLICY_REQUEST_COMPLETION_H_
#define HINGELINK_POLICY_REQUEST_COMPLETION_H_

#include "hingelink/server_policy.h"
#include "policy/action_sink.h"
#include "policy/admission.h"
#include "policy/class_table.h"
#include "policy/deadline_queue.h"
#include "policy/idempotency_table.h"
#include "policy/load_totals.h"
#include "policy/open_requests.h"
#include "policy/stall_detector.h"
#include "policy/start_queue.h"
#include "policy/upstream_calls.h"

namespace hingelink::policy {

// Not thread-safe. All references must outlive the object. Times in ms.
class RequestCompletion {
 public:
  struct Parts {
    const Settings& settings;
    ClassTable& classes;
    OpenRequests& requests;
    DeadlineQueue& deadlines;
    StartQueue& queue;
    LoadTotals& totals;
    StallDetector& stall;
    UpstreamCalls& upstream_calls;
    Admission& admission;
    IdempotencyTable& idempotency;
    ActionSink& actions;
  };
  explicit RequestCompletion(const Parts& parts) : parts_(parts) {}

  void OnCallerDisconnected(const CallerDisconnected& disconnected, double now);
  void OnFinished(const Finished& finished, double now);
  // Handles every request whose scheduled time in the deadline queue has come. Rejects a queued request, and
  // fails one that runs or waits for the result of its original. An execution that waits for permission to
  // make an upstream call uses its fallback instead, if it has one and the answer is not due yet. To be
  // called once per step.
  void AnswerExpired(double now);

 private:
  // Removes a queued request whose caller disconnected.
  void ReleaseQueued(RequestId id, OpenRequest& request);
  // Removes a request that waits for its original or is replayed.
  void CloseDependent(RequestId id, const OpenRequest& request);
  void AnswerExpiredRequest(RequestId id, OpenRequest& request, double now);
  // Cancels an execution whose result no caller waits for, if Settings::can_cancel_runs. An execution with an
  // idempotency entry or of a class that is not idempotent is not cancelled. A cancelled execution counts as
  // running until its Finished event.
  void CancelUnneededRun(RequestId id, const OpenRequest& request);

  Parts parts_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_REQUEST_COMPLETION_H_
