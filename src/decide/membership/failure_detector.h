// Probes the other members, one in each interval (SWIM, section 3.1).
//
// A member that does not answer a ping in time is probed through helpers, too. If no answer
// arrives by the end of the interval, it becomes a suspect. LHA-Probe of Lifeguard: timeouts and intervals
// grow with the local health score, and a helper that does not even answer with a nack counts against this
// node's own health.
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

// Not thread-safe. All references must outlive the object.
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

  // The first probe is due at this time.
  void Begin(Milliseconds first_probe) { next_probe_ = first_probe; }
  // This process was paused: drops the open probe, and suspects no member for a short time, as the answers
  // that arrived meanwhile are still to be read.
  void OnPaused(Milliseconds now);

  // Asks helpers, ends the probe and begins the next one, as far as they are due.
  void Tick(Milliseconds now);
  [[nodiscard]] Milliseconds NextDeadline() const;

  void OnAck(const GossipMessage& ack);
  void OnNack(const GossipMessage& nack);

 private:
  struct Probe {
    std::string target;
    std::uint32_t sequence_number = 0;
    Milliseconds timeout_at{0};  // Then helpers are asked.
    Milliseconds end_at{0};
    bool is_indirect = false;  // Helpers were asked.
    bool is_answered = false;
    std::size_t helpers = 0;
    std::size_t nacks = 0;
  };

  [[nodiscard]] bool IsOpen() const { return probe_ && !probe_->is_answered; }
  void AskHelpers();
  // The probe got no answer.
  void Fail(Milliseconds now);
  // By how much an unanswered probe worsens the local health.
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
  Milliseconds may_suspect_from_{-1};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_FAILURE_DETECTOR_H_
