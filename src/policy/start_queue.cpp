#include "policy/start_queue.h"

namespace hingelink::policy {

void StartQueue::Push(RequestId id, const OpenRequest& request) {
  lanes_[PositionOf(LaneOf(request))].insert({request.objective, id});
}

bool StartQueue::Remove(RequestId id, const OpenRequest& request) {
  return lanes_[PositionOf(LaneOf(request))].erase({request.objective, id}) > 0;
}

bool StartQueue::StartsBefore(Lane left, Lane right) const {
  if (left.low_priority != right.low_priority) return right.low_priority;
  return *Entries(left).begin() < *Entries(right).begin();
}

}  // namespace hingelink::policy
