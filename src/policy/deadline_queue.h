// When each request in flight has to be looked after next: the time by which it must be answered, or an
// earlier time at which it stops waiting for its upstream call.
#ifndef HINGELINK_POLICY_DEADLINE_QUEUE_H_
#define HINGELINK_POLICY_DEADLINE_QUEUE_H_

#include <optional>
#include <set>
#include <utility>

#include "policy/moving_fraction.h"
#include "policy/open_request.h"

namespace hingelink::policy {

// One entry per request. Not thread-safe. `settings` must outlive the object.
class DeadlineQueue {
 public:
  explicit DeadlineQueue(const Settings& settings) : settings_(settings) {}

  // The time at which the answer to `request` must be emitted: two batches before its deadline.
  double AnswerBy(const OpenRequest& request) const;

  // Schedules `request` for the time `at`, in place of an earlier entry.
  void Schedule(RequestId id, OpenRequest& request, double at);
  void ScheduleAnswer(RequestId id, OpenRequest& request) { Schedule(id, request, AnswerBy(request)); }
  void Cancel(RequestId id, const OpenRequest& request) { entries_.erase({request.scheduled_at, id}); }

  // Removes and returns the first request that is due at `now`.
  std::optional<RequestId> PopExpired(double now);
  // The time of the first entry, or kForever.
  double next() const { return entries_.empty() ? kForever : entries_.begin()->first; }

 private:
  const Settings& settings_;
  std::set<std::pair<double, RequestId>> entries_;  // By time.
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_DEADLINE_QUEUE_H_
