#include "decide/membership/local_member.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide::membership {
namespace {

// At most one raise in this time: two processes of one name must not outbid each other without end.
constexpr Milliseconds kMinEpochRaiseInterval{1'000};
// After this many raises two processes of one name are reported.
constexpr int kNameConflictRaises = 3;
// The epoch is raised by a random number up to this.
constexpr std::uint64_t kMaxEpochRaise = 1024;

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
  Set(changed);
}

void LocalMember::Refute(Milliseconds now, const MemberVersion& seen) {
  MemberRecord changed = record_;
  changed.version.incarnation = std::max(seen.incarnation, record_.version.incarnation) + 1;
  Set(changed);
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

void LocalMember::RaiseProcessEpoch(Milliseconds now, std::uint64_t seen) {
  if (now - epoch_raised_at_ < kMinEpochRaiseInterval) return;
  epoch_raised_at_ = now;
  ++epoch_raises_;
  if (epoch_raises_ == kNameConflictRaises) {
    actions_.Report(MembershipEventKind::kNameConflict, record_.name);
  }
  MemberRecord changed = record_;
  changed.version = {seen + 1 + UniformRandom(random_, kMaxEpochRaise), 0};
  Set(changed);
  actions_.Report(MembershipEventKind::kProcessEpochRaised, record_.name);
}

void LocalMember::Set(const MemberRecord& record) {
  digest_.Toggle(record_);
  record_ = record;
  digest_.Toggle(record_);
  pending_rounds_ = broadcasts_.TransmitLimit(table_.live_members());
  actions_.MarkViewChanged();
}

}  // namespace hingelink::decide::membership
