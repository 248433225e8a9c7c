// Handles arrivals: derives the deadline, latency objective and priority of a request, lets it share the
// execution of another attempt or queues it, and enforces the limits of the queue.
#ifndef HINGELINK_POLICY_REQUEST_INTAKE_H_
#define HINGELINK_POLICY_REQUEST_INTAKE_H_

#include <span>

#include "hingelink/server_policy.h"
#include "policy/admission.h"
#include "policy/arrival_stats.h"
#include "policy/attempt_age.h"
#include "policy/busy_gate.h"
#include "policy/class_table.h"
#include "policy/deadline_queue.h"
#include "policy/drain.h"
#include "policy/idempotency_table.h"
#include "policy/load_totals.h"
#include "policy/open_requests.h"
#include "policy/stall_detector.h"
#include "policy/tenant_quotas.h"

namespace hingelink::policy {

// Not thread-safe. All references must outlive the object. Times in ms.
class RequestIntake {
 public:
  struct Parts {
    const Settings& settings;
    ClassTable& classes;
    OpenRequests& requests;
    DeadlineQueue& deadlines;
    LoadTotals& totals;
    const BusyGate& busy_gate;
    const StallDetector& stall;
    const Drain& drain;
    TenantQuotas& quotas;
    ArrivalStats& arrivals;
    Admission& admission;
    IdempotencyTable& idempotency;
  };
  explicit RequestIntake(const Parts& parts) : parts_(parts) {}

  // Handles one arrival. `batch`: all events of this step. An arrival is ignored if its id is 0 or in use, or
  // if its class is unknown.
  void OnArrival(const Arrival& arrival, double now, std::span<const Event> batch);

 private:
  // Sets the arrival time, the deadline, the latency objective and is_retry.
  void AssessTimes(const Arrival& arrival, double now, OpenRequest& request);
  // Sets the expected work and the size relative to the class.
  void AssessSize(const Arrival& arrival, OpenRequest& request) const;
  // Sets over_quota and low_priority.
  void AssessPriority(const Arrival& arrival, double now, OpenRequest& request);
  // Lets the request share the execution of its original, or rejects the request if it cannot wait for that
  // execution. Returns false if neither applies and the request must be queued.
  bool JoinOriginalOrReject(const Arrival& arrival, OpenRequest& request, bool is_shared_read,
                            std::span<const Event> batch);

  Parts parts_;
  AttemptAgeEstimator attempt_age_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_REQUEST_INTAKE_H_
