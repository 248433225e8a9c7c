// What is done with an arrival: its deadline and latency objective are derived, it joins another attempt or
// is queued, and the limits of the queue are enforced.
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

  // `batch`: all events of this step. An arrival without an id, with one in use or of an unknown class is
  // ignored.
  void OnArrival(const Arrival& arrival, double now, std::span<const Event> batch);

 private:
  // Derives from the arrival when it must be answered, how old and how large it is.
  void AssessTimes(const Arrival& arrival, double now, OpenRequest& request);
  void AssessSize(const Arrival& arrival, OpenRequest& request) const;
  // Whether it starts behind all others of its class.
  void AssessPriority(const Arrival& arrival, double now, OpenRequest& request);
  // Lets the arrival share the execution of its original, or rejects it if it cannot wait for one. Returns
  // whether that settled it.
  bool JoinOriginalOrReject(const Arrival& arrival, OpenRequest& request, bool is_shared_read,
                            std::span<const Event> batch);

  Parts parts_;
  AttemptAgeEstimator attempt_age_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_REQUEST_INTAKE_H_
