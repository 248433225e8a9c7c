// Merges the records that other nodes send into this node's view.
//
// A record of a greater version replaces one of a lesser version. Within a version, a suspect record replaces
// an alive one, and a dead record replaces both (SWIM, section 4.2). Messages may be lost, duplicated and
// reordered.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_RECORD_MERGER_H_
#define HINGELINK_DECIDE_MEMBERSHIP_RECORD_MERGER_H_

#include "decide/membership/broadcast_queue.h"
#include "decide/membership/local_member.h"
#include "decide/membership/member_lifecycle.h"
#include "decide/membership/member_retention.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_actions.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object.
class RecordMerger {
 public:
  RecordMerger(LocalMember& self, const MemberTable& table, MemberRetention& retention,
               MemberLifecycle& lifecycle, BroadcastQueue& broadcasts, ActionSink& actions)
      : self_(self),
        table_(table),
        retention_(retention),
        lifecycle_(lifecycle),
        broadcasts_(broadcasts),
        actions_(actions) {}

  // Merges a received record. Ignores a record whose name, zone or accuser is out of bounds.
  void Merge(Milliseconds now, const MemberRecord& record);

 private:
  void MergeUnknown(Milliseconds now, const MemberRecord& record);
  void MergeNewer(Milliseconds now, Member& member, const MemberRecord& record);
  void MergeSameVersion(Milliseconds now, Member& member, const MemberRecord& record);
  // Reports the event that a newer record implies: the member returned, restarted or refuted its suspicion.
  void ReportReplacement(Milliseconds now, const Member& member, const MemberRecord& record);

  LocalMember& self_;
  const MemberTable& table_;
  MemberRetention& retention_;
  MemberLifecycle& lifecycle_;
  BroadcastQueue& broadcasts_;
  ActionSink& actions_;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_RECORD_MERGER_H_
