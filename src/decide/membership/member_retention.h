// Bounds the size of the member table, and evicts dead members after a retention time. A tombstone remains of
// each evicted member.
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

  // Starts the timer for the periodic eviction.
  void Begin(Milliseconds now);
  // Adds a member that is not in the table. If the table is full, evicts dead members first. Returns null if
  // the table is full of live members.
  Member* Add(Milliseconds now, const MemberRecord& record);
  // Whether the record's member was evicted, and the record is no newer than the evicted one.
  [[nodiscard]] bool IsEvicted(const MemberRecord& record) const { return tombstones_.Covers(record); }

  // Evicts, at regular intervals, members that have been dead for longer than
  // MembershipOptions::dead_member_retention.
  void Tick(Milliseconds now);
  [[nodiscard]] Milliseconds next_deadline() const { return next_deadline_; }

 private:
  [[nodiscard]] bool IsFull() const { return table_.size() >= options_.max_members; }
  // Evicts the expired members. If there are none and the table is full, evicts the member that has been dead
  // for the longest time.
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
