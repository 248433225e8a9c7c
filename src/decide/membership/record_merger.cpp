#include "decide/membership/record_merger.h"

namespace hingelink::decide::membership {
namespace {

bool IsWithinBounds(const MemberRecord& record) {
  if (record.name.empty() || record.name.size() > kMaxNameBytes) return false;
  return record.zone.size() <= kMaxZoneBytes && record.accuser.size() <= kMaxNameBytes;
}

// Returns the record in state kAlive and without an accuser, as the member itself announces it.
MemberRecord WithoutSuspicion(MemberRecord record) {
  record.state = MemberState::kAlive;
  record.accuser.clear();
  return record;
}

}  // namespace

void RecordMerger::Merge(Milliseconds now, const MemberRecord& record) {
  if (!IsWithinBounds(record)) return;
  if (record.name == self_.name()) {
    self_.OnRecord(now, record);
    return;
  }
  Member* member = table_.Find(record.name);
  if (member == nullptr) {
    MergeUnknown(now, record);
  } else if (record.version < member->record.version) {
    ++actions_.counters().stale_records;
  } else if (record.version > member->record.version) {
    MergeNewer(now, *member, record);
  } else {
    MergeSameVersion(now, *member, record);
  }
}

void RecordMerger::MergeUnknown(Milliseconds now, const MemberRecord& record) {
  if (retention_.IsEvicted(record)) {
    ++actions_.counters().stale_records;
    return;
  }
  if (!IsLive(record.state) || record.phase == MemberPhase::kLeft) return;
  Member* member = retention_.Add(now, WithoutSuspicion(record));
  if (member == nullptr) return;
  actions_.MarkViewChanged();
  broadcasts_.Enqueue(*member);
  actions_.Report(MembershipEventKind::kMemberJoined, record.name);
  if (record.state == MemberState::kSuspect) lifecycle_.Suspect(now, *member, record.accuser);
}

void RecordMerger::MergeNewer(Milliseconds now, Member& member, const MemberRecord& record) {
  const MemberState state_before = member.record.state;
  const bool has_left = record.phase == MemberPhase::kLeft;
  if (!IsLive(record.state) && IsLive(state_before) && !has_left) {
    // Another node declared this newer version dead. Merges the version as alive, and lets this node's mass
    // failure guard decide on the removal.
    MemberRecord alive = record;
    alive.state = MemberState::kAlive;
    lifecycle_.Update(now, member, alive);
    lifecycle_.DeclareDead(now, member);
    return;
  }
  if (state_before == MemberState::kSuspect) ++actions_.counters().withdrawn_suspicions;
  ReportReplacement(now, member, record);
  MemberRecord merged = record.state == MemberState::kSuspect ? WithoutSuspicion(record) : record;
  if (has_left && IsLive(merged.state)) {
    merged.state = MemberState::kDead;
    if (IsLive(state_before)) actions_.Report(MembershipEventKind::kMemberLeft, record.name);
  }
  lifecycle_.Update(now, member, merged);
  broadcasts_.Enqueue(member);
  if (record.state == MemberState::kSuspect) lifecycle_.Suspect(now, member, record.accuser);
}

void RecordMerger::ReportReplacement(Milliseconds now, const Member& member, const MemberRecord& record) {
  const MemberState state_before = member.record.state;
  const double ms_in_state = (now - member.state_since).count();
  const bool is_live = IsLive(record.state) && record.phase != MemberPhase::kLeft;
  if (!IsLive(state_before) && is_live) {
    ++actions_.counters().returned;
    actions_.Report(MembershipEventKind::kMemberReturned, record.name, ms_in_state);
  } else if (record.version.process_epoch > member.record.version.process_epoch) {
    actions_.Report(MembershipEventKind::kMemberRestarted, record.name);
  } else if (state_before == MemberState::kSuspect) {
    actions_.Report(MembershipEventKind::kSuspicionWithdrawn, record.name, ms_in_state);
  }
}

void RecordMerger::MergeSameVersion(Milliseconds now, Member& member, const MemberRecord& record) {
  if (!IsLive(member.record.state)) return;
  if (record.state == MemberState::kSuspect) lifecycle_.Suspect(now, member, record.accuser);
  if (!IsLive(record.state)) lifecycle_.DeclareDead(now, member);
}

}  // namespace hingelink::decide::membership
