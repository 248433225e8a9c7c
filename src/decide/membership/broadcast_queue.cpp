#include "decide/membership/broadcast_queue.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hingelink::decide::membership {
namespace {

// In a queue of up to this many entries, each entry gets the full number of transmissions. In a longer queue
// the number is divided by the ratio of the queue's size to this one.
constexpr double kFullTransmitQueueSize = 64;
// Lower bound of the transmissions of each entry, however long the queue is.
constexpr double kMinTransmissions = 3;

}  // namespace

void BroadcastQueue::Enqueue(Member& member) {
  Remove(member);
  Insert(member, 0);
}

void BroadcastQueue::Remove(Member& member) {
  if (!member.broadcast) return;
  queue_.erase(*member.broadcast);
  member.broadcast.reset();
}

void BroadcastQueue::Insert(Member& member, unsigned transmissions) {
  member.broadcast = BroadcastPosition{transmissions, ++last_number_};
  queue_.emplace(*member.broadcast, &member);
}

void BroadcastQueue::AppendRecords(GossipMessage& message, std::size_t max_bytes, const std::string& receiver,
                                   std::size_t live_members) {
  const unsigned limit = TransmitLimit(live_members);
  std::size_t bytes = MaxEncodedSize(message);
  std::vector<Member*> sent;
  for (const auto& [position, member] : queue_) {
    if (bytes + kRecordOverheadBytes > max_bytes) break;
    const std::size_t record_bytes = MaxEncodedSize(member->record);
    if (bytes + record_bytes > max_bytes) continue;
    if (member->record.name != receiver) {
      bytes += record_bytes;
      message.records.push_back(member->record);
    }
    sent.push_back(member);
  }
  for (Member* member : sent) {
    const unsigned transmissions = member->broadcast->first + 1;
    Remove(*member);
    if (transmissions < limit) Insert(*member, transmissions);
  }
}

unsigned BroadcastQueue::TransmitLimit(std::size_t live_members) const {
  const double full = std::ceil(retransmit_factor_ * std::log(static_cast<double>(live_members) + 1));
  const double overload = std::max(1.0, static_cast<double>(queue_.size()) / kFullTransmitQueueSize);
  return static_cast<unsigned>(std::max(kMinTransmissions, full / overload));
}

}  // namespace hingelink::decide::membership
