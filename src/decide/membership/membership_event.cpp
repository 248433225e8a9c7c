#include "decide/membership/membership_event.h"

namespace hingelink::decide {

const char* MembershipEventName(MembershipEventKind kind) {
  switch (kind) {
    case MembershipEventKind::kMemberJoined:
      return "member-joined";
    case MembershipEventKind::kMemberRestarted:
      return "member-restarted";
    case MembershipEventKind::kMemberReturned:
      return "member-returned";
    case MembershipEventKind::kMemberLeft:
      return "member-left";
    case MembershipEventKind::kMemberDead:
      return "member-gone";
    case MembershipEventKind::kSuspicionWithdrawn:
      return "suspicion-withdrawn";
    case MembershipEventKind::kAccused:
      return "accused";
    case MembershipEventKind::kRemovalsDeferred:
      return "cut-off";
    case MembershipEventKind::kRemovalsResumed:
      return "heard-again";
    case MembershipEventKind::kIsolated:
      return "deaf";
    case MembershipEventKind::kPaused:
      return "thawed";
    case MembershipEventKind::kNameConflict:
      return "name-taken";
    case MembershipEventKind::kProcessEpochRaised:
      return "life-raised";
  }
  return "";
}

}  // namespace hingelink::decide
