// Who is in the member table: bounds its size, and forgets dead members after some time.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBER_RETENTION_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBER_RETENTION_H_

#include <vector>

#include "decide/membership/broadcast_queue.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_actions.h"
#include "decide/membership/membership_options.h"
#include "decide/membership/tombstones.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object.
class MemberRetention {
 public:
  MemberRetention(const MembershipOptions& options, MemberTable& table, BroadcastQueue& broadcasts,
                  ActionSink& actions);

  // Starts the timer.
  void Begin(Milliseconds now);
  // Adds a member that is not in the table; if the table is full, a dead one gives way. Returns null if there
  // is no room.
  Member* Add(Milliseconds now, const MemberRecord& record);
  // Whether the record is about a member that was forgotten, and no newer than what was known then.
  [[nodiscard]] bool IsForgotten(const MemberRecord& record) const { return tombstones_.Covers(record); }

  // Forgets members that have been dead for longer than MembershipOptions::dead_member_retention.
  void Tick(Milliseconds now);
  [[nodiscard]] Milliseconds next_deadline() const { return next_deadline_; }

 private:
  [[nodiscard]] bool IsFull() const { return table_.size() >= options_.max_members; }
  // Forgets the expired members; if there are none and the table is full, the one dead for longest.
  void Expire(Milliseconds now);
  [[nodiscard]] std::vector<Member*> ExpiredMembers(Milliseconds now) const;
  [[nodiscard]] Member* LongestDeadMember() const;
  void Evict(Member& member);

  const MembershipOptions& options_;
  MemberTable& table_;
  BroadcastQueue& broadcasts_;
  ActionSink& actions_;
  Tombstones tombstones_;
  Milliseconds next_deadline_{0};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBER_RETENTION_H_
