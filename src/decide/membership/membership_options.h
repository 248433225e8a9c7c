// Intervals, timeouts and bounds of the membership protocol.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <cstddef>

#include "decide/milliseconds.h"

namespace hingelink::decide {

// All nodes of a fleet must use the same values.
struct MembershipOptions {
  // ---- Failure detection (SWIM) ----
  // Time between two probes of a healthy node.
  Milliseconds probe_interval{500};
  // How long a healthy node waits for the answer to a ping before it asks helpers for indirect probes.
  Milliseconds probe_timeout{120};
  // Number of helpers that are asked to probe an unresponsive member.
  std::size_t indirect_probes = 3;
  // Upper bound of the probes that a node performs for other nodes at the same time.
  std::size_t max_indirect_probes = 64;

  // ---- Local health (Lifeguard) ----
  // Upper bound of the local health score. At the maximum, probe timeouts are multiplied by 1 +
  // max_local_health and probe intervals by 2.
  int max_local_health = 8;

  // ---- Suspicion (Lifeguard) ----
  // The timeout of a suspicion that `suspicion_confirmations` members have confirmed.
  Milliseconds min_suspicion_timeout{2'500};
  // The timeout of a suspicion without confirmations, as a multiple of min_suspicion_timeout.
  double max_suspicion_factor = 2.4;
  // Number of confirmations, apart from the first accuser, that shorten the timeout to its minimum.
  std::size_t suspicion_confirmations = 3;
  // The final probe of a suspect is sent this long before its suspicion times out.
  Milliseconds final_probe_lead{500};

  // ---- Dissemination ----
  // Time between two rounds of gossip while there are changes to send.
  Milliseconds gossip_interval{200};
  // Number of members to which a round of gossip is sent.
  std::size_t gossip_fanout = 3;
  // The number of transmissions of a changed record is this factor times ln(number of live members + 1).
  double retransmit_factor = 4;
  // Upper bound of the encoded size of a message.
  std::size_t max_message_bytes = 1200;

  // ---- Anti-entropy ----
  // Time between two sync requests while the view of a peer differs.
  Milliseconds sync_interval{1'000};
  // For this long after its start, a node that knows enough members sends sync requests to random members
  // instead of the peer whose view differs, which is often a seed.
  Milliseconds bootstrap_period{10'000};

  // ---- Joining and reconnecting ----
  // Time between two sync requests to a seed while no other member is alive.
  Milliseconds join_interval{400};
  // Time between two attempts to reach a dead member.
  Milliseconds reconnect_interval{2'000};
  // Time between two attempts to reach a member whose removal is deferred.
  Milliseconds deferred_reconnect_interval{300};

  // ---- Faults of this node itself ----
  // If the time between two ticks or messages exceeds this, the process was paused.
  Milliseconds pause_threshold{1'000};
  // If no message of a member arrives for longer than this, the node was isolated.
  Milliseconds isolation_threshold{2'000};

  // ---- Mass failure guard ----
  // Removals are deferred if more than this fraction of the members are suspects or were removed within
  // mass_failure_window.
  double mass_failure_fraction = 0.4;
  Milliseconds mass_failure_window{10'000};
  // A member is removed only if messages of this many other members, or of all others in a smaller fleet,
  // arrived since its suspicion began.
  std::size_t min_recent_senders = 3;
  // Upper bound of the time for which a mass failure defers removals. While messages of fewer than
  // min_recent_senders members arrive, removals are deferred without an upper bound.
  Milliseconds max_removal_deferral{60'000};

  // ---- Bounds of the member table ----
  // How long a dead member stays in the table.
  Milliseconds dead_member_retention{600'000};
  std::size_t max_members = 4096;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
