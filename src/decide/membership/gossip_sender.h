// Composes the messages of this node and piggybacks queued broadcasts on them.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_SENDER_H_
#define HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "decide/membership/broadcast_queue.h"
#include "decide/membership/gossip_message.h"
#include "decide/membership/local_member.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_actions.h"
#include "decide/membership/view_digest.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object.
class GossipSender {
 public:
  // `max_message_bytes`: MembershipOptions::max_message_bytes.
  GossipSender(std::size_t max_message_bytes, const LocalMember& self, const ViewDigest& digest,
               const MemberTable& table, BroadcastQueue& broadcasts, ActionSink& actions)
      : max_message_bytes_(max_message_bytes),
        self_(self),
        digest_(digest),
        table_(table),
        broadcasts_(broadcasts),
        actions_(actions) {}

  // Returns a message with this node's own record and view digest.
  [[nodiscard]] GossipMessage Compose(GossipMessageKind kind, std::uint32_t sequence_number) const;
  // Appends queued broadcasts to the message and sends it. `receiver`: the name of the member at `to`; empty
  // if unknown. If this node's view lists the receiver as suspect or dead, that record is appended before the
  // broadcasts, so that the receiver can refute it.
  void Send(const PeerAddress& to, GossipMessage message, const std::string& receiver = {});
  // Pings the member named `target`. Returns the sequence number of the ping.
  std::uint32_t SendPing(const PeerAddress& to, const std::string& target);

  // Returns a new sequence number for a request of this node.
  [[nodiscard]] std::uint32_t NextSequenceNumber() { return ++last_sequence_number_; }

 private:
  std::size_t max_message_bytes_;
  const LocalMember& self_;
  const ViewDigest& digest_;
  const MemberTable& table_;
  BroadcastQueue& broadcasts_;
  ActionSink& actions_;
  std::uint32_t last_sequence_number_ = 0;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_SENDER_H_
