// A member of the fleet, as nodes describe it to each other.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBER_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hingelink::decide {

// An IPv4 address and UDP port, both in host byte order.
struct PeerAddress {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const PeerAddress&) const = default;
};

// What a node says of itself. The values are those on the wire.
enum class MemberPhase : std::uint8_t { kJoining, kWarmingUp, kServing, kDraining, kLeft };
// The state of a member in the view of another node. The values are those on the wire.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead };

// Names in the control protocol and on terminals.
[[nodiscard]] const char* MemberPhaseName(MemberPhase phase);
[[nodiscard]] const char* MemberStateName(MemberState state);

// Whether the member takes part in the protocol as far as is known.
[[nodiscard]] constexpr bool IsLive(MemberState state) { return state != MemberState::kDead; }

// Orders the statements about one member: greater versions replace lesser ones.
struct MemberVersion {
  // One start of the process; later processes of the same name have greater epochs.
  std::uint64_t process_epoch = 0;
  // Within an epoch; only the member itself raises it, to refute a suspicion or to announce a change.
  std::uint32_t incarnation = 0;
  auto operator<=>(const MemberVersion&) const = default;
};

// Longer names and zones are not accepted from other nodes.
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxZoneBytes = 32;

// What is known of a member. It is replicated to all nodes.
struct MemberRecord {
  std::string name;
  PeerAddress address;
  MemberVersion version;
  MemberPhase phase = MemberPhase::kJoining;
  MemberState state = MemberState::kAlive;
  std::string zone;
  std::uint16_t weight = 1;
  std::string accuser;  // The node that suspects it; empty unless the state is kSuspect.
  bool operator==(const MemberRecord&) const = default;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBER_H_
