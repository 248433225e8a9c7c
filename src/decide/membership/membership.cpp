#include "decide/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "decide/membership/membership_internal.h"

namespace hingelink::decide {
namespace {

std::uint64_t Mix(std::uint64_t value) {
  // The finalizer of SplitMix64: equal digests mean equal views but for one case in 2^32 a bucket.
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// What two views must agree on: who is here, in which life and phase. Suspicions and the incarnations that
// refute them come and go by themselves, and who has just come knows nothing of those that went before.
std::uint64_t DigestOf(const MemberRecord& record) {
  if (record.state == MemberState::kDead) return 0;
  std::uint64_t digest = std::hash<std::string>{}(record.name);
  for (const std::uint64_t part : {record.version.process_epoch, static_cast<std::uint64_t>(record.phase)}) {
    digest = Mix(digest ^ part);
  }
  return digest;
}

}  // namespace

Membership::Membership(MembershipOptions options, MemberRecord self, std::vector<PeerAddress> seeds,
                       RandomSource draw)
    : options_(options), self_(std::move(self)), seeds_(std::move(seeds)), draw_(std::move(draw)) {
  self_.state = MemberState::kAlive;
  self_.accuser.clear();
  view_ = DigestOf(self_);
  digests_[BucketOf(self_.name)] ^= static_cast<std::uint32_t>(view_);
}

// ---- Time ----

void Membership::Notice(Milliseconds now) {
  if (!started_) {
    started_ = true;
    began_ = now;
    // Nodes that start together are not to act together.
    const auto part = [this] { return static_cast<double>(Below(1024)) / 1024; };
    next_probe_ = now + options_.probe_interval * part();
    next_gossip_ = now + options_.gossip_interval * part();
    next_compare_ = now + options_.sync_interval * part();
    next_reconnect_ = now;
    next_forget_ = now + kForgetEach;
  } else if (now - last_seen_ > options_.pause_threshold) {
    Thaw(now, now - last_seen_);
  }
  last_seen_ = std::max(last_seen_, now);
}

// It was this node that stood still: nobody else is to be held to what was due meanwhile.
void Membership::Thaw(Milliseconds now, Milliseconds gap) {
  ++counters_.pauses;
  Report(MembershipEventKind::kPaused, self_.name, gap.count());
  probe_.reset();
  helped_.clear();
  Postpone(now + options_.min_suspicion_timeout);
  Health(options_.max_local_health);
  doubts_until_ = now + options_.probe_interval * kDoubtPeriods;
  next_probe_ = next_gossip_ = next_compare_ = now;
  // It suspects itself first: others did so, most likely, and its word must be newer than theirs.
  Refute(self_.version);
}

MembershipActions Membership::Tick(Milliseconds now) {
  Notice(now);
  TickHelped(now);
  TickProbe(now);
  TickSuspicions(now);
  TickGossip(now);
  TickCompare(now);
  TickReconnect(now);
  if (now >= next_forget_) Forget(now);
  return TakeOut();
}

Milliseconds Membership::NextDue() const {
  if (!started_) return Milliseconds(0);
  Milliseconds due =
      std::min({next_probe_, next_reconnect_, next_forget_, last_seen_ + options_.pause_threshold / 2});
  if (probe_ && !probe_->answered) due = std::min(due, probe_->asked ? probe_->end_at : probe_->ask_at);
  if (!queue_.empty() || self_left_ > 0) due = std::min(due, next_gossip_);
  if (differs_) due = std::min(due, next_compare_);
  if (!deadlines_.empty()) due = std::min(due, deadlines_.begin()->first);
  for (const Helped& helped : helped_) due = std::min(due, helped.nacked ? helped.end_at : helped.nack_at);
  return due;
}

// ---- The table ----

Membership::Member* Membership::Find(const std::string& name) {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : it->second.get();
}

void Membership::Count(MemberState belief, int step) {
  if (belief == MemberState::kAlive) alive_ += static_cast<std::size_t>(step);
  if (belief == MemberState::kSuspect) suspects_ += static_cast<std::size_t>(step);
}

// In or out, alike.
void Membership::Fold(const Member& member) {
  const std::uint64_t digest = DigestOf(member.record);
  digests_[BucketOf(member.record.name)] ^= static_cast<std::uint32_t>(digest);
  view_ ^= digest;
}

Membership::Member* Membership::Add(Milliseconds now, const MemberRecord& record) {
  if (members_.size() >= options_.max_members) {
    Forget(now);
    if (members_.size() >= options_.max_members) {
      ++counters_.table_full;
      return nullptr;
    }
  }
  auto owned = std::make_unique<Member>();
  Member& member = *owned;
  member.record = record;
  member.since = now;
  member.place = order_.size();
  members_.emplace(record.name, std::move(owned));
  order_.push_back(&member);
  // Into the turn at a random place, or newcomers would wait for its end.
  const std::size_t other = Below(order_.size());
  std::swap(order_[other], order_[member.place]);
  order_[member.place]->place = member.place;
  member.place = other;
  Count(record.state, 1);
  Fold(member);
  return &member;
}

void Membership::Remove(Member& member) {
  Fold(member);
  Count(member.record.state, -1);
  SetHeld(member, false);
  deadlines_.erase({member.due, member.record.name});
  if (member.queued) queue_.erase(*member.queued);
  order_[member.place] = order_.back();
  order_[member.place]->place = member.place;
  order_.pop_back();
  members_.erase(member.record.name);
}

void Membership::SetHeld(Member& member, bool held) {
  if (member.held == held) return;
  member.held = held;
  held_ += held ? 1 : static_cast<std::size_t>(-1);
}

void Membership::SetRecord(Milliseconds now, Member& member, const MemberRecord& record) {
  Fold(member);
  Count(member.record.state, -1);
  if (member.record.state == MemberState::kSuspect && record.state != MemberState::kSuspect) {
    deadlines_.erase({member.due, member.record.name});
    const bool was_held = std::exchange(member.held, false);
    held_ -= was_held ? 1 : 0;
    if (was_held && held_ == 0)
      Report(MembershipEventKind::kRemovalsResumed, {}, (now - held_since_).count());
  }
  if (member.record.state != record.state) member.since = now;
  member.record = record;
  Count(record.state, 1);
  Fold(member);
  out_.view_changed = true;
}

void Membership::Queue(Member& member) {
  if (member.queued) queue_.erase(*member.queued);
  member.queued = QueueKey{0, ++last_queued_};
  queue_.emplace(*member.queued, &member);
}

unsigned Membership::Limit() const {
  const double most =
      std::ceil(options_.retransmit_factor * std::log(static_cast<double>(live_members()) + 1));
  // Guards against a start or a heal of hundreds that fills the link for as long as each word is sent on as
  // often as a single one: where there are many words, many nodes tell each, and comparing finds the rest.
  const double crowd = std::max(1.0, static_cast<double>(queue_.size()) / kCrowd);
  return static_cast<unsigned>(std::max(kLeastSent, most / crowd));
}

void Membership::Health(int step) { health_ = std::clamp(health_ + step, 0, options_.max_local_health); }

Membership::Member* Membership::Any(const std::function<bool(const Member&)>& wanted,
                                    const std::string& but) {
  if (order_.empty()) return nullptr;
  for (int i = 0; i < kDraws; ++i) {
    Member* member = order_[Below(order_.size())];
    if (member->record.name != but && wanted(*member)) return member;
  }
  return nullptr;
}

// ---- What is told ----

void Membership::Adopt(Milliseconds now, const MemberRecord& record) {
  if (record.name.empty() || record.name.size() > kMaxNameBytes || record.zone.size() > kMaxZoneBytes ||
      record.accuser.size() > kMaxNameBytes) {
    return;
  }
  if (record.name == self_.name) return HearOfSelf(now, record);
  Member* member = Find(record.name);
  const bool leaves = record.state == MemberState::kDead || record.phase == MemberPhase::kLeft;
  if (member == nullptr) {
    const auto tombstone = tombstones_.find(record.name);
    // Guards against a word from before its end that comes behind it.
    if (tombstone != tombstones_.end() && record.version <= tombstone->second) {
      ++counters_.stale_records;
      return;
    }
    // Of one that never was here, there is nobody to drop.
    if (leaves) return;
    MemberRecord fresh = record;
    fresh.state = MemberState::kAlive;
    fresh.accuser.clear();
    member = Add(now, fresh);
    if (member == nullptr) return;
    out_.view_changed = true;
    Queue(*member);
    Report(MembershipEventKind::kMemberJoined, record.name);
    if (record.state == MemberState::kSuspect) Suspect(now, *member, record.accuser);
    return;
  }
  const MemberRecord& known = member->record;
  if (record.version < known.version) {
    ++counters_.stale_records;
    return;
  }
  if (record.version > known.version) {
    if (record.state == MemberState::kDead && Here(known.state) && record.phase != MemberPhase::kLeft) {
      // It was alive in between, and then it went: known as alive first, so that the guard is asked.
      MemberRecord fresh = record;
      fresh.state = MemberState::kAlive;
      SetRecord(now, *member, fresh);
      return Drop(now, *member);
    }
    const MemberState before = known.state;
    const bool another_life = record.version.process_epoch > known.version.process_epoch;
    if (before == MemberState::kSuspect) ++counters_.withdrawn_suspicions;
    MemberRecord fresh = record;
    if (fresh.state == MemberState::kSuspect) {
      fresh.state = MemberState::kAlive;
      fresh.accuser.clear();
    }
    if (before == MemberState::kDead && Here(fresh.state) && fresh.phase != MemberPhase::kLeft) {
      ++counters_.returned;
      Report(MembershipEventKind::kMemberReturned, record.name, (now - member->since).count());
    } else if (another_life) {
      Report(MembershipEventKind::kMemberRestarted, record.name);
    } else if (before == MemberState::kSuspect) {
      Report(MembershipEventKind::kSuspicionWithdrawn, record.name, (now - member->since).count());
    }
    if (fresh.phase == MemberPhase::kLeft && fresh.state != MemberState::kDead) {
      fresh.state = MemberState::kDead;
      if (Here(before)) Report(MembershipEventKind::kMemberLeft, record.name);
    }
    SetRecord(now, *member, fresh);
    Queue(*member);
    if (record.state == MemberState::kSuspect) Suspect(now, *member, record.accuser);
    return;
  }
  // The same version: only what is worse is news.
  if (record.state == MemberState::kSuspect && Here(known.state)) Suspect(now, *member, record.accuser);
  if (record.state == MemberState::kDead && Here(known.state)) Drop(now, *member);
}

void Membership::HearOfSelf(Milliseconds now, const MemberRecord& record) {
  if (record.version.process_epoch > self_.version.process_epoch) {
    // An earlier life whose clock ran ahead, or another process of this name. Guards against two that raise
    // each other without end.
    if (now - raised_at_ < kRaiseEach) return;
    raised_at_ = now;
    if (++raised_ == kRaisesOfAName) Report(MembershipEventKind::kNameConflict, self_.name);
    MemberRecord raised = self_;
    raised.version = {record.version.process_epoch + 1 + Below(1024), 0};
    SetSelf(raised);
    Report(MembershipEventKind::kProcessEpochRaised, self_.name);
    return;
  }
  const bool accused = record.state != MemberState::kAlive && self_.phase != MemberPhase::kLeft;
  if (record.version.process_epoch < self_.version.process_epoch ||
      record.version.incarnation < self_.version.incarnation)
    return;
  if (!accused && record.version == self_.version) return;
  ++counters_.refutations;
  if (accused) {
    Report(MembershipEventKind::kAccused, record.accuser.empty() ? self_.name : record.accuser,
           static_cast<double>(record.state));
    Health(1);
  }
  Refute(record.version);
}

void Membership::Refute(MemberVersion above) {
  MemberRecord fresh = self_;
  fresh.version.incarnation = std::max(above.incarnation, self_.version.incarnation) + 1;
  SetSelf(fresh);
  next_gossip_ = std::min(next_gossip_, last_seen_);
}

void Membership::SetSelf(const MemberRecord& fresh) {
  const std::uint64_t change = DigestOf(self_) ^ DigestOf(fresh);
  view_ ^= change;
  digests_[BucketOf(self_.name)] ^= static_cast<std::uint32_t>(change);
  self_ = fresh;
  self_left_ = Limit();
  out_.view_changed = true;
}

// ---- Suspicion ----

std::vector<MemberView> Membership::Members(Milliseconds now) const {
  std::vector<MemberView> looks;
  looks.reserve(order_.size());
  for (const Member* member : order_) {
    looks.push_back(
        {member->record, member->heard.count() < 0 ? Milliseconds(-1) : now - member->heard, member->held});
  }
  return looks;
}

}  // namespace hingelink::decide
