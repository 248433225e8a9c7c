// Fuzz target: decodes the body of an authentic datagram and passes the message to a member. `tests/fuzz.sh
// peers` runs it with clang's libFuzzer. Without libFuzzer, main() runs random changes of seed messages.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "decide/membership/membership.h"
#include "fleet/codec.h"

namespace {

using hingelink::decide::GossipMessage;
using hingelink::decide::GossipMessageKind;
using hingelink::decide::MemberRecord;
using hingelink::decide::Membership;
using hingelink::decide::MembershipActions;
using hingelink::decide::MembershipOptions;
using hingelink::decide::MemberState;
using hingelink::decide::MemberVersion;
using hingelink::decide::Milliseconds;
using hingelink::fleet::Decode;
using hingelink::fleet::Encode;

MemberRecord Self() {
  MemberRecord self;
  self.name = "n1";
  self.address = {1, 7946};
  self.version.process_epoch = 1000;
  return self;
}

void Check(bool condition) {
  if (!condition) std::abort();
}

void CheckMessages(const MembershipActions& actions, const MembershipOptions& options) {
  for (const auto& outgoing : actions.messages) {
    Check(MaxEncodedSize(outgoing.message) <= options.max_message_bytes);
    Check(!outgoing.message.records.empty() && outgoing.message.records.front().name == "n1");
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto message = Decode({reinterpret_cast<const char*>(data), size});
  if (!message) return 0;
  std::uint64_t random = 1;
  MembershipOptions options;
  options.max_members = 16;
  Membership membership(options, Self(), {},
                        [&random] { return random = random * 6364136223846793005U + 1; });
  MemberVersion previous_version = membership.self().version;
  for (int round = 0; round < 4; ++round) {
    const Milliseconds now(round * 700.0);
    CheckMessages(membership.OnMessage(now, {2, 7946}, *message), options);
    CheckMessages(membership.Tick(now + Milliseconds(300)), options);
    Check(membership.self().version >= previous_version);
    Check(membership.live_members() <= options.max_members + 1);
    Check(membership.queued_broadcasts() <= options.max_members);
    previous_version = membership.self().version;
  }
  return 0;
}

#ifndef HINGELINK_LIBFUZZER
#include <cstdio>
#include <vector>

#include "../fuzz_bytes.h"

namespace {

// Returns records of an alive member, of a suspect member, and of this node, which is declared dead.
std::vector<MemberRecord> SeedRecords() {
  MemberRecord alive = Self();
  alive.name = "n2";
  MemberRecord suspect = Self();
  suspect.name = "n3";
  suspect.state = MemberState::kSuspect;
  suspect.accuser = "n2";
  MemberRecord dead = Self();
  dead.state = MemberState::kDead;
  return {alive, suspect, dead};
}

std::string SeedMessage(GossipMessageKind kind) {
  GossipMessage message;
  message.kind = kind;
  message.target = kind == GossipMessageKind::kIndirectPing ? "n3" : "n1";
  if (kind == GossipMessageKind::kSyncRequest) {
    message.bucket_digests.assign(hingelink::decide::kDigestBuckets, 7);
  }
  if (kind == GossipMessageKind::kSyncResponse) message.differing_buckets.assign(3, 5);
  message.records = SeedRecords();
  message.payloads = {{1, "budget"}};
  return Encode(message);
}

}  // namespace

int main() {
  const std::vector<std::string> seeds = {
      SeedMessage(GossipMessageKind::kPing), SeedMessage(GossipMessageKind::kIndirectPing),
      SeedMessage(GossipMessageKind::kSyncRequest), SeedMessage(GossipMessageKind::kSyncResponse)};
  std::size_t decoded = 0;
  fuzz::Inputs(seeds, [&](const std::string& bytes) {
    decoded += Decode(bytes) ? 1 : 0;
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  });
  std::printf("gossip_message_fuzz: 30000 inputs, %zu of them messages\n", decoded);
  return decoded > 1000 ? 0 : 1;
}
#endif
