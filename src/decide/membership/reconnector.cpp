#include "decide/membership/reconnector.h"

namespace hingelink::decide::membership {
namespace {

// Intervals are multiplied by a random factor from kMinJitter to kMinJitter + kJitterRange.
constexpr double kMinJitter = 0.75;
constexpr double kJitterRange = 0.5;
constexpr std::uint64_t kJitterSteps = 512;
// While other members are alive, a seed is contacted in one of this many intervals on average.
constexpr std::uint64_t kIntervalsPerSeedContact = 8;

}  // namespace

void Reconnector::Tick(Milliseconds now) {
  if (now < next_deadline_) return;
  next_deadline_ = now + NextInterval();
  ContactSeed();
  ProbeLostMember();
}

Milliseconds Reconnector::NextInterval() const {
  const double step = static_cast<double>(UniformRandom(random_, kJitterSteps)) / kJitterSteps;
  const double jitter = kMinJitter + kJitterRange * step;
  if (guard_.is_deferring()) return options_.deferred_reconnect_interval * jitter;
  if (table_.alive() == 0) return options_.join_interval * jitter;
  return options_.reconnect_interval * jitter;
}

void Reconnector::ContactSeed() {
  if (seeds_.empty()) return;
  if (table_.alive() > 0 && UniformRandom(random_, kIntervalsPerSeedContact) != 0) return;
  anti_entropy_.SendRequest(seeds_[UniformRandom(random_, seeds_.size())]);
}

void Reconnector::ProbeLostMember() {
  const Member* lost = nullptr;
  table_.VisitFromRandom([&](const Member& member) {
    if (!IsLost(member)) return true;
    lost = &member;
    return false;
  });
  if (lost != nullptr) sender_.SendPing(lost->record.address, lost->record.name);
}

bool Reconnector::IsLost(const Member& member) const {
  if (guard_.is_deferring()) return member.is_removal_deferred;
  return !IsLive(member.record.state) && member.record.phase != MemberPhase::kLeft;
}

}  // namespace hingelink::decide::membership
