#include "decide/membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide::membership {
namespace {

// For this many probe intervals after a pause of this process, failed probes cause no suspicion.
constexpr double kGraceIntervalsAfterPause = 3;
// Upper bound of the timeout of a direct probe, as a fraction of the time until the probe ends. It leaves
// time for the indirect probes.
constexpr double kMaxTimeoutFraction = 0.6;
// With at least this many suspects, the probe interval is multiplied by the fraction below. Before the
// suspicions time out, probes must show whether the suspects or this node are at fault.
constexpr std::size_t kMinSuspectsForFastProbes = 2;
constexpr double kFastProbeIntervalFraction = 0.5;

bool IsAlive(const Member& member) { return member.record.state == MemberState::kAlive; }

}  // namespace

void FailureDetector::OnPaused(Milliseconds now) {
  probe_.reset();
  may_suspect_from_ = now + options_.probe_interval * kGraceIntervalsAfterPause;
  next_probe_ = now;
}

void FailureDetector::Tick(Milliseconds now) {
  if (IsProbePending() && !probe_->is_indirect && now >= probe_->timeout_at) SendIndirectPings();
  if (now < next_probe_) return;
  if (IsProbePending()) OnProbeFailed(now);
  probe_.reset();
  ScheduleNext(now);
  BeginProbe(now);
}

Milliseconds FailureDetector::NextDeadline() const {
  if (!IsProbePending()) return next_probe_;
  return std::min(next_probe_, probe_->is_indirect ? probe_->end_at : probe_->timeout_at);
}

void FailureDetector::OnAck(const GossipMessage& ack) {
  if (!IsProbePending() || ack.sequence_number != probe_->sequence_number || ack.target != probe_->target)
    return;
  probe_->is_answered = true;
  health_.Adjust(-1);
}

void FailureDetector::OnNack(const GossipMessage& nack) {
  if (probe_ && nack.sequence_number == probe_->sequence_number) ++probe_->nacks;
}

void FailureDetector::SendIndirectPings() {
  probe_->is_indirect = true;
  const Member* target = table_.Find(probe_->target);
  if (target == nullptr) return;
  for (std::size_t i = 0; i < options_.indirect_probes; ++i) {
    const Member* helper = table_.PickRandom(IsAlive, probe_->target);
    if (helper == nullptr) continue;
    GossipMessage request = sender_.Compose(GossipMessageKind::kIndirectPing, probe_->sequence_number);
    request.target = probe_->target;
    request.target_address = target->record.address;
    ++probe_->helpers;
    sender_.Send(helper->record.address, std::move(request));
  }
}

void FailureDetector::OnProbeFailed(Milliseconds now) {
  health_.Adjust(HealthPenalty());
  Member* target = table_.Find(probe_->target);
  if (target == nullptr || !IsLive(target->record.state)) return;
  if (now >= may_suspect_from_) lifecycle_.Suspect(now, *target, self_.name());
}

int FailureDetector::HealthPenalty() const {
  if (probe_->helpers == 0) return 1;
  return probe_->helpers > probe_->nacks ? static_cast<int>(probe_->helpers - probe_->nacks) : 0;
}

void FailureDetector::ScheduleNext(Milliseconds now) {
  const double factor = table_.suspects() >= kMinSuspectsForFastProbes ? kFastProbeIntervalFraction : 1;
  next_probe_ = now + options_.probe_interval * (1 + health_.fraction()) * factor;
}

void FailureDetector::BeginProbe(Milliseconds now) {
  const Member* target = table_.NextProbeTarget();
  if (target == nullptr) return;
  Probe probe;
  probe.target = target->record.name;
  probe.timeout_at = std::min(now + options_.probe_timeout * (health_.score() + 1),
                              now + (next_probe_ - now) * kMaxTimeoutFraction);
  probe.end_at = next_probe_;
  probe.sequence_number = sender_.SendPing(target->record.address, target->record.name);
  probe_ = std::move(probe);
}

}  // namespace hingelink::decide::membership
