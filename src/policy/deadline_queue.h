// The next scheduled time of each request in flight: when the request must be answered, or the earlier time
// at which it must stop waiting for its upstream call.
#ifndef HINGELINK_POLICY_DEADLINE_QUEUE_H_
#define HINGELINK_POLICY_DEADLINE_QUEUE_H_

#include <optional>
#include <set>
#include <utility>

#include "policy/moving_fraction.h"
#include "policy/open_request.h"

namespace hingelink::policy {

// Holds at most one entry per request. Not thread-safe. `settings` must outlive the object.
class DeadlineQueue {
 public:
  explicit DeadlineQueue(const Settings& settings) : settings_(settings) {}

  // The time by which the answer to `request` must be emitted: two batches before its deadline.
  double AnswerBy(const OpenRequest& request) const;

  // Schedules `request` for the time `at` in ms, replacing any previous entry of the request.
  void Schedule(RequestId id, OpenRequest& request, double at);
  void ScheduleAnswer(RequestId id, OpenRequest& request) { Schedule(id, request, AnswerBy(request)); }
  void Cancel(RequestId id, const OpenRequest& request) { entries_.erase({request.scheduled_at, id}); }

  // Removes and returns the first request whose scheduled time is not after `now`, in ms. Returns nullopt if
  // there is none.
  std::optional<RequestId> PopExpired(double now);
  // Calls `visit(at, id)` for each entry, in order of time.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const auto& [at, id] : entries_) visit(at, id);
  }
  // The earliest scheduled time, or kForever if there is no entry.
  double next() const { return entries_.empty() ? kForever : entries_.begin()->first; }

 private:
  const Settings& settings_;
  std::set<std::pair<double, RequestId>> entries_;  // Ordered by scheduled time.
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_DEADLINE_QUEUE_H_
