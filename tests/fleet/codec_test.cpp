// The wire format of gossip messages: round trips, the size bound, and corrupted bytes.
#include "fleet/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hingelink::fleet {
namespace {

using decide::GossipMessage;
using decide::MemberRecord;

std::string AnyText(std::size_t max_bytes) {
  const auto size = *rc::gen::inRange<std::size_t>(0, max_bytes + 1);
  return *rc::gen::container<std::string>(size, rc::gen::inRange<char>('!', '~'));
}

MemberRecord AnyRecord() {
  MemberRecord record;
  record.name = "n" + AnyText(decide::kMaxNameBytes - 1);
  record.address = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
  record.version = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint32_t>()};
  record.phase = static_cast<decide::MemberPhase>(*rc::gen::inRange(0, 5));
  record.state = static_cast<decide::MemberState>(*rc::gen::inRange(0, 3));
  record.zone = AnyText(decide::kMaxZoneBytes);
  record.weight = *rc::gen::arbitrary<std::uint16_t>();
  record.accuser = AnyText(decide::kMaxNameBytes);
  return record;
}

GossipMessage AnyMessage() {
  GossipMessage message;
  message.kind = static_cast<decide::GossipMessageKind>(*rc::gen::inRange(0, 7));
  message.sequence_number = *rc::gen::arbitrary<std::uint32_t>();
  message.target = AnyText(decide::kMaxNameBytes);
  message.target_address = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
  message.view_digest = *rc::gen::arbitrary<std::uint64_t>();
  if (message.kind == decide::GossipMessageKind::kSyncRequest) {
    message.bucket_digests = *rc::gen::container<std::vector<std::uint32_t>>(
        decide::kDigestBuckets, rc::gen::arbitrary<std::uint32_t>());
  }
  message.differing_buckets = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
  message.records.resize(*rc::gen::inRange<std::size_t>(1, 12));
  for (MemberRecord& record : message.records) record = AnyRecord();
  message.payloads.resize(*rc::gen::inRange<std::size_t>(0, 4));
  for (decide::Payload& payload : message.payloads) {
    payload = {*rc::gen::arbitrary<std::uint8_t>(), AnyText(200)};
  }
  return message;
}

RC_GTEST_PROP(Codec, DecodesEncodedMessagesUnchanged, ()) {
  const GossipMessage message = AnyMessage();
  const auto decoded = Decode(Encode(message));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == message);
}

// Senders fill messages up to this bound, and the transport rejects messages that are too long.
RC_GTEST_PROP(Codec, StaysWithinMaxEncodedSize, ()) {
  const GossipMessage message = AnyMessage();
  RC_ASSERT(Encode(message).size() <= decide::MaxEncodedSize(message));
}

RC_GTEST_PROP(Codec, RejectsValuesOutOfBounds, ()) {
  std::string bytes = Encode(AnyMessage());
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
  }
  const auto decoded = Decode(bytes);
  if (!decoded) return;
  RC_ASSERT(!decoded->records.empty());
  RC_ASSERT(decoded->bucket_digests.size() <= decide::kDigestBuckets);
  for (const MemberRecord& record : decoded->records) {
    RC_ASSERT(record.name.size() <= decide::kMaxNameBytes);
    RC_ASSERT(record.zone.size() <= decide::kMaxZoneBytes);
    RC_ASSERT(static_cast<int>(record.phase) <= 4);
  }
}

}  // namespace
}  // namespace hingelink::fleet
