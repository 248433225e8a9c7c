#include "decide/membership/member_lifecycle.h"

#include <algorithm>

namespace hingelink::decide::membership {
namespace {

// Interval at which the guard decides again on a deferred removal.
constexpr Milliseconds kDeferredRemovalCheckInterval{500};
// Minimum delay of a rescheduled timer. A timer that is due at once, for example because of rounding, would
// be handled again in the same tick.
constexpr Milliseconds kMinRescheduleDelay{50};

}  // namespace

MemberLifecycle::MemberLifecycle(const MembershipOptions& options, const LocalMember& self,
                                 MemberTable& table, BroadcastQueue& broadcasts, SuspicionTimers& timers,
                                 MassFailureGuard& guard, GossipTimer& gossip_timer, GossipSender& sender,
                                 ActionSink& actions)
    : options_(options),
      self_(self),
      table_(table),
      broadcasts_(broadcasts),
      timers_(timers),
      guard_(guard),
      gossip_timer_(gossip_timer),
      sender_(sender),
      actions_(actions) {}

void MemberLifecycle::Update(Milliseconds now, Member& member, const MemberRecord& record) {
  const bool ends_suspicion =
      member.record.state == MemberState::kSuspect && record.state != MemberState::kSuspect;
  if (ends_suspicion) {
    timers_.Cancel(member);
    if (guard_.EndDeferral(member)) {
      actions_.Report(MembershipEventKind::kRemovalsResumed, {}, guard_.TimeSinceDeferralStart(now).count());
    }
  }
  table_.Update(now, member, record);
  actions_.MarkViewChanged();
}

void MemberLifecycle::Suspect(Milliseconds now, Member& member, const std::string& accuser) {
  if (member.record.state != MemberState::kSuspect) {
    BeginSuspicion(now, member, accuser);
  } else if (!ConfirmSuspicion(member, accuser)) {
    return;
  }
  const Milliseconds timeout = timers_.Timeout(member, table_.live_members());
  timers_.Schedule(member, member.state_since + timeout, !member.suspicion.is_final_probe_done);
}

void MemberLifecycle::BeginSuspicion(Milliseconds now, Member& member, const std::string& accuser) {
  ++actions_.counters().suspicions;
  MemberRecord record = member.record;
  record.state = MemberState::kSuspect;
  record.accuser = accuser;
  Update(now, member, record);
  member.suspicion = {};
  member.suspicion.accusers = {accuser};
  broadcasts_.Enqueue(member);
  if (accuser != self_.name()) return;
  // Notifies the suspect before any other member, so that it can refute the suspicion (Lifeguard's buddy
  // system).
  gossip_timer_.RequestRound(now);
  sender_.Send(member.record.address, sender_.Compose(GossipMessageKind::kGossip, 0), member.record.name);
}

bool MemberLifecycle::ConfirmSuspicion(Member& member, const std::string& accuser) {
  std::vector<std::string>& accusers = member.suspicion.accusers;
  if (member.is_removal_deferred || accusers.size() > options_.suspicion_confirmations) return false;
  if (std::find(accusers.begin(), accusers.end(), accuser) != accusers.end()) return false;
  accusers.push_back(accuser);
  member.record.accuser = accuser;
  broadcasts_.Enqueue(member);
  return true;
}

void MemberLifecycle::DeclareDead(Milliseconds now, Member& member) {
  guard_.ExpireRemovals(now);
  // Another node declared this alive member dead. The guard decides on suspects only, so suspects the member
  // first.
  if (member.record.state == MemberState::kAlive) Suspect(now, member, self_.name());
  switch (guard_.Decide(now, member)) {
    case MassFailureGuard::Verdict::kDefer:
      DeferRemoval(now, member);
      break;
    case MassFailureGuard::Verdict::kGracePeriod:
      AwaitGracePeriodEnd(now, member);
      break;
    case MassFailureGuard::Verdict::kRemove:
      Remove(now, member);
      break;
  }
}

void MemberLifecycle::DeferRemoval(Milliseconds now, Member& member) {
  if (guard_.Defer(now, member)) {
    const auto suspects = static_cast<double>(table_.suspects());
    actions_.Report(MembershipEventKind::kRemovalsDeferred, {}, suspects);
  }
  Reschedule(now, member, now + kDeferredRemovalCheckInterval, false);
}

void MemberLifecycle::AwaitGracePeriodEnd(Milliseconds now, Member& member) {
  if (guard_.EndDeferral(member)) {
    actions_.Report(MembershipEventKind::kRemovalsResumed, {}, guard_.TimeSinceDeferralStart(now).count());
  }
  Reschedule(now, member, guard_.GracePeriodEnd(), true);
}

void MemberLifecycle::Remove(Milliseconds now, Member& member) {
  MemberRecord record = member.record;
  record.state = MemberState::kDead;
  record.accuser.clear();
  Update(now, member, record);
  guard_.OnRemoved(now);
  ++actions_.counters().removed;
  broadcasts_.Enqueue(member);
  actions_.Report(MembershipEventKind::kMemberDead, record.name);
}

void MemberLifecycle::Reschedule(Milliseconds now, Member& member, Milliseconds deadline,
                                 bool with_final_probe) {
  timers_.Schedule(member, std::max(deadline, now + kMinRescheduleDelay), with_final_probe);
}

void MemberLifecycle::Tick(Milliseconds now) {
  while (!timers_.empty() && timers_.next_deadline() <= now) {
    Member& member = timers_.next_member();
    if (member.suspicion.is_final_probe_done) {
      DeclareDead(now, member);
      continue;
    }
    timers_.Schedule(member, member.suspicion.deadline, false);
    sender_.SendPing(member.record.address, member.record.name);
  }
}

}  // namespace hingelink::decide::membership
