// Fuzz target of what a datagram under the right key may hold: bytes to a message, and the message to a
// member. With clang: libFuzzer draws the bytes (tests/fuzz.sh peers). In every build: seeds and changes to
// them.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "decide/membership.h"
#include "fleet/codec.h"

namespace {

using namespace hingelink;

decide::MemberRecord Self() {
  decide::MemberRecord self;
  self.name = "n1";
  self.address = {1, 7946};
  self.version.life = 1000;
  return self;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto message = fleet::Decode({reinterpret_cast<const char*>(data), size});
  if (!message) return 0;
  std::uint64_t drawn = 1;
  decide::MembershipOptions options;
  options.most_members = 16;
  decide::Membership members(options, Self(), {},
                             [&drawn] { return drawn = drawn * 6364136223846793005u + 1; });
  decide::Version before = members.self().version;
  for (int round = 0; round < 4; ++round) {
    const decide::FleetTime now(round * 700.0);
    for (const decide::MembershipActions& actions :
         {members.Hear(now, {2, 7946}, *message), members.Tick(now + decide::FleetTime(300))}) {
      for (const decide::SendMessage& send : actions.sends) {
        if (decide::MostBytes(send.message) > options.most_bytes) std::abort();
        if (send.message.records.empty() || send.message.records.front().name != "n1") std::abort();
      }
    }
    if (members.self().version < before || members.size() > options.most_members + 1) std::abort();
    if (members.queued() > options.most_members) std::abort();
    before = members.self().version;
  }
  return 0;
}

#ifndef HINGELINK_LIBFUZZER
#include <cstdio>

#include "../fuzz_bytes.h"

int main() {
  decide::PeerMessage message;
  decide::MemberRecord other = Self();
  other.name = "n2";
  message.records = {other};
  other.name = "n3";
  other.belief = decide::Belief::kSuspect;
  other.by = "n2";
  message.records.push_back(other);
  other = Self();
  other.belief = decide::Belief::kGone;
  message.records.push_back(other);
  message.parcels = {{1, "budget"}};
  std::vector<std::string> seeds;
  for (const auto kind : {decide::MessageKind::kPing, decide::MessageKind::kAskPing,
                          decide::MessageKind::kCompare, decide::MessageKind::kDiffer}) {
    message.kind = kind;
    message.subject = kind == decide::MessageKind::kAskPing ? "n3" : "n1";
    message.digests.assign(kind == decide::MessageKind::kCompare ? decide::kBuckets : 0, 7);
    message.differing.assign(kind == decide::MessageKind::kDiffer ? 3 : 0, 5);
    seeds.push_back(fleet::Encode(message));
  }
  std::size_t read = 0;
  fuzz::Inputs(seeds, [&](const std::string& bytes) {
    read += fleet::Decode(bytes) ? 1 : 0;
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  });
  std::printf("peers_fuzz: 30000 inputs, %zu of them messages\n", read);
  return read > 1000 ? 0 : 1;
}
#endif
