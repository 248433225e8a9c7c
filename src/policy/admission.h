// Which requests wait for a start, and which is shed when too many wait.
//
// The queue is limited by the memory of the queued requests and by the time that their work takes. Over the
// limit, the request that adds least to the operator's goal is rejected, early enough to be served by another
// server.
#ifndef HINGELINK_POLICY_ADMISSION_H_
#define HINGELINK_POLICY_ADMISSION_H_

#include "hingelink/server_policy.h"
#include "policy/action_sink.h"
#include "policy/arrival_stats.h"
#include "policy/busy_gate.h"
#include "policy/class_table.h"
#include "policy/concurrency_limiter.h"
#include "policy/drain.h"
#include "policy/idempotency_table.h"
#include "policy/load_totals.h"
#include "policy/open_requests.h"
#include "policy/stall_detector.h"
#include "policy/start_queue.h"

namespace hingelink::policy {

// Not thread-safe. All references must outlive the object. Times in ms.
class Admission : public WaiterHandler {
 public:
  struct Parts {
    const Settings& settings;
    ClassTable& classes;
    OpenRequests& requests;
    StartQueue& queue;
    LoadTotals& totals;
    const ConcurrencyLimiter& limiter;
    const BusyGate& busy_gate;
    const StallDetector& stall;
    const Drain& drain;
    ArrivalStats& arrivals;
    IdempotencyTable& idempotency;
    ActionSink& actions;
  };
  explicit Admission(const Parts& parts) : parts_(parts) {}

  // The time of the step: applies to all calls until the next one.
  void BeginStep(double now) { now_ = now; }

  // Queues a request for a start.
  void Enqueue(RequestId id, OpenRequest& request);
  // Rejects requests until the queue is within its limits, or `id` was rejected.
  void EnforceQueueLimit(RequestId id);
  // Rejects a request that was never executed, and forgets it. Nothing is sent if its caller has
  // disconnected.
  void RejectRequest(RequestId id, OpenRequest& request);
  // Forgets a request that was never executed. The next attempt that shares its entry takes its place.
  void CloseNeverRan(RequestId id, const OpenRequest& request);

  // WaiterHandler
  void QueueWaiter(RequestId id, OpenRequest& request) override { Enqueue(id, request); }
  void RejectWaiter(RequestId id, OpenRequest& request) override { RejectRequest(id, request); }

 private:
  using Lane = StartQueue::Lane;

  // How long the queued work takes at the current pace.
  double QueueWaitMs() const;
  bool IsWithinLimits(const OpenRequest& newest) const;
  double GoalWeightPerMs(Lane lane) const;
  // The lane from which a request is shed in favor of the others: that of `newest` if none adds less to the
  // goal.
  Lane LeastValuableLane(const OpenRequest& newest) const;
  // What a rejection advises. See Reject.
  bool WouldNoOtherServerHelp(const OpenRequest& request) const;
  double RetryAfterMs(const OpenRequest& request) const;

  Parts parts_;
  double now_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ADMISSION_H_
