// Member records that changed and are still to be disseminated. They are piggybacked on other messages (SWIM,
// section 4.1).
//
// The queue has at most one entry per member. Entries with fewer transmissions are sent first, and among
// these the entry that was queued first. An entry leaves the queue after a number of transmissions that grows
// with the logarithm of the number of live members.
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

  // Queues the member's record. If it is queued already, its count of transmissions restarts at 0.
  void Enqueue(Member& member);
  void Remove(Member& member);

  // Appends queued records to the message as long as its encoded size stays within `max_bytes`. The record of
  // the member named `receiver` is not appended, but counts as transmitted.
  void AppendRecords(GossipMessage& message, std::size_t max_bytes, const std::string& receiver,
                     std::size_t live_members);

  // The number of transmissions of each entry in a fleet of `live_members`. It is lower while the queue is
  // long: many nodes then disseminate the same changes, and anti-entropy repairs records that were missed.
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
