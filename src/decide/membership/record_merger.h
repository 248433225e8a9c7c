// Merges the records that other nodes send into this node's view.
//
// Records are ordered by version; a greater version always replaces a lesser one. Within a version a
// suspicion or a death replaces what is better (SWIM, section 4.2). Messages may be lost, repeated and
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

  // Records with fields out of bounds are ignored.
  void Merge(Milliseconds now, const MemberRecord& record);

 private:
  void MergeUnknown(Milliseconds now, const MemberRecord& record);
  void MergeNewer(Milliseconds now, Member& member, const MemberRecord& record);
  void MergeSameVersion(Milliseconds now, Member& member, const MemberRecord& record);
  // Reports what a newer record of a live member or of one that returns means.
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
