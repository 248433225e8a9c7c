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
      return "member-dead";
    case MembershipEventKind::kSuspicionWithdrawn:
      return "suspicion-withdrawn";
    case MembershipEventKind::kAccused:
      return "suspected-by";
    case MembershipEventKind::kRemovalsDeferred:
      return "removals-deferred";
    case MembershipEventKind::kRemovalsResumed:
      return "removals-resumed";
    case MembershipEventKind::kIsolated:
      return "isolated";
    case MembershipEventKind::kPaused:
      return "process-paused";
    case MembershipEventKind::kNameConflict:
      return "name-conflict";
    case MembershipEventKind::kProcessEpochRaised:
      return "process-epoch-raised";
  }
  return "";
}

}  // namespace hingelink::decide
