#include "policy/deadline_queue.h"

namespace hingelink::policy {
namespace {

// The answer is emitted this many batch intervals before the deadline.
constexpr double kBatchesBeforeDeadline = 2;

}  // namespace

double DeadlineQueue::AnswerBy(const OpenRequest& request) const {
  return request.deadline - kBatchesBeforeDeadline * settings_.min_batch_interval_ms;
}

void DeadlineQueue::Schedule(RequestId id, OpenRequest& request, double at) {
  Cancel(id, request);
  request.scheduled_at = at;
  entries_.insert({at, id});
}

std::optional<RequestId> DeadlineQueue::PopExpired(double now) {
  if (entries_.empty() || entries_.begin()->first > now) return std::nullopt;
  const RequestId id = entries_.begin()->second;
  entries_.erase(entries_.begin());
  return id;
}

}  // namespace hingelink::policy
