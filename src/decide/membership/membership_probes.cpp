// Membership: what is done as time passes: probes, gossip, comparisons, reconnects.
#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "decide/membership/membership_internal.h"

namespace hingelink::decide {

void Membership::TickProbe(Milliseconds now) {
  if (probe_ && !probe_->answered && !probe_->asked && now >= probe_->ask_at) {
    probe_->asked = true;
    if (const Member* target = Find(probe_->name)) {
      for (std::size_t i = 0; i < options_.indirect_probes; ++i) {
        const Member* helper =
            Any([](const Member& m) { return m.record.state == MemberState::kAlive; }, probe_->name);
        if (helper == nullptr) continue;
        GossipMessage ask = Compose(GossipMessageKind::kIndirectPing, probe_->number);
        ask.target = probe_->name;
        ask.target_address = target->record.address;
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
    if (target != nullptr && Here(target->record.state) && now >= doubts_until_) {
      Suspect(now, *target, self_.name);
    }
  }
  probe_.reset();
  // Twice as fast while there are several suspects: whether it is they or this node is to be known in time.
  next_probe_ = now + options_.probe_interval *
                          (1 + static_cast<double>(health_) / options_.max_local_health) *
                          (suspects_ >= 2 ? 0.5 : 1);
  BeginProbe(now);
}

void Membership::BeginProbe(Milliseconds now) {
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
    if (!Here(target.record.state)) continue;
    Probe probe;
    probe.name = target.record.name;
    probe.number = ++last_number_;
    probe.ask_at = std::min(now + options_.probe_timeout * (health_ + 1), now + (next_probe_ - now) * 0.6);
    probe.end_at = next_probe_;
    probe_ = probe;
    GossipMessage ping = Compose(GossipMessageKind::kPing, probe.number);
    ping.target = target.record.name;
    Send(target.record.address, std::move(ping), target.record.name);
    return;
  }
}

void Membership::TickHelped(Milliseconds now) {
  for (Helped& helped : helped_) {
    if (helped.nacked || now < helped.nack_at) continue;
    helped.nacked = true;
    Send(helped.asker, Compose(GossipMessageKind::kNack, helped.askers_number));
  }
  std::erase_if(helped_, [now](const Helped& helped) { return now >= helped.end_at; });
}

void Membership::TickGossip(Milliseconds now) {
  if (now < next_gossip_) return;
  // Twice as often while there is more to tell than a message holds, as behind a cut of many.
  next_gossip_ = now + options_.gossip_interval * (queue_.size() > kMuchNews ? 0.5 : 1);
  if (queue_.empty() && self_left_ == 0) return;
  if (self_left_ > 0) --self_left_;
  for (std::size_t i = 0; i < options_.gossip_fanout; ++i) {
    const Member* to = Any([](const Member& m) { return Here(m.record.state); });
    if (to == nullptr) continue;
    Send(to->record.address, Compose(GossipMessageKind::kGossip, 0), to->record.name);
  }
}

void Membership::TickCompare(Milliseconds now) {
  if (!differs_ || now < next_compare_) return;
  next_compare_ = now + options_.sync_interval;
  GossipMessage compare = Compose(GossipMessageKind::kSyncRequest, ++last_number_);
  compare.bucket_digests.assign(digests_.begin(), digests_.end());
  PeerAddress to = *std::exchange(differs_, std::nullopt);
  if (now - began_ < options_.bootstrap_period && alive_ > kFewKnown) {
    // Guards against a start of hundreds that falls on the seeds, which everybody knows first: what these do
    // not get sent any more are answers, too, and they are suspected for it.
    const Member* any = Any([](const Member& m) { return m.record.state == MemberState::kAlive; });
    if (any != nullptr) to = any->record.address;
  }
  Send(to, std::move(compare));
}

void Membership::TickReconnect(Milliseconds now) {
  if (now < next_reconnect_) return;
  const bool alone = alive_ == 0;
  // Not all of a fleet at once that starts anew.
  const double spread = 0.75 + static_cast<double>(Below(512)) / 1024;
  next_reconnect_ = now + (held_ > 0 ? options_.held_reconnect_interval
                           : alone   ? options_.join_interval
                                     : options_.reconnect_interval) *
                              spread;
  // Seeds while nobody is heard, and now and then later: two halves that never met know nothing of each
  // other.
  if (!seeds_.empty() && (alone || Below(8) == 0)) {
    GossipMessage compare = Compose(GossipMessageKind::kSyncRequest, ++last_number_);
    compare.bucket_digests.assign(digests_.begin(), digests_.end());
    Send(seeds_[Below(seeds_.size())], std::move(compare));
  }
  // One that is gone may be back, with both sides holding the other for gone; and one that is held, at the
  // end of the cut.
  const Member* gone = nullptr;
  const std::size_t from = Below(order_.size());
  for (std::size_t i = 0; i < order_.size() && gone == nullptr; ++i) {
    const Member* member = order_[(from + i) % order_.size()];
    if (held_ > 0 ? member->held : !Here(member->record.state) && member->record.phase != MemberPhase::kLeft)
      gone = member;
  }
  if (gone == nullptr) return;
  GossipMessage ping = Compose(GossipMessageKind::kPing, ++last_number_);
  ping.target = gone->record.name;
  Send(gone->record.address, std::move(ping), gone->record.name);
}

}  // namespace hingelink::decide
