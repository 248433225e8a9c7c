// Defers the removal of members while many members fail at once: a network partition, or a fault of this
// node's own link, appears to this node as the failure of many other members.
//
// A suspect is removed only if both conditions hold:
// - Since its suspicion began, messages of at least MembershipOptions::min_recent_senders other members
// arrived.
// - At most MembershipOptions::mass_failure_fraction of the members failed, that is, are suspects or were
// removed
//   within MembershipOptions::mass_failure_window. This condition is waived once removals have been deferred
//   for longer than MembershipOptions::max_removal_deferral.
//
// After the last deferral no member is removed during a grace period of
// MembershipOptions::min_suspicion_timeout, unless removals have been deferred for longer than
// max_removal_deferral.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MASS_FAILURE_GUARD_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MASS_FAILURE_GUARD_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "decide/membership/member_table.h"
#include "decide/membership/membership_options.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. `options` and `table` must outlive the object.
class MassFailureGuard {
 public:
  MassFailureGuard(const MembershipOptions& options, const MemberTable& table)
      : options_(options), table_(table) {}

  // To be called for each message of a live member. `name`: the member's name.
  void OnMessage(Milliseconds now, const std::string& name);
  // The time since the last message of any member, or none if no message has arrived yet.
  [[nodiscard]] std::optional<Milliseconds> TimeSinceLastMessage(Milliseconds now) const;

  enum class Verdict {
    kRemove,
    kDefer,        // Too many members failed, or too few others sent messages: defer the removal.
    kGracePeriod,  // The last deferral was a short time ago: decide again at GracePeriodEnd().
  };
  // Drops the removals that are older than MembershipOptions::mass_failure_window. To be called before
  // Decide().
  void ExpireRemovals(Milliseconds now);
  // Decides whether to remove a suspect whose suspicion has timed out.
  [[nodiscard]] Verdict Decide(Milliseconds now, const Member& suspect) const;
  [[nodiscard]] Milliseconds GracePeriodEnd() const;

  // Defers the removal of a member. Returns whether no removal was deferred before.
  bool Defer(Milliseconds now, Member& member);
  // Ends the deferral of the member's removal, if there is one. Returns whether this ended the last deferral.
  bool EndDeferral(Member& member);
  // To be called when a member was removed.
  void OnRemoved(Milliseconds now) { removals_.push_back(now); }

  [[nodiscard]] bool is_deferring() const { return deferred_ > 0; }
  // The time since removals began to be deferred. If none is deferred now, the time since the start of the
  // latest period in which removals were deferred.
  [[nodiscard]] Milliseconds TimeSinceDeferralStart(Milliseconds now) const { return now - deferring_since_; }

 private:
  struct RecentSender {
    Milliseconds last_message_at{0};
    std::string name;
  };

  // Whether the conditions for a removal hold, apart from the grace period.
  [[nodiscard]] bool MayRemove(Milliseconds now, const Member& suspect) const;
  // The number of members other than `excluded` that sent a message after `since`.
  [[nodiscard]] std::size_t CountRecentSenders(Milliseconds since, const std::string& excluded) const;

  const MembershipOptions& options_;
  const MemberTable& table_;
  std::vector<RecentSender> recent_senders_;  // The latest sender first, each member at most once.
  std::deque<Milliseconds> removals_;         // Times of the removals within the window, the oldest first.
  std::size_t deferred_ = 0;                  // Members whose removal is deferred.
  Milliseconds deferring_since_{0};
  Milliseconds last_deferral_{-1e9};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MASS_FAILURE_GUARD_H_
