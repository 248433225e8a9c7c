// Membership: what is sent to other nodes, and what follows from what they say.
#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "decide/membership/membership_internal.h"

namespace hingelink::decide {

GossipMessage Membership::Compose(GossipMessageKind kind, std::uint32_t number) {
  GossipMessage message;
  message.kind = kind;
  message.sequence_number = number;
  message.view_digest = view_;
  message.records.push_back(self_);
  return message;
}

// The words that were sent least often, the one on `first` before all: who is suspected must hear of it.
void Membership::Fill(GossipMessage& message, const std::string& first) {
  std::size_t bytes = MaxEncodedSize(message);
  const auto add = [&](const MemberRecord& record) {
    bytes += MaxEncodedSize(record);
    message.records.push_back(record);
  };
  if (const Member* target = first.empty() ? nullptr : Find(first);
      target != nullptr && target->record.state != MemberState::kAlive &&
      bytes + MaxEncodedSize(target->record) <= options_.max_message_bytes) {
    add(target->record);
  }
  const unsigned limit = Limit();
  std::vector<Member*> told;
  for (const auto& [key, member] : queue_) {
    if (bytes + kRecordBytes > options_.max_message_bytes) break;
    if (bytes + MaxEncodedSize(member->record) > options_.max_message_bytes) continue;
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

void Membership::Send(PeerAddress to, GossipMessage message, const std::string& first) {
  Fill(message, first);
  out_.messages.push_back({to, std::move(message)});
}

MembershipActions Membership::SetPhase(Milliseconds now, MemberPhase phase) {
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
void Membership::HearAck(const GossipMessage& message) {
  if (probe_ && !probe_->answered && message.sequence_number == probe_->number &&
      message.target == probe_->name) {
    probe_->answered = true;
    Health(-1);
  }
  const auto helped = std::find_if(helped_.begin(), helped_.end(), [&](const Helped& h) {
    return h.number == message.sequence_number && h.name == message.target;
  });
  if (helped != helped_.end() && message.target == message.records.front().name) {
    GossipMessage ack = Compose(GossipMessageKind::kAck, helped->askers_number);
    ack.target = message.target;
    ack.records.push_back(message.records.front());
    Send(helped->asker, std::move(ack));
    helped_.erase(helped);
  }
}

// Probes a member for another node, and tells that node what comes of it.
void Membership::HelpToProbe(Milliseconds now, PeerAddress from, const GossipMessage& message) {
  if (helped_.size() < options_.max_indirect_probes && !message.target.empty()) {
    Helped helped;
    helped.number = ++last_number_;
    helped.name = message.target;
    helped.asker = from;
    helped.askers_number = message.sequence_number;
    helped.nack_at = now + options_.probe_timeout * 0.8;
    helped.end_at = now + options_.probe_interval;
    helped_.push_back(helped);
    GossipMessage ping = Compose(GossipMessageKind::kPing, helped.number);
    ping.target = message.target;
    Send(message.target_address, std::move(ping), message.target);
  }
}

// Another node's digests: tells which buckets differ, with records of those.
void Membership::AnswerCompare(PeerAddress from, const GossipMessage& message, const std::string& first) {
  GossipMessage differ = Compose(GossipMessageKind::kSyncResponse, message.sequence_number);
  std::size_t bytes = MaxEncodedSize(differ) + kDigestBuckets * kBucketBytes;
  std::array<bool, kDigestBuckets> wanted{};
  if (message.bucket_digests.size() == kDigestBuckets) {
    for (std::size_t i = 0; i < kDigestBuckets; ++i) {
      wanted[i] = message.bucket_digests[i] != digests_[i];
      if (wanted[i]) differ.differing_buckets.push_back(static_cast<std::uint8_t>(i));
    }
  }
  // From a random place on: what does not fit this time will be first another time.
  const std::size_t from_place = Below(order_.size());
  for (std::size_t i = 0; i < order_.size(); ++i) {
    const MemberRecord& record = order_[(from_place + i) % order_.size()]->record;
    if (!wanted[BucketOf(record.name)]) continue;
    if (bytes + MaxEncodedSize(record) > options_.max_message_bytes) break;
    bytes += MaxEncodedSize(record);
    differ.records.push_back(record);
  }
  Send(from, std::move(differ), first);
}

// The buckets that differ at another node: tells what is known here of them.
void Membership::AnswerDiffer(PeerAddress from, const GossipMessage& message, const std::string& first) {
  std::array<bool, kDigestBuckets> wanted{};
  for (const std::uint8_t bucket : message.differing_buckets) wanted[bucket % kDigestBuckets] = true;
  GossipMessage news = Compose(GossipMessageKind::kGossip, message.sequence_number);
  std::size_t bytes = MaxEncodedSize(news);
  const std::size_t from_place = Below(order_.size());
  for (std::size_t i = 0; i < order_.size(); ++i) {
    const MemberRecord& record = order_[(from_place + i) % order_.size()]->record;
    if (!wanted[BucketOf(record.name)]) continue;
    if (bytes + MaxEncodedSize(record) > options_.max_message_bytes) break;
    // What has just come from there is known there.
    if (std::find(message.records.begin(), message.records.end(), record) != message.records.end()) continue;
    bytes += MaxEncodedSize(record);
    news.records.push_back(record);
  }
  if (!message.differing_buckets.empty()) Send(from, std::move(news), first);
}

MembershipActions Membership::OnMessage(Milliseconds now, PeerAddress from, const GossipMessage& message) {
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
  if (current && Here(member->record.state)) {
    Heard(now, *member);
  }
  // Who is gone here hears of it, and can say that it is not.
  const std::string first = member != nullptr ? sender : std::string();
  switch (message.kind) {
    case GossipMessageKind::kPing: {
      GossipMessage ack = Compose(GossipMessageKind::kAck, message.sequence_number);
      ack.target = self_.name;
      Send(from, std::move(ack), first);
      break;
    }
    case GossipMessageKind::kAck:
      HearAck(message);
      break;
    case GossipMessageKind::kIndirectPing:
      HelpToProbe(now, from, message);
      break;
    case GossipMessageKind::kNack:
      if (probe_ && message.sequence_number == probe_->number) ++probe_->nacks;
      break;
    case GossipMessageKind::kGossip:
      break;
    case GossipMessageKind::kSyncRequest:
      AnswerCompare(from, message, first);
      break;
    case GossipMessageKind::kSyncResponse:
      AnswerDiffer(from, message, first);
      break;
  }
  if (message.view_digest != view_ && member != nullptr) {
    if (!differs_) {
      differs_ = from;
      // One that has just come asks on and on; the others once in a while.
      const Milliseconds rest = self_.phase == MemberPhase::kJoining || live_members() <= 2
                                    ? options_.probe_timeout / 4
                                    : options_.sync_interval;
      next_compare_ = std::min(std::max(next_compare_, now), now + rest);
      if (message.kind == GossipMessageKind::kSyncResponse) next_compare_ = now + rest;
    }
  } else if (differs_ == from) {
    differs_.reset();
  }
  return TakeOut();
}

// ---- What is due ----

}  // namespace hingelink::decide
