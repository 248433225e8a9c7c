// The description of a member of the fleet that nodes exchange.
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

// The phase that a node announces in its own record. The phases have these values on the wire.
enum class MemberPhase : std::uint8_t { kJoining, kWarmingUp, kServing, kDraining, kLeft };
// The state of a member in the view of another node. The states have these values on the wire.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead };

// The names in the control protocol and in output on terminals.
[[nodiscard]] const char* MemberPhaseName(MemberPhase phase);
[[nodiscard]] const char* MemberStateName(MemberState state);

// Whether a member in this state still counts as part of the fleet: alive or suspect, but not dead.
[[nodiscard]] constexpr bool IsLive(MemberState state) { return state != MemberState::kDead; }

// The version of a member's record. A record of a greater version replaces one of a lesser version.
struct MemberVersion {
  // Identifies a start of the process. Later processes with the same name have greater epochs.
  std::uint64_t process_epoch = 0;
  // Counts the versions within an epoch. Only the member itself raises it, to refute a suspicion or to
  // announce a new phase.
  std::uint32_t incarnation = 0;
  auto operator<=>(const MemberVersion&) const = default;
};

// Upper bounds for names and zones. Records of other nodes that exceed them are ignored.
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxZoneBytes = 32;

// The description of a member, which is replicated to all nodes.
struct MemberRecord {
  std::string name;
  PeerAddress address;
  MemberVersion version;
  MemberPhase phase = MemberPhase::kJoining;
  MemberState state = MemberState::kAlive;
  std::string zone;
  std::uint16_t weight = 1;
  std::string accuser;  // The name of a node that suspects the member; empty unless the state is kSuspect.
  bool operator==(const MemberRecord&) const = default;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBER_H_
