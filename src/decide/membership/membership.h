// Group membership: the nodes of the fleet, and which of them are alive.
//
// Implements SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey 2017).
// Nodes probe each other, disseminate changes by gossip, and repair missed changes by anti-entropy. The
// protocol performs no I/O, reads no clock and starts no threads: the caller passes in messages, times and
// random numbers, and gets back messages to send and events to log. docs/design/membership.md shows the
// states and the effect of each failure.
//
// While the network works:
// - A failed node is known as dead to all other nodes within seconds.
// - A node that joins or returns is known to all other nodes within one or two seconds.
// - The views of all nodes agree once no member changes.
// While the network does not work:
// - Versions never decrease, and a record of an older version has no effect.
// - If many members fail at the same time, their removal is deferred (defers_removals()).
// - A node that receives no messages removes no member.
//
// Bounds (MembershipOptions): `max_members` members, twice as many tombstones, one queued broadcast per
// member, `max_indirect_probes` probes for other nodes, and `max_message_bytes` per message. A node sends a
// fixed number of messages per interval, whatever the size of the fleet.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "decide/membership/anti_entropy.h"
#include "decide/membership/broadcast_queue.h"
#include "decide/membership/failure_detector.h"
#include "decide/membership/gossip_message.h"
#include "decide/membership/gossip_rounds.h"
#include "decide/membership/gossip_sender.h"
#include "decide/membership/gossip_timer.h"
#include "decide/membership/indirect_probes.h"
#include "decide/membership/local_health.h"
#include "decide/membership/local_member.h"
#include "decide/membership/mass_failure_guard.h"
#include "decide/membership/member.h"
#include "decide/membership/member_lifecycle.h"
#include "decide/membership/member_retention.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_actions.h"
#include "decide/membership/membership_options.h"
#include "decide/membership/reconnector.h"
#include "decide/membership/record_merger.h"
#include "decide/membership/suspicion_timers.h"
#include "decide/membership/view_digest.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide {

// Another member as this node's view lists it.
struct MemberView {
  MemberRecord record;
  Milliseconds since_last_message{0};  // The time since its last message; negative if none has arrived.
  bool is_removal_deferred =
      false;  // Its suspicion timed out, but the mass failure guard defers its removal.
};

// The membership protocol of one node. Composes the components in this directory. Not thread-safe. All times
// are those of the node's monotonic clock.
class Membership {
 public:
  // `self`: the record of this node. Its process epoch should be greater than those of earlier processes with
  // this name. The time of a wall clock is good enough: an epoch that is too low is raised when a peer sends
  // a record of this name with a greater epoch. `seeds`: addresses of nodes that this node contacts to join
  // the fleet, without its own address.
  Membership(const MembershipOptions& options, MemberRecord self, std::vector<PeerAddress> seeds,
             const RandomSource& random);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Performs the operations that are due. To be called at NextDeadline() at the latest: if the time between
  // two calls exceeds MembershipOptions::pause_threshold, this process is considered to have been paused.
  [[nodiscard]] MembershipActions Tick(Milliseconds now);
  // Handles a message received from the address `from`.
  [[nodiscard]] MembershipActions OnMessage(Milliseconds now, PeerAddress from, const GossipMessage& message);
  // Changes the phase that this node announces, and sends it to MembershipOptions::gossip_fanout members at
  // once.
  [[nodiscard]] MembershipActions SetPhase(Milliseconds now, MemberPhase phase);
  void SetSeeds(std::vector<PeerAddress> seeds) { reconnector_.SetSeeds(std::move(seeds)); }

  // The time by which Tick() must be called again. It may change with each call of a method above.
  [[nodiscard]] Milliseconds NextDeadline() const;

  [[nodiscard]] const MemberRecord& self() const { return self_.record(); }
  // All other members in no particular order, including dead members that have not been evicted yet.
  [[nodiscard]] std::vector<MemberView> Members(Milliseconds now) const;
  // Members that are not dead, this node included.
  [[nodiscard]] std::size_t live_members() const { return table_.live_members(); }
  [[nodiscard]] std::size_t suspects() const { return table_.suspects(); }
  // Whether the mass failure guard defers the removal of any member (mass_failure_guard.h).
  [[nodiscard]] bool defers_removals() const { return guard_.is_deferring(); }
  // Lifeguard's local health score: 0 is healthy; the greater the score, the longer this node waits before it
  // suspects a member.
  [[nodiscard]] int local_health() const { return health_.score(); }
  // The digest of this node's view. Nodes with equal views have equal digests.
  [[nodiscard]] std::uint64_t view_digest() const { return digest_.value(); }
  [[nodiscard]] const MembershipCounters& counters() const { return actions_.counters(); }
  [[nodiscard]] std::size_t queued_broadcasts() const { return broadcasts_.size(); }

 private:
  // Called first by Tick(), OnMessage() and SetPhase(): starts the timers in the first call, and detects in
  // later calls that the process was paused.
  void AdvanceTo(Milliseconds now);
  void Begin(Milliseconds now);
  // Handles a pause of this process that lasted `gap`. Probes that failed because of the pause must not make
  // other members suspects.
  void OnPaused(Milliseconds now, Milliseconds gap);
  // Handles the arrival of a message from this member.
  void OnMemberMessage(Milliseconds now, membership::Member& member);
  void PostponeSuspicions(Milliseconds now);
  // Passes the message to the component for its kind. `sender`: the name of the sender; empty if the sender
  // is not in the member table.
  void DispatchByKind(Milliseconds now, const PeerAddress& from, const GossipMessage& message,
                      const std::string& sender);

  const MembershipOptions options_;
  const RandomSource random_;
  membership::ActionSink actions_;
  membership::ViewDigest digest_;
  membership::LocalHealth health_;
  membership::GossipTimer gossip_timer_;
  membership::MemberTable table_;
  membership::BroadcastQueue broadcasts_;
  membership::LocalMember self_;
  membership::GossipSender sender_;
  membership::SuspicionTimers suspicion_timers_;
  membership::MassFailureGuard guard_;
  membership::MemberLifecycle lifecycle_;
  membership::MemberRetention retention_;
  membership::RecordMerger merger_;
  membership::FailureDetector failure_detector_;
  membership::IndirectProbes indirect_probes_;
  membership::GossipRounds gossip_rounds_;
  membership::AntiEntropy anti_entropy_;
  membership::Reconnector reconnector_;

  bool has_begun_ = false;
  Milliseconds last_step_{0};  // The time of the last call of Tick(), OnMessage() or SetPhase().
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_H_
