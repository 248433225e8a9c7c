// Probes the other members, one per probe interval (SWIM, section 3.1).
//
// If a member does not answer a ping before the probe timeout, this node asks other members, the helpers, to
// ping it too (indirect probes). If no ack arrives by the end of the interval, this node suspects the member.
// LHA-Probe of Lifeguard: timeouts and intervals grow with the local health score. A helper that sends
// neither an ack nor a nack worsens the score, as this node itself may be at fault.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_FAILURE_DETECTOR_H_
#define HINGELINK_DECIDE_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "decide/membership/gossip_message.h"
#include "decide/membership/gossip_sender.h"
#include "decide/membership/local_health.h"
#include "decide/membership/local_member.h"
#include "decide/membership/member_lifecycle.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_options.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Holds at most one probe at a time. Not thread-safe. All references must outlive the object.
class FailureDetector {
 public:
  FailureDetector(const MembershipOptions& options, const LocalMember& self, MemberTable& table,
                  MemberLifecycle& lifecycle, GossipSender& sender, LocalHealth& health)
      : options_(options),
        self_(self),
        table_(table),
        lifecycle_(lifecycle),
        sender_(sender),
        health_(health) {}

  // Schedules the first probe.
  void Begin(Milliseconds first_probe) { next_probe_ = first_probe; }
  // To be called after a pause of this process. Drops the pending probe, and suspects no member for a few
  // probe intervals, as acks that arrived during the pause have not been read yet.
  void OnPaused(Milliseconds now);

  // Sends the indirect probes, ends the pending probe and begins the next one, each if it is due.
  void Tick(Milliseconds now);
  [[nodiscard]] Milliseconds NextDeadline() const;

  void OnAck(const GossipMessage& ack);
  void OnNack(const GossipMessage& nack);

 private:
  struct Probe {
    std::string target;
    std::uint32_t sequence_number = 0;
    Milliseconds timeout_at{0};  // When the indirect probes are sent.
    Milliseconds end_at{0};      // When the probe fails unless it is answered.
    bool is_indirect = false;    // Whether the indirect probes were sent.
    bool is_answered = false;
    std::size_t helpers = 0;  // Members that were asked for an indirect probe.
    std::size_t nacks = 0;
  };

  [[nodiscard]] bool IsProbePending() const { return probe_ && !probe_->is_answered; }
  void SendIndirectPings();
  // Handles the end of a probe without an ack: worsens the local health score and suspects the target.
  void OnProbeFailed(Milliseconds now);
  // The number of steps by which an unanswered probe worsens the local health score.
  [[nodiscard]] int HealthPenalty() const;
  void ScheduleNext(Milliseconds now);
  void BeginProbe(Milliseconds now);

  const MembershipOptions& options_;
  const LocalMember& self_;
  MemberTable& table_;
  MemberLifecycle& lifecycle_;
  GossipSender& sender_;
  LocalHealth& health_;
  std::optional<Probe> probe_;
  Milliseconds next_probe_{0};
  Milliseconds may_suspect_from_{-1};  // Probes that fail earlier cause no suspicion.
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_FAILURE_DETECTOR_H_
