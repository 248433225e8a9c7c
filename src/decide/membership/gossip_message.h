// The messages between the members of a fleet, and upper bounds of their encoded size.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_MESSAGE_H_
#define HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "decide/membership/member.h"

namespace hingelink::decide {

// Application data that is piggybacked on a message (gossip_topic.h).
struct Payload {
  std::uint8_t topic = 0;  // GossipTopic::id().
  std::string body;
  bool operator==(const Payload&) const = default;
};

// The kinds have these values on the wire.
enum class GossipMessageKind : std::uint8_t {
  kPing,          // Asks `target` for a kAck.
  kAck,           // `target` is alive. Sent by the target, or by the helper of an indirect probe.
  kIndirectPing,  // Asks a helper to ping `target` at `target_address`.
  kNack,          // From a helper: the target has not answered the helper's ping so far.
  kGossip,        // Carries records and payloads only.
  kSyncRequest,   // Anti-entropy: carries the digests of the sender's buckets.
  kSyncResponse,  // Anti-entropy: carries the indices of the differing buckets and records in these buckets.
};

// Number of buckets into which members are hashed for anti-entropy.
inline constexpr std::size_t kDigestBuckets = 128;

struct GossipMessage {
  GossipMessageKind kind = GossipMessageKind::kGossip;
  std::uint32_t sequence_number = 0;            // An answer repeats the sequence number of its request.
  std::string target;                           // The name of the probed member.
  PeerAddress target_address;                   // kIndirectPing only.
  std::uint64_t view_digest = 0;                // The digest of the sender's view (view_digest.h).
  std::vector<std::uint32_t> bucket_digests;    // kSyncRequest: one digest per bucket.
  std::vector<std::uint8_t> differing_buckets;  // kSyncResponse: indices of buckets.
  std::vector<MemberRecord> records;            // The first record is the sender's own.
  std::vector<Payload> payloads;
  bool operator==(const GossipMessage&) const = default;
};

// Upper bound of the encoded size of a record whose strings are empty.
inline constexpr std::size_t kRecordOverheadBytes = 40;
// Upper bound of the encoded size of an entry of GossipMessage::differing_buckets.
inline constexpr std::size_t kDifferingBucketBytes = 2;

// Upper bounds of the encoded size in bytes. The encoder (fleet/codec.h) never exceeds them.
[[nodiscard]] std::size_t MaxEncodedSize(const MemberRecord& record);
[[nodiscard]] std::size_t MaxEncodedSize(const GossipMessage& message);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_MESSAGE_H_
