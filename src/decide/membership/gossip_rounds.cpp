#include "decide/membership/gossip_rounds.h"

namespace hingelink::decide::membership {
namespace {

// With more queued broadcasts than this, which do not fit into one message, rounds are sent more often.
constexpr std::size_t kMaxBroadcastsPerMessage = 20;
// The interval of these rounds, as a fraction of MembershipOptions::gossip_interval.
constexpr double kLongQueueIntervalFraction = 0.5;

}  // namespace

void GossipRounds::Tick(Milliseconds now) {
  if (now < timer_.deadline()) return;
  const bool is_queue_long = broadcasts_.size() > kMaxBroadcastsPerMessage;
  timer_.Set(now + options_.gossip_interval * (is_queue_long ? kLongQueueIntervalFraction : 1));
  if (!is_pending()) return;
  self_.OnGossipRound();
  for (std::size_t i = 0; i < options_.gossip_fanout; ++i) {
    const Member* receiver =
        table_.PickRandom([](const Member& member) { return IsLive(member.record.state); });
    if (receiver == nullptr) continue;
    sender_.Send(receiver->record.address, sender_.Compose(GossipMessageKind::kGossip, 0),
                 receiver->record.name);
  }
}

}  // namespace hingelink::decide::membership
