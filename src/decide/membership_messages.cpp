// Membership: what is sent to other nodes, and what follows from what they say.
#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "decide/membership_internal.h"

namespace hingelink::decide {

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

}  // namespace hingelink::decide
