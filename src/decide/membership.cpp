#include "decide/membership.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "decide/membership_internal.h"

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
  if (record.belief == Belief::kGone) return 0;
  std::uint64_t digest = std::hash<std::string>{}(record.name);
  for (const std::uint64_t part : {record.version.life, static_cast<std::uint64_t>(record.phase)}) {
    digest = Mix(digest ^ part);
  }
  return digest;
}

}  // namespace

const char* MemberPhaseName(MemberPhase phase) {
  static constexpr const char* kNames[] = {"joining", "warming", "serving", "draining", "left"};
  return kNames[static_cast<std::size_t>(phase)];
}

const char* BeliefName(Belief belief) {
  static constexpr const char* kNames[] = {"alive", "suspect", "gone"};
  return kNames[static_cast<std::size_t>(belief)];
}

std::size_t MostBytes(const MemberRecord& record) {
  return kRecordBytes + record.name.size() + record.zone.size() + record.by.size();
}

std::size_t MostBytes(const PeerMessage& message) {
  std::size_t bytes = kMessageBytes + message.subject.size() + kDigestBytes * message.digests.size() +
                      kBucketBytes * message.differing.size();
  for (const MemberRecord& record : message.records) bytes += MostBytes(record);
  for (const Parcel& parcel : message.parcels) bytes += kParcelBytes + parcel.body.size();
  return bytes;
}

Membership::Membership(MembershipOptions options, MemberRecord self, std::vector<PeerAddress> seeds,
                       Draw draw)
    : options_(options), self_(std::move(self)), seeds_(std::move(seeds)), draw_(std::move(draw)) {
  self_.belief = Belief::kAlive;
  self_.by.clear();
  view_ = DigestOf(self_);
  digests_[BucketOf(self_.name)] ^= static_cast<std::uint32_t>(view_);
}

// ---- Time ----

void Membership::Notice(FleetTime now) {
  if (!started_) {
    started_ = true;
    began_ = now;
    // Nodes that start together are not to act together.
    const auto part = [this] { return static_cast<double>(Below(1024)) / 1024; };
    next_probe_ = now + options_.period * part();
    next_gossip_ = now + options_.gossip * part();
    next_compare_ = now + options_.compare * part();
    next_reconnect_ = now;
    next_forget_ = now + kForgetEach;
  } else if (now - last_seen_ > options_.frozen) {
    Thaw(now, now - last_seen_);
  }
  last_seen_ = std::max(last_seen_, now);
}

// It was this node that stood still: nobody else is to be held to what was due meanwhile.
void Membership::Thaw(FleetTime now, FleetTime gap) {
  ++counts_.thaws;
  Say("thawed", self_.name, gap.count());
  probe_.reset();
  helped_.clear();
  Postpone(now + options_.suspicion);
  Health(options_.worst_health);
  doubts_until_ = now + options_.period * kDoubtPeriods;
  next_probe_ = next_gossip_ = next_compare_ = now;
  // It suspects itself first: others did so, most likely, and its word must be newer than theirs.
  Refute(self_.version);
}

