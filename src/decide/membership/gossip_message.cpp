#include "decide/membership/gossip_message.h"

namespace hingelink::decide {
namespace {

// Upper bounds of the encoded sizes of the parts of fixed size.
constexpr std::size_t kMessageBytes = 40;
constexpr std::size_t kBucketDigestBytes = 5;
constexpr std::size_t kPayloadBytes = 5;

}  // namespace

std::size_t MaxEncodedSize(const MemberRecord& record) {
  return kRecordOverheadBytes + record.name.size() + record.zone.size() + record.accuser.size();
}

std::size_t MaxEncodedSize(const GossipMessage& message) {
  std::size_t bytes = kMessageBytes + message.target.size();
  bytes += kBucketDigestBytes * message.bucket_digests.size();
  bytes += kDifferingBucketBytes * message.differing_buckets.size();
  for (const MemberRecord& record : message.records) bytes += MaxEncodedSize(record);
  for (const Payload& payload : message.payloads) bytes += kPayloadBytes + payload.body.size();
  return bytes;
}

}  // namespace hingelink::decide
