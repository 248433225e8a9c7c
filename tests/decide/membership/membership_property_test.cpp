// Checks the invariants of one node's membership protocol under random messages and delays.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "membership_node.h"

namespace hingelink::decide {
namespace {

MemberRecord RandomRecord() {
  const auto name = *rc::gen::element<std::string>("a", "b", "c", "d", "e", "f", "g", "h", "self");
  MemberRecord record = MakeRecord(name, *rc::gen::inRange<std::uint64_t>(99, 103), *rc::gen::inRange(0U, 4U),
                                   static_cast<MemberState>(*rc::gen::inRange(0, 3)));
  record.phase = static_cast<MemberPhase>(*rc::gen::inRange(0, 5));
  if (record.state == MemberState::kSuspect) {
    record.accuser = *rc::gen::element<std::string>("a", "b", "c", "self");
  }
  return record;
}

GossipMessage RandomMessage() {
  GossipMessage message;
  message.records.resize(*rc::gen::inRange<std::size_t>(1, 5));
  for (MemberRecord& record : message.records) record = RandomRecord();
  message.kind = static_cast<GossipMessageKind>(*rc::gen::inRange(0, 7));
  message.target = *rc::gen::element<std::string>("a", "b", "self", "");
  message.view_digest = *rc::gen::arbitrary<std::uint64_t>();
  if (message.kind == GossipMessageKind::kSyncRequest) {
    message.bucket_digests.assign(kDigestBuckets, *rc::gen::arbitrary<std::uint32_t>());
  }
  return message;
}

void CheckMessages(const MembershipActions& actions, const MembershipOptions& options) {
  for (const OutgoingMessage& outgoing : actions.messages) {
    RC_ASSERT(MaxEncodedSize(outgoing.message) <= options.max_message_bytes);
    RC_ASSERT(outgoing.message.records.front().name == "self");
  }
}

// The version and state of a member that the node reported last.
struct LastReported {
  MemberVersion version;
  bool is_dead = false;
};

// Checks that no version decreases, and that a dead member is alive again only with a greater version.
void CheckMembers(const Membership& membership, Milliseconds now,
                  std::map<std::string, LastReported>& last_reported) {
  for (const MemberView& view : membership.Members(now)) {
    const MemberRecord& record = view.record;
    LastReported& previous = last_reported[record.name];
    RC_ASSERT(record.version >= previous.version);
    const bool is_dead = record.state == MemberState::kDead;
    if (previous.is_dead && record.version == previous.version) RC_ASSERT(is_dead);
    previous = {record.version, is_dead};
  }
}

RC_GTEST_PROP(Membership, KeepsInvariantsUnderRandomMessages, ()) {
  MembershipOptions options;
  options.max_members = 6;
  MembershipNode node(options);
  Membership& membership = node.membership;
  std::map<std::string, LastReported> last_reported;
  MemberVersion last_version = membership.self().version;
  double now = 0;
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) {
    now += *rc::gen::element(0, 1, 40, 300, 900, 4'000);
    CheckMessages(membership.OnMessage(Milliseconds(now), {9, 9}, RandomMessage()), options);
    CheckMessages(membership.Tick(Milliseconds(now + 1)), options);
    RC_ASSERT(membership.self().version >= last_version);
    last_version = membership.self().version;
    RC_ASSERT(membership.live_members() <= options.max_members + 1);
    RC_ASSERT(membership.queued_broadcasts() <= options.max_members);
    CheckMembers(membership, Milliseconds(now), last_reported);
  }
}

}  // namespace
}  // namespace hingelink::decide