MembershipActions Membership::Tick(FleetTime now) {
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

FleetTime Membership::NextDue() const {
  if (!started_) return FleetTime(0);
  FleetTime due = std::min({next_probe_, next_reconnect_, next_forget_, last_seen_ + options_.frozen / 2});
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

void Membership::Count(Belief belief, int step) {
  if (belief == Belief::kAlive) alive_ += static_cast<std::size_t>(step);
  if (belief == Belief::kSuspect) suspects_ += static_cast<std::size_t>(step);
}

// In or out, alike.
void Membership::Fold(const Member& member) {
  const std::uint64_t digest = DigestOf(member.record);
  digests_[BucketOf(member.record.name)] ^= static_cast<std::uint32_t>(digest);
  view_ ^= digest;
}

Membership::Member* Membership::Add(FleetTime now, const MemberRecord& record) {
  if (members_.size() >= options_.most_members) {
    Forget(now);
    if (members_.size() >= options_.most_members) {
      ++counts_.full;
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
  Count(record.belief, 1);
  Fold(member);
  return &member;
}

void Membership::Remove(Member& member) {
  Fold(member);
  Count(member.record.belief, -1);
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

void Membership::SetRecord(FleetTime now, Member& member, const MemberRecord& record) {
  Fold(member);
  Count(member.record.belief, -1);
  if (member.record.belief == Belief::kSuspect && record.belief != Belief::kSuspect) {
    deadlines_.erase({member.due, member.record.name});
    const bool was_held = std::exchange(member.held, false);
    held_ -= was_held ? 1 : 0;
    if (was_held && held_ == 0) Say("heard-again", {}, (now - held_since_).count());
  }
  if (member.record.belief != record.belief) member.since = now;
  member.record = record;
  Count(record.belief, 1);
  Fold(member);
  out_.changed = true;
}

void Membership::Queue(Member& member) {
  if (member.queued) queue_.erase(*member.queued);
  member.queued = QueueKey{0, ++last_queued_};
  queue_.emplace(*member.queued, &member);
}

unsigned Membership::Limit() const {
  const double most = std::ceil(options_.retransmit * std::log(static_cast<double>(size()) + 1));
  // Guards against a start or a heal of hundreds that fills the link for as long as each word is sent on as
  // often as a single one: where there are many words, many nodes tell each, and comparing finds the rest.
  const double crowd = std::max(1.0, static_cast<double>(queue_.size()) / kCrowd);
  return static_cast<unsigned>(std::max(kLeastSent, most / crowd));
}

void Membership::Health(int step) { health_ = std::clamp(health_ + step, 0, options_.worst_health); }

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

void Membership::Adopt(FleetTime now, const MemberRecord& record) {
  if (record.name.empty() || record.name.size() > kMostNameBytes || record.zone.size() > kMostZoneBytes ||
      record.by.size() > kMostNameBytes) {
    return;
  }
  if (record.name == self_.name) return HearOfSelf(now, record);
  Member* member = Find(record.name);
  const bool leaves = record.belief == Belief::kGone || record.phase == MemberPhase::kLeft;
  if (member == nullptr) {
    const auto tombstone = tombstones_.find(record.name);
    // Guards against a word from before its end that comes behind it.
    if (tombstone != tombstones_.end() && record.version <= tombstone->second) {
      ++counts_.stale;
      return;
    }
    // Of one that never was here, there is nobody to drop.
    if (leaves) return;
    MemberRecord fresh = record;
    fresh.belief = Belief::kAlive;
    fresh.by.clear();
    member = Add(now, fresh);
    if (member == nullptr) return;
    out_.changed = true;
    Queue(*member);
    Say("member-joined", record.name);
    if (record.belief == Belief::kSuspect) Suspect(now, *member, record.by);
    return;
  }
  const MemberRecord& known = member->record;
  if (record.version < known.version) {
    ++counts_.stale;
    return;
  }
  if (record.version > known.version) {
    if (record.belief == Belief::kGone && Here(known.belief) && record.phase != MemberPhase::kLeft) {
      // It was alive in between, and then it went: known as alive first, so that the guard is asked.
      MemberRecord fresh = record;
      fresh.belief = Belief::kAlive;
      SetRecord(now, *member, fresh);
      return Drop(now, *member);
    }
    const Belief before = known.belief;
    const bool another_life = record.version.life > known.version.life;
    if (before == Belief::kSuspect) ++counts_.withdrawn;
    MemberRecord fresh = record;
    if (fresh.belief == Belief::kSuspect) {
      fresh.belief = Belief::kAlive;
      fresh.by.clear();
    }
    if (before == Belief::kGone && Here(fresh.belief) && fresh.phase != MemberPhase::kLeft) {
      ++counts_.returned;
      Say("member-returned", record.name, (now - member->since).count());
    } else if (another_life) {
      Say("member-restarted", record.name);
    } else if (before == Belief::kSuspect) {
      Say("suspicion-withdrawn", record.name, (now - member->since).count());
    }
    if (fresh.phase == MemberPhase::kLeft && fresh.belief != Belief::kGone) {
      fresh.belief = Belief::kGone;
      if (Here(before)) Say("member-left", record.name);
    }
    SetRecord(now, *member, fresh);
    Queue(*member);
    if (record.belief == Belief::kSuspect) Suspect(now, *member, record.by);
    return;
  }
  // The same version: only what is worse is news.
  if (record.belief == Belief::kSuspect && Here(known.belief)) Suspect(now, *member, record.by);
  if (record.belief == Belief::kGone && Here(known.belief)) Drop(now, *member);
}

void Membership::HearOfSelf(FleetTime now, const MemberRecord& record) {
  if (record.version.life > self_.version.life) {
    // An earlier life whose clock ran ahead, or another process of this name. Guards against two that raise
    // each other without end.
    if (now - raised_at_ < kRaiseEach) return;
    raised_at_ = now;
    if (++raised_ == kRaisesOfAName) Say("name-taken", self_.name);
    MemberRecord raised = self_;
    raised.version = {record.version.life + 1 + Below(1024), 0};
    SetSelf(raised);
    Say("life-raised", self_.name);
    return;
  }
  const bool accused = record.belief != Belief::kAlive && self_.phase != MemberPhase::kLeft;
  if (record.version.life < self_.version.life || record.version.incarnation < self_.version.incarnation)
    return;
  if (!accused && record.version == self_.version) return;
  ++counts_.refuted;
  if (accused) {
    Say("accused", record.by.empty() ? self_.name : record.by, static_cast<double>(record.belief));
    Health(1);
  }
  Refute(record.version);
}

void Membership::Refute(Version above) {
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
  out_.changed = true;
}

// ---- Suspicion ----

std::vector<Membership::Look> Membership::Others(FleetTime now) const {
  std::vector<Look> looks;
  looks.reserve(order_.size());
  for (const Member* member : order_) {
    looks.push_back(
        {member->record, member->heard.count() < 0 ? FleetTime(-1) : now - member->heard, member->held});
  }
  return looks;
}

}  // namespace hingelink::decide
