#include "decide/membership/gossip_sender.h"

#include <utility>

namespace hingelink::decide::membership {

GossipMessage GossipSender::Compose(GossipMessageKind kind, std::uint32_t sequence_number) const {
  GossipMessage message;
  message.kind = kind;
  message.sequence_number = sequence_number;
  message.view_digest = digest_.value();
  message.records.push_back(self_.record());
  return message;
}

void GossipSender::Send(const PeerAddress& to, GossipMessage message, const std::string& receiver) {
  const Member* member = receiver.empty() ? nullptr : table_.Find(receiver);
  if (member != nullptr && member->record.state != MemberState::kAlive &&
      MaxEncodedSize(message) + MaxEncodedSize(member->record) <= max_message_bytes_) {
    message.records.push_back(member->record);
  }
  broadcasts_.AppendRecords(message, max_message_bytes_, receiver, table_.live_members());
  actions_.Send(to, std::move(message));
}

std::uint32_t GossipSender::SendPing(const PeerAddress& to, const std::string& target) {
  const std::uint32_t sequence_number = NextSequenceNumber();
  GossipMessage ping = Compose(GossipMessageKind::kPing, sequence_number);
  ping.target = target;
  Send(to, std::move(ping), target);
  return sequence_number;
}

}  // namespace hingelink::decide::membership
