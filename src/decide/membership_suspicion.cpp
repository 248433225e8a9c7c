// Membership: how long a member is suspected, when it counts as gone, and when it is forgotten.
#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "decide/membership_internal.h"

namespace hingelink::decide {

// From the longest towards the shortest with each further accuser, as in Lifeguard.
FleetTime Membership::Patience(const Member& member) const {
  const double most = options_.longest_suspicion;
  const double others = static_cast<double>(member.accusers.size()) - 1;
  const double needed = static_cast<double>(std::min(options_.confirmations, size() > 3 ? size() - 3 : 0));
  const double part = needed <= 0 ? 1 : std::min(1.0, std::log(others + 1) / std::log(needed + 1));
  return options_.suspicion * (most - (most - 1) * part);
}

void Membership::Suspect(FleetTime now, Member& member, const std::string& by) {
  const bool fresh = member.record.belief != Belief::kSuspect;
  if (fresh) {
    ++counts_.suspicions;
    member.not_before = FleetTime(0);
    member.asked = false;
    MemberRecord record = member.record;
    record.belief = Belief::kSuspect;
    record.by = by;
    SetRecord(now, member, record);
    member.accusers = {by};
    Queue(member);
    if (by == self_.name) {
      // It is to hear of it first, and the others soon.
      next_gossip_ = std::min(next_gossip_, now);
      Send(member.record.address, Compose(MessageKind::kNews, 0), member.record.name);
    }
  } else {
    if (member.held || member.accusers.size() > options_.confirmations ||
        std::find(member.accusers.begin(), member.accusers.end(), by) != member.accusers.end()) {
      return;
    }
    member.accusers.push_back(by);
    member.record.by = by;
    Queue(member);
  }
  SetDeadline(member, member.since + Patience(member), !member.asked);
}

void Membership::Heard(FleetTime now, Member& member) {
  if (!heard_.empty() && now - heard_.front().first > options_.deaf) {
    // It was this node that heard nothing: those that it suspects are to have the time to say that they live.
    Say("deaf", self_.name, (now - heard_.front().first).count());
    Postpone(now + options_.suspicion);
    Refute(self_.version);
  }
  member.heard = now;
  std::erase_if(heard_, [&](const auto& entry) { return entry.second == member.record.name; });
  heard_.insert(heard_.begin(), {now, member.record.name});
  if (heard_.size() > options_.mass_heard + 1) heard_.pop_back();
}

void Membership::SetDeadline(Member& member, FleetTime deadline, bool ask) {
  deadlines_.erase({member.due, member.record.name});
  member.deadline = std::max(deadline, member.not_before);
  member.asked = !ask;
  member.due = ask ? member.deadline - options_.last_word : member.deadline;
  deadlines_.emplace(member.due, member.record.name);
}

// No suspicion ends before.
void Membership::Postpone(FleetTime until) {
  std::vector<Member*> all;
  for (const auto& [due, name] : deadlines_) all.push_back(Find(name));
  for (Member* member : all) {
    member->not_before = std::max(member->not_before, until);
    SetDeadline(*member, member->deadline, true);
  }
}

// Guards against a cut, on this side or on that, which looks as if many others had ended.
bool Membership::MayGo(FleetTime now, const Member& member) const {
  const std::size_t wanted = std::min(options_.mass_heard, size() - 2);
  std::size_t heard = 0;
  for (const auto& [at, name] : heard_) heard += at > member.since && name != member.record.name ? 1 : 0;
  if (heard < wanted) return false;
  // What one lost peer is of a small fleet says nothing about the link of this node.
  const std::size_t silent = suspects_ + dropped_.size();
  const double known = static_cast<double>(1 + alive_ + suspects_ + dropped_.size());
  const bool many = silent >= 2 && static_cast<double>(silent) > options_.mass_share * known;
  // Held for long while others are heard: it is they who are gone.
  return !many || (held_ > 0 && now - held_since_ > options_.hold_most);
}

void Membership::Hold(FleetTime now, Member& member, FleetTime until, bool ask) {
  // Guards against a look that comes again at the same moment, without end: a sum of times may round to now.
  until = std::max(until, now + kLeastHold);
  SetDeadline(member, until, ask);
}

void Membership::Drop(FleetTime now, Member& member) {
  while (!dropped_.empty() && now - dropped_.front() > options_.mass_window) dropped_.pop_front();
  if (member.record.belief == Belief::kAlive) {
    // By others' word. It goes through the same gate.
    Suspect(now, member, self_.name);
  }
  if (!MayGo(now, member)) {
    if (held_ == 0) {
      held_since_ = now;
      Say("cut-off", {}, static_cast<double>(suspects_));
    }
    held_last_ = now;
    SetHeld(member, true);
    return Hold(now, member, now + kLookAgain, false);
  }
  if (now - held_last_ < options_.suspicion && now - held_since_ <= options_.hold_most) {
    // The many are being heard again, and this one is to have the time for it, too.
    if (member.held) {
      SetHeld(member, false);
      if (held_ == 0) Say("heard-again", {}, (now - held_since_).count());
    }
    return Hold(now, member, held_last_ + options_.suspicion, true);
  }
  MemberRecord record = member.record;
  record.belief = Belief::kGone;
  record.by.clear();
  SetRecord(now, member, record);
  dropped_.push_back(now);
  ++counts_.gone;
  Queue(member);
  Say("member-gone", record.name);
}

void Membership::TickSuspicions(FleetTime now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    Member& member = *Find(deadlines_.begin()->second);
    if (!member.asked) {
      // It may have refuted long ago, with the word lost on the way here. Whoever can answers this one.
      SetDeadline(member, member.deadline, false);
      PeerMessage ping = Compose(MessageKind::kPing, ++last_number_);
      ping.subject = member.record.name;
      Send(member.record.address, std::move(ping), member.record.name);
    } else {
      Drop(now, member);
    }
  }
}

void Membership::Forget(FleetTime now) {
  next_forget_ = now + kForgetEach;
  const bool full = members_.size() >= options_.most_members;
  std::vector<Member*> old;
  for (Member* member : order_) {
    if (!Here(member->record.belief) && (now - member->since > options_.forget)) old.push_back(member);
  }
  if (full && old.empty()) {
    // Room for those that are here: the one that is gone for longest makes it.
    Member* oldest = nullptr;
    for (Member* member : order_) {
      if (!Here(member->record.belief) && (oldest == nullptr || member->since < oldest->since))
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
  while (tombstone_order_.size() > 2 * options_.most_members) {
    tombstones_.erase(tombstone_order_.front());
    tombstone_order_.pop_front();
  }
}

// ---- Messages ----

}  // namespace hingelink::decide
