#include "policy/admission.h"

#include <algorithm>

namespace hingelink::policy {
namespace {

// Largest queue wait, as a fraction of the time that a new request has left until its latency objective.
constexpr double kMaxWaitFraction = 0.38;
// Retry-After as a fraction of the queue wait. With the full wait, several callers would stay away at the
// same time and leave cores idle.
constexpr double kRetryAfterWaitFraction = 0.5;
// Retry-After for a request above its tenant's quota. The value is minimal because a caller applies
// Retry-After to the requests of all its tenants.
constexpr double kRetryAfterOverQuotaMs = 1;

}  // namespace

void Admission::Enqueue(RequestId id, OpenRequest& request) {
  request.state = RequestState::kQueued;
  parts_.queue.Push(id, request);
  parts_.totals.AddQueuedWork(request);
}

void Admission::EnforceQueueLimit(RequestId id) {
  while (OpenRequest* newest = parts_.requests.Find(id)) {
    if (IsWithinLimits(*newest)) return;
    const Lane lane = LeastValuableLane(*newest);
    const RequestId victim_id = lane == StartQueue::LaneOf(*newest) ? id : parts_.queue.Last(lane);
    OpenRequest& victim = parts_.requests.Get(victim_id);
    if (!victim.caller_disconnected)
      parts_.arrivals.CountRejection(victim.over_quota ? parts_.settings.over_quota_weight_fraction : 1);
    RejectRequest(victim_id, victim);
  }
}

bool Admission::IsWithinLimits(const OpenRequest& newest) const {
  if (parts_.totals.IsQueueMemoryFull()) return false;
  const double max_wait_ms = kMaxWaitFraction * std::max(0.0, newest.objective - now_);
  return QueueWaitMs() <= max_wait_ms || parts_.totals.running_with_sibling() < parts_.settings.cores;
}

Admission::Lane Admission::LeastValuableLane(const OpenRequest& newest) const {
  Lane least = StartQueue::LaneOf(newest);
  double least_weight = GoalWeightPerMs(least);
  for (std::size_t position = 0; position < parts_.queue.lane_count(); ++position) {
    const Lane lane = StartQueue::LaneAt(position);
    if (parts_.queue.IsEmpty(lane)) continue;
    const double weight = GoalWeightPerMs(lane);
    if (weight >= least_weight) continue;
    least = lane;
    least_weight = weight;
  }
  return least;
}

double Admission::GoalWeightPerMs(Lane lane) const {
  const double priority_fraction = lane.low_priority ? parts_.settings.over_quota_weight_fraction : 1;
  return parts_.classes.GoalWeightPerMs(lane.class_index) * priority_fraction;
}

double Admission::QueueWaitMs() const {
  return parts_.classes.pace() * parts_.totals.queued_work_with_sibling_ms() / parts_.limiter.limit();
}

void Admission::RejectRequest(RequestId id, OpenRequest& request) {
  const bool was_queued = parts_.queue.Remove(id, request);
  if (!request.caller_disconnected) {
    parts_.actions.Emit(Reject{.id = id,
                               .no_other_server = ShouldAvoidOtherServers(request),
                               .retry_after_ms = RetryAfterMs(request)});
    parts_.classes.CountRejected(request.class_index);
    parts_.totals.ReleaseMemory(request);
    if (was_queued) parts_.totals.RemoveQueuedWork(request);
  }
  CloseUnexecuted(id, request);
}

bool Admission::ShouldAvoidOtherServers(const OpenRequest& request) const {
  if (parts_.drain.is_draining() || parts_.stall.is_stalled()) return false;
  if (request.over_quota || request.objective <= now_) return true;
  // In a retry storm the other servers reject requests too, and forwarded requests would only add load. If
  // only this server is slow, it receives few retries.
  return parts_.busy_gate.is_busy() && (request.is_retry || parts_.arrivals.IsRetryStorm());
}

double Admission::RetryAfterMs(const OpenRequest& request) const {
  if (!parts_.settings.sends_retry_after) return 0;
  const double longest = parts_.settings.max_retry_after_ms;
  if (parts_.drain.is_draining() || parts_.stall.is_stalled()) return longest;
  return std::min(longest,
                  request.over_quota ? kRetryAfterOverQuotaMs : kRetryAfterWaitFraction * QueueWaitMs());
}

void Admission::CloseUnexecuted(RequestId id, const OpenRequest& request) {
  const IdempotencyEntryPtr entry = request.idempotency;
  parts_.requests.Close(id, request);
  parts_.idempotency.OnClosedUnexecuted(id, entry, now_, *this);
}

}  // namespace hingelink::policy
