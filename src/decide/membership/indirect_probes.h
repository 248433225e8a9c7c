// Probes on behalf of other nodes (SWIM, section 3.1; nacks as in Lifeguard's LHA-Probe).
#ifndef HINGELINK_DECIDE_MEMBERSHIP_INDIRECT_PROBES_H_
#define HINGELINK_DECIDE_MEMBERSHIP_INDIRECT_PROBES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "decide/membership/gossip_message.h"
#include "decide/membership/gossip_sender.h"
#include "decide/membership/member.h"
#include "decide/membership/membership_options.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object. Holds at most
// MembershipOptions::max_indirect_probes; further requests are ignored.
class IndirectProbes {
 public:
  IndirectProbes(const MembershipOptions& options, GossipSender& sender)
      : options_(options), sender_(sender) {}

  // Another node asks for a probe of a member.
  void OnRequest(Milliseconds now, const PeerAddress& requester, const GossipMessage& request);
  // A probed member has answered: tells the node that asked.
  void OnAck(const GossipMessage& ack);

  // Sends the nacks that are due, and forgets probes that are too old.
  void Tick(Milliseconds now);
  [[nodiscard]] std::optional<Milliseconds> NextDeadline() const;
  void Clear() { probes_.clear(); }

 private:
  struct IndirectProbe {
    std::uint32_t sequence_number = 0;  // Of this node's ping.
    std::string target;
    PeerAddress requester;
    std::uint32_t request_sequence_number = 0;
    Milliseconds nack_at{0};
    bool is_nacked = false;
    Milliseconds end_at{0};
  };

  const MembershipOptions& options_;
  GossipSender& sender_;
  std::deque<IndirectProbe> probes_;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_INDIRECT_PROBES_H_
