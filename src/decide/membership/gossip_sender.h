// Composes the messages of this node and piggybacks records on them.
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

  // A message with this node's own record and view digest.
  [[nodiscard]] GossipMessage Compose(GossipMessageKind kind, std::uint32_t sequence_number) const;
  // Fills the message with records and sends it. `receiver`: the member at that address, if known; if it is
  // not alive in this node's view, its own record goes first, so that it can refute that.
  void Send(const PeerAddress& to, GossipMessage message, const std::string& receiver = {});
  // Sends a ping that this member answers. Returns the ping's sequence number.
  std::uint32_t SendPing(const PeerAddress& to, const std::string& target);

  // For a request of this node.
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
