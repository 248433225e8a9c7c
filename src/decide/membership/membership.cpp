#include "decide/membership/membership.h"

#include <algorithm>

namespace hingelink::decide {
namespace {

// The number of distinct random fractions by which the first interval of a timer is multiplied.
constexpr std::uint64_t kInitialDelaySteps = 1024;
// Upper bound of the time between two ticks, as a fraction of MembershipOptions::pause_threshold: an idle
// node must not be taken for a paused one.
constexpr double kMaxTickFraction = 0.5;

}  // namespace

Membership::Membership(const MembershipOptions& options, MemberRecord self, std::vector<PeerAddress> seeds,
                       const RandomSource& random)
    : options_(options),
      random_(random),
      health_(options_.max_local_health),
      table_(random_, digest_),
      broadcasts_(options_.retransmit_factor),
      self_(std::move(self), random_, digest_, table_, broadcasts_, gossip_timer_, health_, actions_),
      sender_(options_.max_message_bytes, self_, digest_, table_, broadcasts_, actions_),
      suspicion_timers_(options_),
      guard_(options_, table_),
      lifecycle_(options_, self_, table_, broadcasts_, suspicion_timers_, guard_, gossip_timer_, sender_,
                 actions_),
      retention_(options_, table_, broadcasts_, actions_),
      merger_(self_, table_, retention_, lifecycle_, broadcasts_, actions_),
      failure_detector_(options_, self_, table_, lifecycle_, sender_, health_),
      indirect_probes_(options_, sender_),
      gossip_rounds_(options_, self_, table_, broadcasts_, gossip_timer_, sender_),
      anti_entropy_(options_, self_, table_, digest_, sender_),
      reconnector_(options_, std::move(seeds), random_, table_, guard_, anti_entropy_, sender_) {}

MembershipActions Membership::Tick(Milliseconds now) {
  AdvanceTo(now);
  indirect_probes_.Tick(now);
  failure_detector_.Tick(now);
  lifecycle_.Tick(now);
  gossip_rounds_.Tick(now);
  anti_entropy_.Tick(now);
  reconnector_.Tick(now);
  retention_.Tick(now);
  return actions_.ReleaseActions();
}

MembershipActions Membership::OnMessage(Milliseconds now, PeerAddress from, const GossipMessage& message) {
  AdvanceTo(now);
  if (message.records.empty()) return actions_.ReleaseActions();
  const MemberRecord& sender_record = message.records.front();
  if (sender_record.name == self_.name()) {
    // The message is this node's own, sent back to it, or comes from another process with this node's name.
    merger_.Merge(now, sender_record);
    return actions_.ReleaseActions();
  }
  for (const MemberRecord& record : message.records) merger_.Merge(now, record);
  membership::Member* sender = table_.Find(sender_record.name);
  const bool is_current = sender != nullptr && sender_record.version == sender->record.version;
  if (is_current && IsLive(sender->record.state)) OnMemberMessage(now, *sender);
  DispatchByKind(now, from, message, sender != nullptr ? sender_record.name : std::string());
  anti_entropy_.OnMessage(now, from, message, sender != nullptr);
  return actions_.ReleaseActions();
}

void Membership::DispatchByKind(Milliseconds now, const PeerAddress& from, const GossipMessage& message,
                                const std::string& sender) {
  switch (message.kind) {
    case GossipMessageKind::kPing: {
      GossipMessage ack = sender_.Compose(GossipMessageKind::kAck, message.sequence_number);
      ack.target = self_.name();
      sender_.Send(from, std::move(ack), sender);
      break;
    }
    case GossipMessageKind::kAck:
      failure_detector_.OnAck(message);
      indirect_probes_.OnAck(message);
      break;
    case GossipMessageKind::kIndirectPing:
      indirect_probes_.OnRequest(now, from, message);
      break;
    case GossipMessageKind::kNack:
      failure_detector_.OnNack(message);
      break;
    case GossipMessageKind::kGossip:
      break;
    case GossipMessageKind::kSyncRequest:
      anti_entropy_.OnRequest(from, message, sender);
      break;
    case GossipMessageKind::kSyncResponse:
      anti_entropy_.OnResponse(from, message, sender);
      break;
  }
}

MembershipActions Membership::SetPhase(Milliseconds now, MemberPhase phase) {
  AdvanceTo(now);
  if (phase == self_.record().phase) return actions_.ReleaseActions();
  self_.SetPhase(phase);
  gossip_timer_.Set(now);
  gossip_rounds_.Tick(now);
  return actions_.ReleaseActions();
}

Milliseconds Membership::NextDeadline() const {
  if (!has_begun_) return Milliseconds(0);
  Milliseconds deadline =
      std::min({failure_detector_.NextDeadline(), reconnector_.next_deadline(), retention_.next_deadline(),
                last_step_ + options_.pause_threshold * kMaxTickFraction});
  if (gossip_rounds_.is_pending()) deadline = std::min(deadline, gossip_timer_.deadline());
  if (!suspicion_timers_.empty()) deadline = std::min(deadline, suspicion_timers_.next_deadline());
  deadline = std::min(deadline, anti_entropy_.NextDeadline().value_or(deadline));
  return std::min(deadline, indirect_probes_.NextDeadline().value_or(deadline));
}

std::vector<MemberView> Membership::Members(Milliseconds now) const {
  std::vector<MemberView> views;
  views.reserve(table_.size());
  for (const membership::Member* member : table_.members()) {
    const bool has_sent = member->last_message_at.count() >= 0;
    views.push_back({member->record, has_sent ? now - member->last_message_at : Milliseconds(-1),
                     member->is_removal_deferred});
  }
  return views;
}

void Membership::AdvanceTo(Milliseconds now) {
  if (!has_begun_) {
    Begin(now);
  } else if (now - last_step_ > options_.pause_threshold) {
    OnPaused(now, now - last_step_);
  }
  last_step_ = std::max(last_step_, now);
}

void Membership::Begin(Milliseconds now) {
  has_begun_ = true;
  // Random initial delays keep nodes that start together from sending their messages at the same times.
  const auto random_fraction = [this] {
    return static_cast<double>(UniformRandom(random_, kInitialDelaySteps)) / kInitialDelaySteps;
  };
  failure_detector_.Begin(now + options_.probe_interval * random_fraction());
  gossip_timer_.Set(now + options_.gossip_interval * random_fraction());
  anti_entropy_.Begin(now, now + options_.sync_interval * random_fraction());
  reconnector_.Begin(now);
  retention_.Begin(now);
}

void Membership::OnPaused(Milliseconds now, Milliseconds gap) {
  ++actions_.counters().pauses;
  actions_.Report(MembershipEventKind::kPaused, self_.name(), gap.count());
  indirect_probes_.Clear();
  PostponeSuspicions(now);
  health_.SetWorst();
  failure_detector_.OnPaused(now);
  gossip_timer_.Set(now);
  anti_entropy_.RequestSync(now);
  // Other members probably suspect this node by now. The greater incarnation ends their suspicions.
  self_.Refute(now, self_.record().version);
}

void Membership::OnMemberMessage(Milliseconds now, membership::Member& member) {
  const auto since_last_message = guard_.TimeSinceLastMessage(now);
  if (since_last_message && *since_last_message > options_.isolation_threshold) {
    // This node was isolated, so its suspects get time to refute the suspicions.
    actions_.Report(MembershipEventKind::kIsolated, self_.name(), since_last_message->count());
    PostponeSuspicions(now);
    self_.Refute(now, self_.record().version);
  }
  member.last_message_at = now;
  guard_.OnMessage(now, member.record.name);
}

void Membership::PostponeSuspicions(Milliseconds now) {
  suspicion_timers_.PostponeAll(now + options_.min_suspicion_timeout);
}

}  // namespace hingelink::decide
