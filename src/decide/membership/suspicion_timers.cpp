#include "decide/membership/suspicion_timers.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hingelink::decide::membership {
namespace {

// Members that cannot confirm a suspicion: this node, the suspect and the first accuser.
constexpr std::size_t kNonConfirmingMembers = 3;

}  // namespace

bool SuspicionTimers::TimerOrder::operator()(const Timer& left, const Timer& right) const {
  if (left.first != right.first) return left.first < right.first;
  return left.second->record.name < right.second->record.name;
}

Milliseconds SuspicionTimers::Timeout(const Member& member, std::size_t live_members) const {
  const std::size_t possible =
      live_members > kNonConfirmingMembers ? live_members - kNonConfirmingMembers : 0;
  const auto required = static_cast<double>(std::min(options_.suspicion_confirmations, possible));
  const double confirmations = static_cast<double>(member.suspicion.accusers.size()) - 1;
  const double progress =
      required <= 0 ? 1 : std::min(1.0, std::log(confirmations + 1) / std::log(required + 1));
  const double longest = options_.max_suspicion_factor;
  return options_.min_suspicion_timeout * (longest - (longest - 1) * progress);
}

void SuspicionTimers::Schedule(Member& member, Milliseconds deadline, bool with_final_probe) {
  Cancel(member);
  Suspicion& suspicion = member.suspicion;
  suspicion.deadline = std::max(deadline, suspicion.earliest_deadline);
  suspicion.is_final_probe_done = !with_final_probe;
  suspicion.timer = with_final_probe ? suspicion.deadline - options_.final_probe_lead : suspicion.deadline;
  timers_.emplace(suspicion.timer, &member);
}

void SuspicionTimers::Cancel(Member& member) { timers_.erase(Timer{member.suspicion.timer, &member}); }

void SuspicionTimers::PostponeAll(Milliseconds earliest) {
  const std::vector<Timer> timers(timers_.begin(), timers_.end());
  for (const auto& [deadline, member] : timers) {
    member->suspicion.earliest_deadline = std::max(member->suspicion.earliest_deadline, earliest);
    Schedule(*member, member->suspicion.deadline, true);
  }
}

}  // namespace hingelink::decide::membership
