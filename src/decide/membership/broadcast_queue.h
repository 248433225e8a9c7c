// Changes of members that are still to be disseminated, piggybacked on other messages (SWIM, section 4.1).
//
// At most one entry a member; those that were sent least often go first, the oldest before younger ones. An
// entry leaves the queue after a number of transmissions that grows with the logarithm of the fleet.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_BROADCAST_QUEUE_H_
#define HINGELINK_DECIDE_MEMBERSHIP_BROADCAST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "decide/membership/gossip_message.h"
#include "decide/membership/member_table.h"

namespace hingelink::decide::membership {

// Not thread-safe. Members must leave the queue before they are destroyed.
class BroadcastQueue {
 public:
  // `retransmit_factor`: MembershipOptions::retransmit_factor.
  explicit BroadcastQueue(double retransmit_factor) : retransmit_factor_(retransmit_factor) {}

  // Puts the member's record into the queue; if it is there, it begins anew.
  void Enqueue(Member& member);
  void Remove(Member& member);

  // Appends records to the message while its encoded size stays within `max_bytes`. The record of
  // `receiver` counts as sent, but is left out.
  void AppendRecords(GossipMessage& message, std::size_t max_bytes, const std::string& receiver,
                     std::size_t live_members);

  // How often each entry is sent in a fleet of so many members. In a long queue each is sent less often, as
  // many nodes disseminate the same changes and anti-entropy repairs what is missed.
  [[nodiscard]] unsigned TransmitLimit(std::size_t live_members) const;

  [[nodiscard]] bool empty() const { return queue_.empty(); }
  [[nodiscard]] std::size_t size() const { return queue_.size(); }

 private:
  void Insert(Member& member, unsigned transmissions);

  double retransmit_factor_;
  std::map<BroadcastPosition, Member*> queue_;
  std::uint64_t last_number_ = 0;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_BROADCAST_QUEUE_H_
