#include "decide/membership/local_member.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide::membership {
namespace {

// Minimum time between two raises of the process epoch. Without it, two processes with the same name would
// raise their epochs in turn without limit.
constexpr Milliseconds kMinEpochRaiseInterval{1'000};
// The number of raises at which a name conflict is reported: one raise may be due to an earlier process of
// this name, repeated raises mean that another process uses the name now.
constexpr int kEpochRaisesForNameConflict = 3;
// A new epoch exceeds the other process's epoch by a random number from 1 to this.
constexpr std::uint64_t kMaxEpochIncrement = 1024;

}  // namespace

LocalMember::LocalMember(MemberRecord self, const RandomSource& random, ViewDigest& digest,
                         const MemberTable& table, const BroadcastQueue& broadcasts,
                         GossipTimer& gossip_timer, LocalHealth& health, ActionSink& actions)
    : record_(std::move(self)),
      random_(random),
      digest_(digest),
      table_(table),
      broadcasts_(broadcasts),
      gossip_timer_(gossip_timer),
      health_(health),
      actions_(actions) {
  record_.state = MemberState::kAlive;
  record_.accuser.clear();
  digest_.Toggle(record_);
}

void LocalMember::SetPhase(MemberPhase phase) {
  MemberRecord changed = record_;
  changed.phase = phase;
  ++changed.version.incarnation;
  ReplaceRecord(changed);
}

void LocalMember::Refute(Milliseconds now, const MemberVersion& refuted) {
  MemberRecord changed = record_;
  changed.version.incarnation = std::max(refuted.incarnation, record_.version.incarnation) + 1;
  ReplaceRecord(changed);
  gossip_timer_.RequestRound(now);
}

void LocalMember::OnRecord(Milliseconds now, const MemberRecord& record) {
  if (record.version.process_epoch > record_.version.process_epoch) {
    RaiseProcessEpoch(now, record.version.process_epoch);
    return;
  }
  if (record.version < record_.version) return;
  const bool is_accusation = record.state != MemberState::kAlive && record_.phase != MemberPhase::kLeft;
  if (!is_accusation && record.version == record_.version) return;
  ++actions_.counters().refutations;
  if (is_accusation) {
    const std::string& accuser = record.accuser.empty() ? record_.name : record.accuser;
    actions_.Report(MembershipEventKind::kAccused, accuser, static_cast<double>(record.state));
    health_.Adjust(1);
  }
  Refute(now, record.version);
}

void LocalMember::RaiseProcessEpoch(Milliseconds now, std::uint64_t peer_epoch) {
  if (now - epoch_raised_at_ < kMinEpochRaiseInterval) return;
  epoch_raised_at_ = now;
  ++epoch_raises_;
  if (epoch_raises_ == kEpochRaisesForNameConflict) {
    actions_.Report(MembershipEventKind::kNameConflict, record_.name);
  }
  MemberRecord changed = record_;
  changed.version = {peer_epoch + 1 + UniformRandom(random_, kMaxEpochIncrement), 0};
  ReplaceRecord(changed);
  actions_.Report(MembershipEventKind::kProcessEpochRaised, record_.name);
}

void LocalMember::ReplaceRecord(const MemberRecord& record) {
  digest_.Toggle(record_);
  record_ = record;
  digest_.Toggle(record_);
  pending_rounds_ = broadcasts_.TransmitLimit(table_.live_members());
  actions_.MarkViewChanged();
}

}  // namespace hingelink::decide::membership
