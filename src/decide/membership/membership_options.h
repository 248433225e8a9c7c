// Intervals, timeouts and bounds of the membership protocol.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <cstddef>

#include "decide/milliseconds.h"

namespace hingelink::decide {

// All nodes of a fleet use the same.
struct MembershipOptions {
  // ---- Failure detection (SWIM) ----
  // Between two probes.
  Milliseconds probe_interval{500};
  // How long a direct probe waits for its answer before helpers are asked.
  Milliseconds probe_timeout{120};
  // Helpers of an indirect probe.
  std::size_t indirect_probes = 3;
  // Probes for other nodes that may be open at once.
  std::size_t max_indirect_probes = 64;

  // ---- Local health (Lifeguard) ----
  // Upper bound of the local health score: probe timeouts grow up to 1 + this times, probe intervals up to 2.
  int max_local_health = 8;

  // ---- Suspicion (Lifeguard) ----
  // The timeout of a suspicion that `suspicion_confirmations` others have confirmed.
  Milliseconds min_suspicion_timeout{2'500};
  // The timeout of a suspicion without confirmations, as a multiple of min_suspicion_timeout.
  double max_suspicion_factor = 2.4;
  std::size_t suspicion_confirmations = 3;
  // The suspect is probed once more this long before its suspicion times out.
  Milliseconds final_probe_lead{500};

  // ---- Dissemination ----
  // Between two rounds of gossip, while there is something to send.
  Milliseconds gossip_interval{200};
  // Members that receive a round of gossip.
  std::size_t gossip_fanout = 3;
  // A record is sent this many times the natural logarithm of the number of members.
  double retransmit_factor = 4;
  // Upper bound of an encoded message.
  std::size_t max_message_bytes = 1200;

  // ---- Anti-entropy ----
  // Between two sync requests, while the view of a peer differs.
  Milliseconds sync_interval{1'000};
  // For this long after its start a node syncs with any member, rather than with the seeds alone.
  Milliseconds bootstrap_period{10'000};

  // ---- Joining and reconnecting ----
  // Between two sync requests to a seed, while no member is known to be alive.
  Milliseconds join_interval{400};
  // Between two probes of a dead member ...
  Milliseconds reconnect_interval{2'000};
  // ... and of one whose removal is deferred.
  Milliseconds deferred_reconnect_interval{300};

  // ---- Faults of this node itself ----
  // Without a tick for this long, the process was paused.
  Milliseconds pause_threshold{1'000};
  // Without a message for this long, the node was isolated.
  Milliseconds isolation_threshold{2'000};

  // ---- Mass failure guard ----
  // If more than this fraction of the members is silent within the window, removals are deferred.
  double mass_failure_fraction = 0.4;
  Milliseconds mass_failure_window{10'000};
  // A member is removed only if messages of this many others (or all) were received since it fell silent.
  std::size_t min_recent_senders = 3;
  // After this long removals are deferred no more, if messages of other members are received.
  Milliseconds max_removal_deferral{60'000};

  // ---- Bounds of the member table ----
  // How long a dead member is listed.
  Milliseconds dead_member_retention{600'000};
  std::size_t max_members = 4096;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
