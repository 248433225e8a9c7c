// Group membership: which nodes there are, and which of them are alive.
//
// SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey 2017): nodes probe
// each other, disseminate changes by gossip, and repair what gossip missed by anti-entropy. Messages, times
// and random numbers come in, messages and events for the log go out; no I/O, no clock, no threads.
// docs/design/membership.md draws the states and names what each failure does.
//
// While links work: a node that fails is known as dead to all within seconds; one that joins or returns,
// within a second or two; views agree once nothing changes. While they don't: versions never decrease, a
// record of an older version changes nothing, and of many members that fall silent together none is removed
// at once (defers_removals()). A node that receives nothing keeps its view.
//
// Bounds: `max_members` members, twice as many tombstones, one queued broadcast a member,
// `max_indirect_probes` probes for others; a message holds at most `max_message_bytes`, and an interval sends
// a fixed number of messages, whatever the size of the fleet.
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

// What is known of another member.
struct MemberView {
  MemberRecord record;
  Milliseconds since_last_message{0};  // Since its last message; negative: there was none.
  bool is_removal_deferred = false;    // It would be dead, but for the mass failure guard.
};

// One node's membership protocol; composes the parts in this directory. Not thread-safe. Times are those of
// the node's monotonic clock.
class Membership {
 public:
  // `self`: this node. Its process epoch is to be greater than those of earlier processes of its name, as far
  // as the caller can tell; a wall clock will do, as an epoch that is too low is raised once a peer tells of
  // a greater one. `seeds`: addresses of nodes to join by, without this node's own.
  Membership(const MembershipOptions& options, MemberRecord self, std::vector<PeerAddress> seeds,
             const RandomSource& random);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Does what is due. To be called at NextDeadline() at the latest: after a gap of more than
  // MembershipOptions::pause_threshold this process is taken to have been paused.
  [[nodiscard]] MembershipActions Tick(Milliseconds now);
  // A message has come from this address.
  [[nodiscard]] MembershipActions OnMessage(Milliseconds now, PeerAddress from, const GossipMessage& message);
  // What this node announces of itself from now on. Some members are notified at once.
  [[nodiscard]] MembershipActions SetPhase(Milliseconds now, MemberPhase phase);
  // Replaces the seeds.
  void SetSeeds(std::vector<PeerAddress> seeds) { reconnector_.SetSeeds(std::move(seeds)); }

  // The time of the next Tick().
  [[nodiscard]] Milliseconds NextDeadline() const;

  [[nodiscard]] const MemberRecord& self() const { return self_.record(); }
  // All other members in no particular order, dead ones too until they are forgotten.
  [[nodiscard]] std::vector<MemberView> Members(Milliseconds now) const;
  // Members that are not dead, this node included.
  [[nodiscard]] std::size_t live_members() const { return table_.live_members(); }
  [[nodiscard]] std::size_t suspects() const { return table_.suspects(); }
  // Whether removals are deferred, as more members are silent than may be removed at once.
  [[nodiscard]] bool defers_removals() const { return guard_.is_deferring(); }
  // Lifeguard's local health score: 0 is healthy, greater ones are slower to suspect others.
  [[nodiscard]] int local_health() const { return health_.score(); }
  // Equal on nodes whose views agree.
  [[nodiscard]] std::uint64_t view_digest() const { return digest_.value(); }
  [[nodiscard]] const MembershipCounters& counters() const { return actions_.counters(); }
  [[nodiscard]] std::size_t queued_broadcasts() const { return broadcasts_.size(); }

 private:
  // Before anything else in each step: starts the timers, or notices that the process was paused.
  void AdvanceTo(Milliseconds now);
  void Begin(Milliseconds now);
  // Answers that are missing because of the pause must not count against other members.
  void OnPaused(Milliseconds now, Milliseconds gap);
  // This member itself has sent a message.
  void OnMemberMessage(Milliseconds now, membership::Member& member);
  void PostponeSuspicions(Milliseconds now);
  // `sender`: the member's name; empty if it is unknown here.
  void HandleKind(Milliseconds now, const PeerAddress& from, const GossipMessage& message,
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
  Milliseconds last_step_{0};
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_H_
