#include "decide/membership/member.h"

namespace hingelink::decide {

const char* MemberPhaseName(MemberPhase phase) {
  switch (phase) {
    case MemberPhase::kJoining:
      return "joining";
    case MemberPhase::kWarmingUp:
      return "warming";
    case MemberPhase::kServing:
      return "serving";
    case MemberPhase::kDraining:
      return "draining";
    case MemberPhase::kLeft:
      return "left";
  }
  return "";
}

const char* MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "gone";
  }
  return "";
}

}  // namespace hingelink::decide
