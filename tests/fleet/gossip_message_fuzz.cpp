// Fuzz target of what a datagram under the right key may hold: bytes to a message, and the message to a
// member. With clang: libFuzzer draws the bytes (tests/fuzz.sh peers). In every build: seeds and changes to
// them.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "decide/membership/membership.h"
#include "fleet/codec.h"

namespace {

using namespace hingelink;

decide::MemberRecord Self() {
  decide::MemberRecord self;
  self.name = "n1";
  self.address = {1, 7946};
  self.version.process_epoch = 1000;
  return self;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto message = fleet::Decode({reinterpret_cast<const char*>(data), size});
  if (!message) return 0;
  std::uint64_t drawn = 1;
  decide::MembershipOptions options;
  options.max_members = 16;
  decide::Membership members(options, Self(), {},
                             [&drawn] { return drawn = drawn * 6364136223846793005u + 1; });
  decide::MemberVersion before = members.self().version;
  for (int round = 0; round < 4; ++round) {
    const decide::Milliseconds now(round * 700.0);
    for (const decide::MembershipActions& actions :
         {members.OnMessage(now, {2, 7946}, *message), members.Tick(now + decide::Milliseconds(300))}) {
      for (const decide::OutgoingMessage& send : actions.messages) {
        if (decide::MaxEncodedSize(send.message) > options.max_message_bytes) std::abort();
        if (send.message.records.empty() || send.message.records.front().name != "n1") std::abort();
      }
    }
    if (members.self().version < before || members.live_members() > options.max_members + 1) std::abort();
    if (members.queued_broadcasts() > options.max_members) std::abort();
    before = members.self().version;
  }
  return 0;
}

#ifndef HINGELINK_LIBFUZZER
#include <cstdio>

#include "../fuzz_bytes.h"

int main() {
  decide::GossipMessage message;
  decide::MemberRecord other = Self();
  other.name = "n2";
  message.records = {other};
  other.name = "n3";
  other.state = decide::MemberState::kSuspect;
  other.accuser = "n2";
  message.records.push_back(other);
  other = Self();
  other.state = decide::MemberState::kDead;
  message.records.push_back(other);
  message.payloads = {{1, "budget"}};
  std::vector<std::string> seeds;
  for (const auto kind :
       {decide::GossipMessageKind::kPing, decide::GossipMessageKind::kIndirectPing,
        decide::GossipMessageKind::kSyncRequest, decide::GossipMessageKind::kSyncResponse}) {
    message.kind = kind;
    message.target = kind == decide::GossipMessageKind::kIndirectPing ? "n3" : "n1";
    message.bucket_digests.assign(
        kind == decide::GossipMessageKind::kSyncRequest ? decide::kDigestBuckets : 0, 7);
    message.differing_buckets.assign(kind == decide::GossipMessageKind::kSyncResponse ? 3 : 0, 5);
    seeds.push_back(fleet::Encode(message));
  }
  std::size_t read = 0;
  fuzz::Inputs(seeds, [&](const std::string& bytes) {
    read += fleet::Decode(bytes) ? 1 : 0;
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  });
  std::printf("gossip_message_fuzz: 30000 inputs, %zu of them messages\n", read);
  return read > 1000 ? 0 : 1;
}
#endif
