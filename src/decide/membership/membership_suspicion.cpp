// Membership: how long a member is suspected, when it counts as gone, and when it is forgotten.
#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "decide/membership/membership_internal.h"

namespace hingelink::decide {

// From the longest towards the shortest with each further accuser, as in Lifeguard.
Milliseconds Membership::Patience(const Member& member) const {
  const double most = options_.max_suspicion_factor;
  const double others = static_cast<double>(member.accusers.size()) - 1;
  const double needed = static_cast<double>(
      std::min(options_.suspicion_confirmations, live_members() > 3 ? live_members() - 3 : 0));
  const double part = needed <= 0 ? 1 : std::min(1.0, std::log(others + 1) / std::log(needed + 1));
  return options_.min_suspicion_timeout * (most - (most - 1) * part);
}

void Membership::Suspect(Milliseconds now, Member& member, const std::string& by) {
  const bool fresh = member.record.state != MemberState::kSuspect;
  if (fresh) {
    ++counters_.suspicions;
    member.not_before = Milliseconds(0);
    member.asked = false;
    MemberRecord record = member.record;
    record.state = MemberState::kSuspect;
    record.accuser = by;
    SetRecord(now, member, record);
    member.accusers = {by};
    Queue(member);
    if (by == self_.name) {
      // It is to hear of it first, and the others soon.
      next_gossip_ = std::min(next_gossip_, now);
      Send(member.record.address, Compose(GossipMessageKind::kGossip, 0), member.record.name);
    }
  } else {
    if (member.held || member.accusers.size() > options_.suspicion_confirmations ||
        std::find(member.accusers.begin(), member.accusers.end(), by) != member.accusers.end()) {
      return;
    }
    member.accusers.push_back(by);
    member.record.accuser = by;
    Queue(member);
  }
  SetDeadline(member, member.since + Patience(member), !member.asked);
}

void Membership::Heard(Milliseconds now, Member& member) {
  if (!heard_.empty() && now - heard_.front().first > options_.isolation_threshold) {
    // It was this node that heard nothing: those that it suspects are to have the time to say that they live.
    Report(MembershipEventKind::kIsolated, self_.name, (now - heard_.front().first).count());
    Postpone(now + options_.min_suspicion_timeout);
    Refute(self_.version);
  }
  member.heard = now;
  std::erase_if(heard_, [&](const auto& entry) { return entry.second == member.record.name; });
  heard_.insert(heard_.begin(), {now, member.record.name});
  if (heard_.size() > options_.min_recently_heard + 1) heard_.pop_back();
}

void Membership::SetDeadline(Member& member, Milliseconds deadline, bool ask) {
  deadlines_.erase({member.due, member.record.name});
  member.deadline = std::max(deadline, member.not_before);
  member.asked = !ask;
  member.due = ask ? member.deadline - options_.final_probe_lead : member.deadline;
  deadlines_.emplace(member.due, member.record.name);
}

// No suspicion ends before.
void Membership::Postpone(Milliseconds until) {
  std::vector<Member*> all;
  for (const auto& [due, name] : deadlines_) all.push_back(Find(name));
  for (Member* member : all) {
    member->not_before = std::max(member->not_before, until);
    SetDeadline(*member, member->deadline, true);
  }
}

// Guards against a cut, on this side or on that, which looks as if many others had ended.
bool Membership::MayGo(Milliseconds now, const Member& member) const {
  const std::size_t wanted = std::min(options_.min_recently_heard, live_members() - 2);
  std::size_t heard = 0;
  for (const auto& [at, name] : heard_) heard += at > member.since && name != member.record.name ? 1 : 0;
  if (heard < wanted) return false;
  // What one lost peer is of a small fleet says nothing about the link of this node.
  const std::size_t silent = suspects_ + dropped_.size();
  const double known = static_cast<double>(1 + alive_ + suspects_ + dropped_.size());
  const bool many = silent >= 2 && static_cast<double>(silent) > options_.mass_failure_fraction * known;
  // Held for long while others are heard: it is they who are gone.
  return !many || (held_ > 0 && now - held_since_ > options_.max_removal_hold);
}

void Membership::Hold(Milliseconds now, Member& member, Milliseconds until, bool ask) {
  // Guards against a look that comes again at the same moment, without end: a sum of times may round to now.
  until = std::max(until, now + kLeastHold);
  SetDeadline(member, until, ask);
}

void Membership::Drop(Milliseconds now, Member& member) {
  while (!dropped_.empty() && now - dropped_.front() > options_.mass_failure_window) dropped_.pop_front();
  if (member.record.state == MemberState::kAlive) {
    // By others' word. It goes through the same gate.
    Suspect(now, member, self_.name);
  }
  if (!MayGo(now, member)) {
    if (held_ == 0) {
      held_since_ = now;
      Report(MembershipEventKind::kRemovalsHeld, {}, static_cast<double>(suspects_));
    }
    held_last_ = now;
    SetHeld(member, true);
    return Hold(now, member, now + kLookAgain, false);
  }
  if (now - held_last_ < options_.min_suspicion_timeout && now - held_since_ <= options_.max_removal_hold) {
    // The many are being heard again, and this one is to have the time for it, too.
    if (member.held) {
      SetHeld(member, false);
      if (held_ == 0) Report(MembershipEventKind::kRemovalsResumed, {}, (now - held_since_).count());
    }
    return Hold(now, member, held_last_ + options_.min_suspicion_timeout, true);
  }
  MemberRecord record = member.record;
  record.state = MemberState::kDead;
  record.accuser.clear();
  SetRecord(now, member, record);
  dropped_.push_back(now);
  ++counters_.removed;
  Queue(member);
  Report(MembershipEventKind::kMemberDead, record.name);
}

void Membership::TickSuspicions(Milliseconds now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    Member& member = *Find(deadlines_.begin()->second);
    if (!member.asked) {
      // It may have refuted long ago, with the word lost on the way here. Whoever can answers this one.
      SetDeadline(member, member.deadline, false);
      GossipMessage ping = Compose(GossipMessageKind::kPing, ++last_number_);
      ping.target = member.record.name;
      Send(member.record.address, std::move(ping), member.record.name);
    } else {
      Drop(now, member);
    }
  }
}

void Membership::Forget(Milliseconds now) {
  next_forget_ = now + kForgetEach;
  const bool full = members_.size() >= options_.max_members;
  std::vector<Member*> old;
  for (Member* member : order_) {
    if (!Here(member->record.state) && (now - member->since > options_.dead_member_retention))
      old.push_back(member);
  }
  if (full && old.empty()) {
    // Room for those that are here: the one that is gone for longest makes it.
    Member* oldest = nullptr;
    for (Member* member : order_) {
      if (!Here(member->record.state) && (oldest == nullptr || member->since < oldest->since))
        oldest = member;
    }
    if (oldest != nullptr) old.push_back(oldest);
  }
  for (Member* member : old) {
    if (tombstones_.insert_or_assign(member->record.name, member->record.version).second) {
      tombstone_order_.push_back(member->record.name);
    }
    Remove(*member);
  }
  while (tombstone_order_.size() > 2 * options_.max_members) {
    tombstones_.erase(tombstone_order_.front());
    tombstone_order_.pop_front();
  }
}

// ---- Messages ----

}  // namespace hingelink::decide
