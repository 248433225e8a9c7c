#include "decide/membership/member_retention.h"

namespace hingelink::decide::membership {
namespace {

constexpr Milliseconds kExpiryInterval{5'000};
// Capacity for tombstones, as a multiple of MembershipOptions::max_members.
constexpr std::size_t kTombstonesPerMember = 2;

}  // namespace

MemberRetention::MemberRetention(const MembershipOptions& options, MemberTable& table,
                                 BroadcastQueue& broadcasts, ActionSink& actions)
    : options_(options),
      table_(table),
      broadcasts_(broadcasts),
      actions_(actions),
      tombstones_(kTombstonesPerMember * options.max_members) {}

void MemberRetention::Begin(Milliseconds now) { next_deadline_ = now + kExpiryInterval; }

Member* MemberRetention::Add(Milliseconds now, const MemberRecord& record) {
  if (IsFull()) Expire(now);
  if (IsFull()) {
    ++actions_.counters().table_full;
    return nullptr;
  }
  return &table_.Add(now, record);
}

void MemberRetention::Tick(Milliseconds now) {
  if (now >= next_deadline_) Expire(now);
}

void MemberRetention::Expire(Milliseconds now) {
  next_deadline_ = now + kExpiryInterval;
  std::vector<Member*> expired = ExpiredMembers(now);
  if (expired.empty() && IsFull()) {
    Member* longest_dead = LongestDeadMember();
    if (longest_dead != nullptr) expired.push_back(longest_dead);
  }
  for (Member* member : expired) Evict(*member);
  tombstones_.EnforceCapacity();
}

std::vector<Member*> MemberRetention::ExpiredMembers(Milliseconds now) const {
  std::vector<Member*> expired;
  for (Member* member : table_.members()) {
    if (IsLive(member->record.state)) continue;
    if (now - member->state_since > options_.dead_member_retention) expired.push_back(member);
  }
  return expired;
}

Member* MemberRetention::LongestDeadMember() const {
  Member* longest = nullptr;
  for (Member* member : table_.members()) {
    if (IsLive(member->record.state)) continue;
    if (longest == nullptr || member->state_since < longest->state_since) longest = member;
  }
  return longest;
}

void MemberRetention::Evict(Member& member) {
  tombstones_.Add(member.record);
  broadcasts_.Remove(member);
  table_.Remove(member);
}

}  // namespace hingelink::decide::membership
