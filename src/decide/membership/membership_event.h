// The events that the membership protocol reports for the log.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_EVENT_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_EVENT_H_

#include <cstdint>
#include <string>

namespace hingelink::decide {

enum class MembershipEventKind : std::uint8_t {
  kMemberJoined,
  kMemberRestarted,     // A member announced a greater process epoch.
  kMemberReturned,      // A dead member is alive again. Value: milliseconds since it was declared dead.
  kMemberLeft,          // A member announced that it left the fleet.
  kMemberDead,          // The suspicion of a member timed out.
  kSuspicionWithdrawn,  // A member refuted its suspicion. Value: milliseconds since the suspicion began.
  kAccused,             // `member` considers this node suspect or dead. Value: that MemberState.
  kRemovalsDeferred,    // The mass failure guard began to defer removals. Value: number of suspects.
  kRemovalsResumed,     // The guard defers no removal any more. Value: milliseconds since it began to defer.
  kIsolated,            // This node received no messages for a time. Value: its length in milliseconds.
  kPaused,              // This process was paused. Value: milliseconds.
  kNameConflict,        // Another process uses this node's name.
  kProcessEpochRaised,  // This node raised its process epoch above that of another process of its name.
};

// The name of the event in the log, without the prefix for the component.
[[nodiscard]] const char* MembershipEventName(MembershipEventKind kind);

struct MembershipEvent {
  MembershipEventKind kind = MembershipEventKind::kMemberJoined;
  std::string member;  // The name of the member that the event is about; may be empty.
  double value = 0;    // The meaning depends on the kind; 0 for kinds without a value.
  bool operator==(const MembershipEvent&) const = default;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_EVENT_H_
