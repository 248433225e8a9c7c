// Admission control: queues requests for a start and sheds requests when the queue exceeds its limits.
//
// The queue is limited by the memory of the queued requests and by the time that their work takes. When a
// limit is exceeded, the request that contributes least to the operator's goal is rejected while there is
// still time for another server to serve it.
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

  // Sets the current time for all calls until the next BeginStep().
  void BeginStep(double now) { now_ = now; }

  // Queues a request for a start.
  void Enqueue(RequestId id, OpenRequest& request);
  // Rejects requests until the queue is within its limits or the request `id`, which was queued last, is
  // rejected.
  void EnforceQueueLimit(RequestId id);
  // Rejects and removes a request that was never executed. Emits no Reject if its caller has disconnected.
  void RejectRequest(RequestId id, OpenRequest& request);
  // Removes a request that was never executed. If the request held an idempotency entry, the next waiting
  // attempt becomes the holder.
  void CloseUnexecuted(RequestId id, const OpenRequest& request);

  // WaiterHandler
  void QueueWaiter(RequestId id, OpenRequest& request) override { Enqueue(id, request); }
  void RejectWaiter(RequestId id, OpenRequest& request) override { RejectRequest(id, request); }

 private:
  using Lane = StartQueue::Lane;

  // Expected time until the work that is now queued has been executed, at the current pace.
  double QueueWaitMs() const;
  bool IsWithinLimits(const OpenRequest& newest) const;
  double GoalWeightPerMs(Lane lane) const;
  // The lane from which a request is shed: the non-empty lane with the lowest goal weight, or the lane of
  // `newest` if no lane has a lower weight.
  Lane LeastValuableLane(const OpenRequest& newest) const;
  // The values of Reject::no_other_server and Reject::retry_after_ms.
  bool ShouldAvoidOtherServers(const OpenRequest& request) const;
  double RetryAfterMs(const OpenRequest& request) const;

  Parts parts_;
  double now_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_ADMISSION_H_
