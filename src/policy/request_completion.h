// How requests end other than by admission: their execution finishes, their caller disconnects, or their
// deadline expires.
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
  // Answers every request whose deadline has expired, whether it is queued, running or waiting for another's
  // result.
  void AnswerExpired(double now);

 private:
  // Frees memory, work and deadline of a queued request. Its entry in the start queue stays until it is first
  // of its lane (see Dispatch), unless other attempts share its execution.
  void ReleaseQueued(RequestId id, OpenRequest& request);
  // Forgets a request that waits for its original or is replayed.
  void CloseSharing(RequestId id, const OpenRequest& request);
  void AnswerExpiredRequest(RequestId id, OpenRequest& request, double now);
  // Cancels an execution whose result no caller waits for. One with an idempotency entry goes on, as does one
  // that is not idempotent; the cancelled one counts as running until it has finished.
  void CancelUseless(RequestId id, const OpenRequest& request);

  Parts parts_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_REQUEST_COMPLETION_H_
