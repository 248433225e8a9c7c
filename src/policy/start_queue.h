// The requests that wait for a start. Each class has two lanes, one of normal and one of low priority. Each
// lane is ordered by latency objective.
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
  // Identifies the queue of one class and priority.
  struct Lane {
    std::size_t class_index = 0;
    bool low_priority = false;
    bool operator==(const Lane&) const = default;
  };

  static Lane LaneOf(const OpenRequest& request) { return {request.class_index, request.low_priority}; }

  // Sets the number of classes, which must not decrease.
  void Resize(std::size_t classes) { lanes_.resize(2 * classes); }

  void Push(RequestId id, const OpenRequest& request);
  // Returns false if the request is not queued.
  bool Remove(RequestId id, const OpenRequest& request);

  // The lanes have positions from 0 to lane_count() - 1, ordered by class, normal before low priority.
  std::size_t lane_count() const { return lanes_.size(); }
  static Lane LaneAt(std::size_t position) { return {position / 2, position % 2 != 0}; }

  bool IsEmpty(Lane lane) const { return Entries(lane).empty(); }
  // The requests with the earliest and the latest objective of a lane, which must not be empty.
  RequestId First(Lane lane) const { return Entries(lane).begin()->second; }
  RequestId Last(Lane lane) const { return Entries(lane).rbegin()->second; }
  // Calls `visit(id)` for each queued request.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const EntrySet& lane : lanes_) {
      for (const Entry& entry : lane) visit(entry.second);
    }
  }
  // Returns the lane whose first request starts next: normal before low priority, then by earliest objective.
  // Skips the lanes of classes for which `is_blocked(class_index)` returns true. Returns nullopt if no lane
  // is left.
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
  using Entry = std::pair<double, RequestId>;  // Latency objective and request id.
  using EntrySet = std::set<Entry>;

  static std::size_t PositionOf(Lane lane) { return 2 * lane.class_index + (lane.low_priority ? 1 : 0); }
  const EntrySet& Entries(Lane lane) const { return lanes_[PositionOf(lane)]; }

  // Whether the first request of `left` starts before the first request of `right`. Neither lane may be
  // empty.
  bool StartsBefore(Lane left, Lane right) const;

  std::vector<EntrySet> lanes_;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_START_QUEUE_H_
