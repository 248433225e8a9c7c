// What the membership protocol reports to the log.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_EVENT_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_EVENT_H_

#include <cstdint>
#include <string>

namespace hingelink::decide {

enum class MembershipEventKind : std::uint8_t {
  kMemberJoined,
  kMemberRestarted,     // The same name with a greater process epoch.
  kMemberReturned,      // A dead member is alive. Value: ms since it was declared dead.
  kMemberLeft,          // It announced its end.
  kMemberDead,          // Its suspicion timed out.
  kSuspicionWithdrawn,  // It refuted the suspicion. Value: ms of suspicion.
  kAccused,             // `member` suspects this node. Value: the MemberState that it holds.
  kRemovalsHeld,        // The mass failure guard holds removals. Value: suspects.
  kRemovalsResumed,     // It holds none any more. Value: ms that it did.
  kIsolated,            // This node heard nobody. Value: ms.
  kPaused,              // This process was paused. Value: ms.
  kNameConflict,        // Another process uses this node's name.
  kProcessEpochRaised,  // An earlier process of this name had a greater epoch.
};

// The code in the log, without the prefix of the component.
[[nodiscard]] const char* MembershipEventName(MembershipEventKind kind);

struct MembershipEvent {
  MembershipEventKind kind = MembershipEventKind::kMemberJoined;
  std::string member;  // The name of the member that it is about; may be empty.
  double value = 0;    // Its meaning depends on the kind; 0 if there is none.
  bool operator==(const MembershipEvent&) const = default;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_EVENT_H_
