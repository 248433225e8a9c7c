// Probes that this node performs as a helper of other nodes (SWIM, section 3.1; nacks as in Lifeguard's
// LHA-Probe).
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

// Holds at most MembershipOptions::max_indirect_probes probes and ignores further requests. Not thread-safe.
// All references must outlive the object.
class IndirectProbes {
 public:
  IndirectProbes(const MembershipOptions& options, GossipSender& sender)
      : options_(options), sender_(sender) {}

  // Handles a kIndirectPing: pings the target for `requester`.
  void OnRequest(Milliseconds now, const PeerAddress& requester, const GossipMessage& request);
  // Forwards the ack of a probed member to the requester.
  void OnAck(const GossipMessage& ack);

  // Sends the nacks that are due, and drops probes that are older than MembershipOptions::probe_interval.
  void Tick(Milliseconds now);
  [[nodiscard]] std::optional<Milliseconds> NextDeadline() const;
  void Clear() { probes_.clear(); }

 private:
  struct IndirectProbe {
    std::uint32_t sequence_number = 0;  // The sequence number of this node's ping to the target.
    std::string target;
    PeerAddress requester;
    std::uint32_t request_sequence_number = 0;  // The sequence number of the requester's kIndirectPing.
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
