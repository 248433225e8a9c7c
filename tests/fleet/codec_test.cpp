// What members tell each other, as bytes and back; and that nobody's bytes do harm.
#include "fleet/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hingelink::fleet {
namespace {

using decide::MemberRecord;
using decide::PeerMessage;

std::string Text(std::size_t most) {
  const auto size = *rc::gen::inRange<std::size_t>(0, most + 1);
  return *rc::gen::container<std::string>(size, rc::gen::inRange<char>('!', '~'));
}

MemberRecord AnyRecord() {
  MemberRecord r;
  r.name = "n" + Text(decide::kMostNameBytes - 1);
  r.address = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
  r.version = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint32_t>()};
  r.phase = static_cast<decide::MemberPhase>(*rc::gen::inRange(0, 5));
  r.belief = static_cast<decide::Belief>(*rc::gen::inRange(0, 3));
  r.zone = Text(decide::kMostZoneBytes);
  r.weight = *rc::gen::arbitrary<std::uint16_t>();
  r.by = Text(decide::kMostNameBytes);
  return r;
}

PeerMessage AnyMessage() {
  PeerMessage m;
  m.kind = static_cast<decide::MessageKind>(*rc::gen::inRange(0, 7));
  m.number = *rc::gen::arbitrary<std::uint32_t>();
  m.subject = Text(decide::kMostNameBytes);
  m.address = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
  m.view = *rc::gen::arbitrary<std::uint64_t>();
  if (m.kind == decide::MessageKind::kCompare) {
    m.digests = *rc::gen::container<std::vector<std::uint32_t>>(decide::kBuckets,
                                                                rc::gen::arbitrary<std::uint32_t>());
  }
  m.differing = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
  const int records = *rc::gen::inRange(1, 12);
  for (int i = 0; i < records; ++i) m.records.push_back(AnyRecord());
  const int parcels = *rc::gen::inRange(0, 4);
  for (int i = 0; i < parcels; ++i) m.parcels.push_back({*rc::gen::arbitrary<std::uint8_t>(), Text(200)});
  return m;
}

RC_GTEST_PROP(Codec, GivesBackWhatItWasGiven, ()) {
  const PeerMessage message = AnyMessage();
  const auto read = Decode(Encode(message));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == message);
}

// The decisions fill a message by this bound, and the link refuses what is longer.
RC_GTEST_PROP(Codec, IsNeverLongerThanTheDecisionsReckon, ()) {
  const PeerMessage message = AnyMessage();
  RC_ASSERT(Encode(message).size() <= decide::MostBytes(message));
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
  RC_ASSERT(read->digests.size() <= decide::kBuckets);
  for (const MemberRecord& record : read->records) {
    RC_ASSERT(record.name.size() <= decide::kMostNameBytes);
    RC_ASSERT(record.zone.size() <= decide::kMostZoneBytes);
    RC_ASSERT(static_cast<int>(record.phase) <= 4);
  }
}

}  // namespace
}  // namespace hingelink::fleet
