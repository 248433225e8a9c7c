// The requests that wait for a start: two queues per class, one of normal and one of low priority, each
// ordered by latency objective.
#ifndef HINGELINK_POLICY_START_QUEUE_H_
#define HINGELINK_POLICY_START_QUEUE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "hingelink/server_policy.h"
#include "policy/open_request.h"

namespace hingelink::policy {

// Not thread-safe.
class StartQueue {
 public:
  // One of the queues: of a class, normal or low priority.
  struct Lane {
    std::size_t class_index = 0;
    bool low_priority = false;
    bool operator==(const Lane&) const = default;
  };

  static Lane LaneOf(const OpenRequest& request) { return {request.class_index, request.low_priority}; }

  // Makes room for so many classes; their number never falls.
  void Resize(std::size_t classes) { lanes_.resize(2 * classes); }

  void Push(RequestId id, const OpenRequest& request);
  // Returns false if the request is not queued.
  bool Remove(RequestId id, const OpenRequest& request);

  // All lanes, by class, normal priority first.
  std::size_t lane_count() const { return lanes_.size(); }
  static Lane LaneAt(std::size_t position) { return {position / 2, position % 2 != 0}; }

  bool IsEmpty(Lane lane) const { return Entries(lane).empty(); }
  // Of a lane that is not empty: the request with the earliest and the one with the latest objective.
  RequestId First(Lane lane) const { return Entries(lane).begin()->second; }
  RequestId Last(Lane lane) const { return Entries(lane).rbegin()->second; }
  // The lane whose first request is to start next: normal priority before low, then by objective. Lanes of
  // classes for which `is_blocked(class_index)` holds are passed over.
  template <typename Predicate>
  std::optional<Lane> NextLane(const Predicate& is_blocked) const {
    std::optional<Lane> next;
    for (std::size_t position = 0; position < lanes_.size(); ++position) {
      const Lane lane = LaneAt(position);
      if (IsEmpty(lane) || is_blocked(lane.class_index)) continue;
      if (!next || StartsBefore(lane, *next)) next = lane;
    }
    return next;
  }

 private:
  using Entry = std::pair<double, RequestId>;  // Objective and request.
  using EntrySet = std::set<Entry>;

  static std::size_t PositionOf(Lane lane) { return 2 * lane.class_index + (lane.low_priority ? 1 : 0); }
  const EntrySet& Entries(Lane lane) const { return lanes_[PositionOf(lane)]; }

  // Whether the first request of `left` starts before that of `right`; neither is empty.
  bool StartsBefore(Lane left, Lane right) const;

  std::vector<EntrySet> lanes_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_START_QUEUE_H_
