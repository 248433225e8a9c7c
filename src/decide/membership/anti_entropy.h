// Repairs views that differ (Demers et al. 1987, "Epidemic algorithms for replicated database maintenance").
//
// Every message carries the digest of its sender's view. If it differs from the own one, the node sends the
// digests of its buckets; the peer answers with those that differ and with records out of them, and receives
// the records that it lacks in turn. Each message contains a part of what differs, from a random member on,
// and the exchange is repeated until the views are equal.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_ANTI_ENTROPY_H_
#define HINGELINK_DECIDE_MEMBERSHIP_ANTI_ENTROPY_H_

#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "decide/membership/gossip_message.h"
#include "decide/membership/gossip_sender.h"
#include "decide/membership/local_member.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_options.h"
#include "decide/membership/view_digest.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object.
class AntiEntropy {
 public:
  AntiEntropy(const MembershipOptions& options, const LocalMember& self, const MemberTable& table,
              const ViewDigest& digest, GossipSender& sender)
      : options_(options), self_(self), table_(table), digest_(digest), sender_(sender) {}

  // The node starts now; the first request may be sent at `first_request`.
  void Begin(Milliseconds now, Milliseconds first_request);
  // A request may be sent at once.
  void RequestSync(Milliseconds now) { next_request_ = now; }

  // Sends a request, if a peer's view differs and the request is due.
  void Tick(Milliseconds now);
  // Not set while no view is known to differ.
  [[nodiscard]] std::optional<Milliseconds> NextDeadline() const;

  // Sends the digests of all buckets.
  void SendRequest(const PeerAddress& to);
  // Answers a request: which buckets differ, and records out of them. `receiver`: the sender's name, if it is
  // a known member.
  void OnRequest(const PeerAddress& from, const GossipMessage& request, const std::string& receiver);
  // Answers a response with the records of the differing buckets that it lacks.
  void OnResponse(const PeerAddress& from, const GossipMessage& response, const std::string& receiver);
  // Compares the view digest of any message with the own one. `is_member`: whether the sender is known.
  void OnMessage(Milliseconds now, const PeerAddress& from, const GossipMessage& message, bool is_member);

 private:
  using BucketSet = std::bitset<kDigestBuckets>;

  // Appends records of these buckets, except known ones, while the message stays within its bound together
  // with `reserved_bytes`.
  void AppendRecords(GossipMessage& message, const BucketSet& buckets, std::size_t reserved_bytes,
                     const std::vector<MemberRecord>& known) const;
  // How long to wait before the next request to a peer whose view differs.
  [[nodiscard]] Milliseconds RequestDelay() const;

  const MembershipOptions& options_;
  const LocalMember& self_;
  const MemberTable& table_;
  const ViewDigest& digest_;
  GossipSender& sender_;
  std::optional<PeerAddress> differing_peer_;
  Milliseconds began_at_{0};
  Milliseconds next_request_{0};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_ANTI_ENTROPY_H_
