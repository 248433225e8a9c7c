#include "decide/membership.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace hingelink::decide {
namespace {

// Of the fixed parts of a record and a message on the link (src/fleet/codec.cpp), rounded up.
constexpr std::size_t kRecordBytes = 40, kMessageBytes = 40, kDigestBytes = 5, kBucketBytes = 2,
                      kParcelBytes = 5;
// Draws for a random member before giving up for this time.
constexpr int kDraws = 8;
// Between two looks at a suspicion that the guard against mass change holds.
constexpr FleetTime kLookAgain{500};
constexpr FleetTime kLeastHold{50};
constexpr std::size_t kMuchNews = 20;
// So many others must be known before one that has just come compares with any of them.
constexpr std::size_t kFewKnown = 8;
// A queue of so many words sends each as often as a single one, of twice as many half as often, down to this.
constexpr double kCrowd = 64, kLeastSent = 3;
// A node whose name others keep taking for a greater life raises its own at most so often, and says so then.
constexpr FleetTime kRaiseEach{1'000};
constexpr int kRaisesOfAName = 3;
constexpr FleetTime kForgetEach{5'000};
// Behind a thaw, in periods: what came meanwhile must be read before anybody is accused.
constexpr double kDoubtPeriods = 3;

std::size_t BucketOf(const std::string& name) { return std::hash<std::string>{}(name) % kBuckets; }

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

bool Here(Belief belief) { return belief != Belief::kGone; }

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

PeerMessage Membership::Compose(MessageKind kind, std::uint32_t number) {
  PeerMessage message;
  message.kind = kind;
  message.number = number;
  message.view = view_;
  message.records.push_back(self_);
  return message;
}

// The words that were sent least often, the one on `first` before all: who is suspected must hear of it.
void Membership::Fill(PeerMessage& message, const std::string& first) {
  std::size_t bytes = MostBytes(message);
  const auto add = [&](const MemberRecord& record) {
    bytes += MostBytes(record);
    message.records.push_back(record);
  };
  if (const Member* target = first.empty() ? nullptr : Find(first);
      target != nullptr && target->record.belief != Belief::kAlive &&
      bytes + MostBytes(target->record) <= options_.most_bytes) {
    add(target->record);
  }
  const unsigned limit = Limit();
  std::vector<Member*> told;
  for (const auto& [key, member] : queue_) {
    if (bytes + kRecordBytes > options_.most_bytes) break;
    if (bytes + MostBytes(member->record) > options_.most_bytes) continue;
    if (member->record.name != first) add(member->record);
    told.push_back(member);
  }
  for (Member* member : told) {
    const unsigned sent = member->queued->first + 1;
    queue_.erase(*member->queued);
    member->queued.reset();
    if (sent >= limit) continue;
    member->queued = QueueKey{sent, ++last_queued_};
    queue_.emplace(*member->queued, member);
  }
}

void Membership::Send(PeerAddress to, PeerMessage message, const std::string& first) {
  Fill(message, first);
  out_.sends.push_back({to, std::move(message)});
}

MembershipActions Membership::SetPhase(FleetTime now, MemberPhase phase) {
  Notice(now);
  if (phase == self_.phase) return TakeOut();
  MemberRecord fresh = self_;
  fresh.phase = phase;
  // The version makes it news.
  ++fresh.version.incarnation;
  SetSelf(fresh);
  next_gossip_ = now;
  TickGossip(now);
  return TakeOut();
}

// An answer to this node's own probe, or to one that it made for another.
void Membership::HearAck(const PeerMessage& message) {
  if (probe_ && !probe_->answered && message.number == probe_->number && message.subject == probe_->name) {
    probe_->answered = true;
    Health(-1);
  }
  const auto helped = std::find_if(helped_.begin(), helped_.end(), [&](const Helped& h) {
    return h.number == message.number && h.name == message.subject;
  });
  if (helped != helped_.end() && message.subject == message.records.front().name) {
    PeerMessage ack = Compose(MessageKind::kAck, helped->askers_number);
    ack.subject = message.subject;
    ack.records.push_back(message.records.front());
    Send(helped->asker, std::move(ack));
    helped_.erase(helped);
  }
}

// Probes a member for another node, and tells that node what comes of it.
void Membership::HelpToProbe(FleetTime now, PeerAddress from, const PeerMessage& message) {
  if (helped_.size() < options_.most_helped && !message.subject.empty()) {
    Helped helped;
    helped.number = ++last_number_;
    helped.name = message.subject;
    helped.asker = from;
    helped.askers_number = message.number;
    helped.nack_at = now + options_.answer * 0.8;
    helped.end_at = now + options_.period;
    helped_.push_back(helped);
    PeerMessage ping = Compose(MessageKind::kPing, helped.number);
    ping.subject = message.subject;
    Send(message.address, std::move(ping), message.subject);
  }
}

// Another node's digests: tells which buckets differ, with records of those.
void Membership::AnswerCompare(PeerAddress from, const PeerMessage& message, const std::string& first) {
  PeerMessage differ = Compose(MessageKind::kDiffer, message.number);
  std::size_t bytes = MostBytes(differ) + kBuckets * kBucketBytes;
  std::array<bool, kBuckets> wanted{};
  if (message.digests.size() == kBuckets) {
    for (std::size_t i = 0; i < kBuckets; ++i) {
      wanted[i] = message.digests[i] != digests_[i];
      if (wanted[i]) differ.differing.push_back(static_cast<std::uint8_t>(i));
    }
  }
  // From a random place on: what does not fit this time will be first another time.
  const std::size_t from_place = Below(order_.size());
  for (std::size_t i = 0; i < order_.size(); ++i) {
    const MemberRecord& record = order_[(from_place + i) % order_.size()]->record;
    if (!wanted[BucketOf(record.name)]) continue;
    if (bytes + MostBytes(record) > options_.most_bytes) break;
    bytes += MostBytes(record);
    differ.records.push_back(record);
  }
  Send(from, std::move(differ), first);
}

// The buckets that differ at another node: tells what is known here of them.
void Membership::AnswerDiffer(PeerAddress from, const PeerMessage& message, const std::string& first) {
  std::array<bool, kBuckets> wanted{};
  for (const std::uint8_t bucket : message.differing) wanted[bucket % kBuckets] = true;
  PeerMessage news = Compose(MessageKind::kNews, message.number);
  std::size_t bytes = MostBytes(news);
  const std::size_t from_place = Below(order_.size());
  for (std::size_t i = 0; i < order_.size(); ++i) {
    const MemberRecord& record = order_[(from_place + i) % order_.size()]->record;
    if (!wanted[BucketOf(record.name)]) continue;
    if (bytes + MostBytes(record) > options_.most_bytes) break;
    // What has just come from there is known there.
    if (std::find(message.records.begin(), message.records.end(), record) != message.records.end()) continue;
    bytes += MostBytes(record);
    news.records.push_back(record);
  }
  if (!message.differing.empty()) Send(from, std::move(news), first);
}

MembershipActions Membership::Hear(FleetTime now, PeerAddress from, const PeerMessage& message) {
  Notice(now);
  if (message.records.empty() || message.records.front().name == self_.name) {
    // An echo of this node's own, or another process of its name.
    if (!message.records.empty()) Adopt(now, message.records.front());
    return TakeOut();
  }
  const std::string sender = message.records.front().name;
  for (const MemberRecord& record : message.records) Adopt(now, record);
  Member* member = Find(sender);
  const bool current = member != nullptr && message.records.front().version == member->record.version;
  if (current && Here(member->record.belief)) {
    Heard(now, *member);
  }
  // Who is gone here hears of it, and can say that it is not.
  const std::string first = member != nullptr ? sender : std::string();
  switch (message.kind) {
    case MessageKind::kPing: {
      PeerMessage ack = Compose(MessageKind::kAck, message.number);
      ack.subject = self_.name;
      Send(from, std::move(ack), first);
      break;
    }
    case MessageKind::kAck:
      HearAck(message);
      break;
    case MessageKind::kAskPing:
      HelpToProbe(now, from, message);
      break;
    case MessageKind::kNack:
      if (probe_ && message.number == probe_->number) ++probe_->nacks;
      break;
    case MessageKind::kNews:
      break;
    case MessageKind::kCompare:
      AnswerCompare(from, message, first);
      break;
    case MessageKind::kDiffer:
      AnswerDiffer(from, message, first);
      break;
  }
  if (message.view != view_ && member != nullptr) {
    if (!differs_) {
      differs_ = from;
      // One that has just come asks on and on; the others once in a while.
      const FleetTime rest =
          self_.phase == MemberPhase::kJoining || size() <= 2 ? options_.answer / 4 : options_.compare;
      next_compare_ = std::min(std::max(next_compare_, now), now + rest);
      if (message.kind == MessageKind::kDiffer) next_compare_ = now + rest;
    }
  } else if (differs_ == from) {
    differs_.reset();
  }
  return TakeOut();
}

// ---- What is due ----

void Membership::TickProbe(FleetTime now) {
  if (probe_ && !probe_->answered && !probe_->asked && now >= probe_->ask_at) {
    probe_->asked = true;
    if (const Member* target = Find(probe_->name)) {
      for (std::size_t i = 0; i < options_.helpers; ++i) {
        const Member* helper =
            Any([](const Member& m) { return m.record.belief == Belief::kAlive; }, probe_->name);
        if (helper == nullptr) continue;
        PeerMessage ask = Compose(MessageKind::kAskPing, probe_->number);
        ask.subject = probe_->name;
        ask.address = target->record.address;
        ++probe_->asked_of;
        Send(helper->record.address, std::move(ask));
      }
    }
  }
  if (now < next_probe_) return;
  if (probe_ && !probe_->answered) {
    // Helpers that did not even say no: it may be this node that hears badly.
    Health(probe_->asked_of > probe_->nacks ? static_cast<int>(probe_->asked_of - probe_->nacks)
                                            : (probe_->asked_of == 0 ? 1 : 0));
    Member* target = Find(probe_->name);
    if (target != nullptr && Here(target->record.belief) && now >= doubts_until_) {
      Suspect(now, *target, self_.name);
    }
  }
  probe_.reset();
  // Twice as fast while there are several suspects: whether it is they or this node is to be known in time.
  next_probe_ = now + options_.period * (1 + static_cast<double>(health_) / options_.worst_health) *
                          (suspects_ >= 2 ? 0.5 : 1);
  BeginProbe(now);
}

void Membership::BeginProbe(FleetTime now) {
  for (std::size_t tries = 0; tries < order_.size(); ++tries) {
    if (next_in_order_ >= order_.size()) {
      next_in_order_ = 0;
      for (std::size_t i = order_.size() - 1; i > 0; --i) {
        const std::size_t other = Below(i + 1);
        std::swap(order_[i], order_[other]);
        order_[i]->place = i;
        order_[other]->place = other;
      }
    }
    Member& target = *order_[next_in_order_++];
    if (!Here(target.record.belief)) continue;
    Probe probe;
    probe.name = target.record.name;
    probe.number = ++last_number_;
    probe.ask_at = std::min(now + options_.answer * (health_ + 1), now + (next_probe_ - now) * 0.6);
    probe.end_at = next_probe_;
    probe_ = probe;
    PeerMessage ping = Compose(MessageKind::kPing, probe.number);
    ping.subject = target.record.name;
    Send(target.record.address, std::move(ping), target.record.name);
    return;
  }
}

void Membership::TickHelped(FleetTime now) {
  for (Helped& helped : helped_) {
    if (helped.nacked || now < helped.nack_at) continue;
    helped.nacked = true;
    Send(helped.asker, Compose(MessageKind::kNack, helped.askers_number));
  }
  std::erase_if(helped_, [now](const Helped& helped) { return now >= helped.end_at; });
}

void Membership::TickGossip(FleetTime now) {
  if (now < next_gossip_) return;
  // Twice as often while there is more to tell than a message holds, as behind a cut of many.
  next_gossip_ = now + options_.gossip * (queue_.size() > kMuchNews ? 0.5 : 1);
  if (queue_.empty() && self_left_ == 0) return;
  if (self_left_ > 0) --self_left_;
  for (std::size_t i = 0; i < options_.gossip_to; ++i) {
    const Member* to = Any([](const Member& m) { return Here(m.record.belief); });
    if (to == nullptr) continue;
    Send(to->record.address, Compose(MessageKind::kNews, 0), to->record.name);
  }
}

void Membership::TickCompare(FleetTime now) {
  if (!differs_ || now < next_compare_) return;
  next_compare_ = now + options_.compare;
  PeerMessage compare = Compose(MessageKind::kCompare, ++last_number_);
  compare.digests.assign(digests_.begin(), digests_.end());
  PeerAddress to = *std::exchange(differs_, std::nullopt);
  if (now - began_ < options_.young && alive_ > kFewKnown) {
    // Guards against a start of hundreds that falls on the seeds, which everybody knows first: what these do
    // not get sent any more are answers, too, and they are suspected for it.
    const Member* any = Any([](const Member& m) { return m.record.belief == Belief::kAlive; });
    if (any != nullptr) to = any->record.address;
  }
  Send(to, std::move(compare));
}

void Membership::TickReconnect(FleetTime now) {
  if (now < next_reconnect_) return;
  const bool alone = alive_ == 0;
  // Not all of a fleet at once that starts anew.
  const double spread = 0.75 + static_cast<double>(Below(512)) / 1024;
  next_reconnect_ = now + (held_ > 0 ? options_.reach : alone ? options_.join : options_.reconnect) * spread;
  // Seeds while nobody is heard, and now and then later: two halves that never met know nothing of each
  // other.
  if (!seeds_.empty() && (alone || Below(8) == 0)) {
    PeerMessage compare = Compose(MessageKind::kCompare, ++last_number_);
    compare.digests.assign(digests_.begin(), digests_.end());
    Send(seeds_[Below(seeds_.size())], std::move(compare));
  }
  // One that is gone may be back, with both sides holding the other for gone; and one that is held, at the
  // end of the cut.
  const Member* gone = nullptr;
  const std::size_t from = Below(order_.size());
  for (std::size_t i = 0; i < order_.size() && gone == nullptr; ++i) {
    const Member* member = order_[(from + i) % order_.size()];
    if (held_ > 0 ? member->held : !Here(member->record.belief) && member->record.phase != MemberPhase::kLeft)
      gone = member;
  }
  if (gone == nullptr) return;
  PeerMessage ping = Compose(MessageKind::kPing, ++last_number_);
  ping.subject = gone->record.name;
  Send(gone->record.address, std::move(ping), gone->record.name);
}

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
