#include "decide/membership/indirect_probes.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide::membership {
namespace {

// The nack is sent after this fraction of the probe timeout, so that it arrives before the requester's probe
// ends.
constexpr double kNackTimeoutFraction = 0.8;

}  // namespace

void IndirectProbes::OnRequest(Milliseconds now, const PeerAddress& requester, const GossipMessage& request) {
  if (probes_.size() >= options_.max_indirect_probes || request.target.empty()) return;
  IndirectProbe probe;
  probe.target = request.target;
  probe.requester = requester;
  probe.request_sequence_number = request.sequence_number;
  probe.nack_at = now + options_.probe_timeout * kNackTimeoutFraction;
  probe.end_at = now + options_.probe_interval;
  probe.sequence_number = sender_.SendPing(request.target_address, request.target);
  probes_.push_back(std::move(probe));
}

void IndirectProbes::OnAck(const GossipMessage& ack) {
  const MemberRecord& sender = ack.records.front();
  if (ack.target != sender.name) return;
  const auto probe = std::find_if(probes_.begin(), probes_.end(), [&](const IndirectProbe& pending) {
    return pending.sequence_number == ack.sequence_number && pending.target == ack.target;
  });
  if (probe == probes_.end()) return;
  GossipMessage answer = sender_.Compose(GossipMessageKind::kAck, probe->request_sequence_number);
  answer.target = ack.target;
  answer.records.push_back(sender);
  sender_.Send(probe->requester, std::move(answer));
  probes_.erase(probe);
}

void IndirectProbes::Tick(Milliseconds now) {
  for (IndirectProbe& probe : probes_) {
    if (probe.is_nacked || now < probe.nack_at) continue;
    probe.is_nacked = true;
    sender_.Send(probe.requester, sender_.Compose(GossipMessageKind::kNack, probe.request_sequence_number));
  }
  std::erase_if(probes_, [now](const IndirectProbe& probe) { return now >= probe.end_at; });
}

std::optional<Milliseconds> IndirectProbes::NextDeadline() const {
  std::optional<Milliseconds> deadline;
  for (const IndirectProbe& probe : probes_) {
    const Milliseconds probe_deadline = probe.is_nacked ? probe.end_at : probe.nack_at;
    deadline = deadline ? std::min(*deadline, probe_deadline) : probe_deadline;
  }
  return deadline;
}

}  // namespace hingelink::decide::membership
