// Synchronizes the views of two nodes (Demers et al. 1987, "Epidemic algorithms for replicated database
// maintenance").
//
// Every message carries the digest of its sender's view. If that digest differs from the digest of this
// node's own view, this node sends the digests of its buckets in a sync request. The peer responds with the
// indices of the differing buckets and with its records in these buckets. This node then sends the peer its
// own records in these buckets, except those that the response contained. A message has room for some of the
// records only; they are chosen beginning at a random member, and the exchange is repeated until the view
// digests are equal.
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

// Decides when to synchronize with which peer, and composes and answers the sync messages. Not thread-safe.
// All references must outlive the object.
class AntiEntropy {
 public:
  AntiEntropy(const MembershipOptions& options, const LocalMember& self, const MemberTable& table,
              const ViewDigest& digest, GossipSender& sender)
      : options_(options), self_(self), table_(table), digest_(digest), sender_(sender) {}

  // Starts the bootstrap period now. No request is sent before `first_request`.
  void Begin(Milliseconds now, Milliseconds first_request);
  // Makes the next request due now. It is sent only if a peer is known whose view differs.
  void RequestSync(Milliseconds now) { next_request_ = now; }

  // Sends a sync request if a peer is known whose view differs and the request is due.
  void Tick(Milliseconds now);
  // The time at which the next request is due, or none if no peer is known whose view differs.
  [[nodiscard]] std::optional<Milliseconds> NextDeadline() const;

  // Sends a sync request with the digests of all buckets.
  void SendRequest(const PeerAddress& to);
  // Answers a sync request with the indices of the differing buckets and with records in these buckets.
  // `receiver`: the name of the peer at `from`; empty if it is not a known member.
  void OnRequest(const PeerAddress& from, const GossipMessage& request, const std::string& receiver);
  // Answers a sync response with this node's records in the differing buckets, except those in the response.
  // `receiver`: as for OnRequest().
  void OnResponse(const PeerAddress& from, const GossipMessage& response, const std::string& receiver);
  // Compares the view digest of a message of any kind with the digest of this node's view, and schedules a
  // sync request if they differ. `is_member`: whether the sender is in the member table.
  void OnMessage(Milliseconds now, const PeerAddress& from, const GossipMessage& message, bool is_member);

 private:
  using BucketSet = std::bitset<kDigestBuckets>;

  // Appends records in these buckets, except those in `known`, as long as the encoded size of the message
  // plus `reserved_bytes` stays within MembershipOptions::max_message_bytes.
  void AppendRecords(GossipMessage& message, const BucketSet& buckets, std::size_t reserved_bytes,
                     const std::vector<MemberRecord>& known) const;
  // The delay between learning that a peer's view differs and the sync request.
  [[nodiscard]] Milliseconds RequestDelay() const;

  const MembershipOptions& options_;
  const LocalMember& self_;
  const MemberTable& table_;
  const ViewDigest& digest_;
  GossipSender& sender_;
  std::optional<PeerAddress> differing_peer_;  // A peer whose view differs from this node's.
  Milliseconds began_at_{0};
  Milliseconds next_request_{0};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_ANTI_ENTROPY_H_
