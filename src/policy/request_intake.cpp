#include "policy/request_intake.h"

#include <algorithm>

namespace hingelink::policy {
namespace {

// An attempt counts as a retry if its age is above this fraction of the class's deadline.
constexpr double kRetryAgeFraction = 0.1;
// Bound on the expected work of a request relative to the mean of its class, and on the inverse. The bound
// limits the effect of wrong values, because callers can be far off.
constexpr double kMaxRelativeSize = 8;

}  // namespace

void RequestIntake::OnArrival(const Arrival& arrival, double now, std::span<const Event> batch) {
  const auto class_index = parts_.classes.IndexOf(arrival.request_class);
  if (arrival.id == 0 || !class_index || parts_.requests.Find(arrival.id) != nullptr) return;
  OpenRequest& request = parts_.requests.Open(arrival.id, *class_index);
  request.reserved_kb = arrival.reserved_kb;
  AssessTimes(arrival, now, request);
  AssessSize(arrival, request);
  AssessPriority(arrival, now, request);
  parts_.totals.ReserveMemory(request);
  parts_.classes.CountArrival(*class_index);
  parts_.arrivals.CountArrival(request.is_retry);
  parts_.deadlines.ScheduleAnswer(arrival.id, request);

  const bool is_keyed = parts_.classes.IsKeyed(request);
  const bool is_shared_read = parts_.idempotency.IsSharedRead(arrival, request);
  const bool names_original = (is_keyed || is_shared_read) && arrival.original != 0;
  if (names_original && JoinOriginalOrReject(arrival, request, is_shared_read, batch)) return;
  // The grace period after a drain notice is checked only now, because it applies to executions and a replay
  // is not an execution.
  if (parts_.drain.IsPastGrace(request.arrived_at) ||
      (is_keyed && !parts_.idempotency.Open(arrival.id, request, now))) {
    parts_.admission.RejectRequest(arrival.id, request);
    return;
  }
  if (is_shared_read) parts_.idempotency.Open(arrival.id, request, now);
  parts_.admission.Enqueue(arrival.id, request);
  parts_.admission.EnforceQueueLimit(arrival.id);
}

void RequestIntake::AssessTimes(const Arrival& arrival, double now, OpenRequest& request) {
  const RequestClass& config = parts_.classes.ConfigOf(request);
  request.arrived_at = now - arrival.read_delay_ms;
  const bool knows_wait = arrival.remaining_wait_ms > 0;
  // A remaining wait above the class's deadline is an error of the caller. Uncapped, it would keep the
  // request in the queue for too long.
  request.deadline = knows_wait ? now + std::min(arrival.remaining_wait_ms, config.deadline_ms)
                                : std::max(now, request.arrived_at + config.deadline_ms);
  request.deadline = std::min(request.deadline, parts_.drain.answer_by());
  double age_ms = 0;
  if (knows_wait) {
    const double wait_at_arrival_ms = arrival.remaining_wait_ms + arrival.read_delay_ms;
    age_ms = attempt_age_.EstimateAge(wait_at_arrival_ms / config.deadline_ms) * config.deadline_ms;
  }
  request.is_retry = arrival.is_retry || age_ms > kRetryAgeFraction * config.deadline_ms;
  request.objective =
      std::min(request.deadline, request.arrived_at - age_ms + config.latency_objective_ms +
                                     config.latency_objective_work_factor * arrival.expected_work_ms);
}

void RequestIntake::AssessSize(const Arrival& arrival, OpenRequest& request) const {
  const LearnedClass& learned = parts_.classes.LearnedOf(request);
  request.expected_work_ms = arrival.expected_work_ms;
  // Without an expected work, or without a mean of the class to compare with, the relative size stays 1.
  if (arrival.expected_work_ms > 0 && learned.expected_work_ms > 0) {
    request.relative_size = std::clamp(arrival.expected_work_ms / learned.expected_work_ms,
                                       1 / kMaxRelativeSize, kMaxRelativeSize);
  }
  request.core_time_ms = request.relative_size * learned.core_time_ms;
}

void RequestIntake::AssessPriority(const Arrival& arrival, double now, OpenRequest& request) {
  request.over_quota = parts_.quotas.IsOverQuota(arrival, request.is_retry, now);
  // In a retry storm, a retry has used much of its time, and serving it would delay first attempts that can
  // still be answered in time. A request whose latency objective has passed would be late at any server.
  const bool is_storm_retry =
      request.is_retry && parts_.busy_gate.is_busy() && parts_.arrivals.IsRetryStorm();
  request.low_priority = request.over_quota || request.objective <= now || is_storm_retry;
}

bool RequestIntake::JoinOriginalOrReject(const Arrival& arrival, OpenRequest& request, bool is_shared_read,
                                         std::span<const Event> batch) {
  // Waiting reads do not count towards the queue limit, so reads of one subject could otherwise fill the
  // memory.
  if (is_shared_read && (parts_.stall.is_stalled() || parts_.totals.IsQueueMemoryFull())) {
    parts_.admission.RejectRequest(arrival.id, request);
    return true;
  }
  return parts_.idempotency.Join(arrival, request, batch);
}

}  // namespace hingelink::policy
