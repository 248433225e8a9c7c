// The messages between the members of a fleet, and the upper bound of their encoded size.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_MESSAGE_H_
#define HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "decide/membership/member.h"

namespace hingelink::decide {

// Application data that travels with a message (gossip_topic.h).
struct Payload {
  std::uint8_t topic = 0;  // GossipTopic::id().
  std::string body;
  bool operator==(const Payload&) const = default;
};

// The values are those on the wire.
enum class GossipMessageKind : std::uint8_t {
  kPing,          // To `target`: answer with kAck.
  kAck,           // `target` is alive: from itself, or from the helper of an indirect probe.
  kIndirectPing,  // To a helper: ping `target` at `target_address`.
  kNack,          // From a helper: no answer from the target so far.
  kGossip,        // Records and payloads only.
  kSyncRequest,   // Anti-entropy: the digests of the sender's buckets.
  kSyncResponse,  // The buckets whose digests differ, with records out of them.
};

// Buckets into which members are hashed for anti-entropy.
inline constexpr std::size_t kDigestBuckets = 128;

struct GossipMessage {
  GossipMessageKind kind = GossipMessageKind::kGossip;
  std::uint32_t sequence_number = 0;  // An answer has that of its request.
  std::string target;                 // The name of the probed member.
  PeerAddress target_address;
  std::uint64_t view_digest = 0;                // Of all members that the sender knows.
  std::vector<std::uint32_t> bucket_digests;    // kSyncRequest: one a bucket.
  std::vector<std::uint8_t> differing_buckets;  // kSyncResponse: indices.
  std::vector<MemberRecord> records;            // The sender's own first.
  std::vector<Payload> payloads;
  bool operator==(const GossipMessage&) const = default;
};

// Of a record whose texts are empty.
inline constexpr std::size_t kRecordOverheadBytes = 40;
// Of one entry of GossipMessage::differing_buckets.
inline constexpr std::size_t kDifferingBucketBytes = 2;

// Upper bounds of the encoded size in bytes. The codec (fleet/codec.h) never exceeds them.
[[nodiscard]] std::size_t MaxEncodedSize(const MemberRecord& record);
[[nodiscard]] std::size_t MaxEncodedSize(const GossipMessage& message);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_MESSAGE_H_
