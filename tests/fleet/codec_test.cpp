// What members tell each other, as bytes and back; and that nobody's bytes do harm.
#include "fleet/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hingelink::fleet {
namespace {

using decide::GossipMessage;
using decide::MemberRecord;

std::string Text(std::size_t most) {
  const auto size = *rc::gen::inRange<std::size_t>(0, most + 1);
  return *rc::gen::container<std::string>(size, rc::gen::inRange<char>('!', '~'));
}

MemberRecord AnyRecord() {
  MemberRecord r;
  r.name = "n" + Text(decide::kMaxNameBytes - 1);
  r.address = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
  r.version = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint32_t>()};
  r.phase = static_cast<decide::MemberPhase>(*rc::gen::inRange(0, 5));
  r.state = static_cast<decide::MemberState>(*rc::gen::inRange(0, 3));
  r.zone = Text(decide::kMaxZoneBytes);
  r.weight = *rc::gen::arbitrary<std::uint16_t>();
  r.accuser = Text(decide::kMaxNameBytes);
  return r;
}

GossipMessage AnyMessage() {
  GossipMessage m;
  m.kind = static_cast<decide::GossipMessageKind>(*rc::gen::inRange(0, 7));
  m.sequence_number = *rc::gen::arbitrary<std::uint32_t>();
  m.target = Text(decide::kMaxNameBytes);
  m.target_address = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
  m.view_digest = *rc::gen::arbitrary<std::uint64_t>();
  if (m.kind == decide::GossipMessageKind::kSyncRequest) {
    m.bucket_digests = *rc::gen::container<std::vector<std::uint32_t>>(decide::kDigestBuckets,
                                                                       rc::gen::arbitrary<std::uint32_t>());
  }
  m.differing_buckets = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
  const int records = *rc::gen::inRange(1, 12);
  for (int i = 0; i < records; ++i) m.records.push_back(AnyRecord());
  const int parcels = *rc::gen::inRange(0, 4);
  for (int i = 0; i < parcels; ++i) m.payloads.push_back({*rc::gen::arbitrary<std::uint8_t>(), Text(200)});
  return m;
}

RC_GTEST_PROP(Codec, GivesBackWhatItWasGiven, ()) {
  const GossipMessage message = AnyMessage();
  const auto read = Decode(Encode(message));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == message);
}

// The decisions fill a message by this bound, and the link refuses what is longer.
RC_GTEST_PROP(Codec, IsNeverLongerThanTheDecisionsReckon, ()) {
  const GossipMessage message = AnyMessage();
  RC_ASSERT(Encode(message).size() <= decide::MaxEncodedSize(message));
}

RC_GTEST_PROP(Codec, ReadsNothingOutOfBounds, ()) {
  std::string bytes = Encode(AnyMessage());
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
  }
  const auto read = Decode(bytes);
  if (!read) return;
  RC_ASSERT(!read->records.empty());
  RC_ASSERT(read->bucket_digests.size() <= decide::kDigestBuckets);
  for (const MemberRecord& record : read->records) {
    RC_ASSERT(record.name.size() <= decide::kMaxNameBytes);
    RC_ASSERT(record.zone.size() <= decide::kMaxZoneBytes);
    RC_ASSERT(static_cast<int>(record.phase) <= 4);
  }
}

}  // namespace
}  // namespace hingelink::fleet
