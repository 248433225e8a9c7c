#include "decide/membership/member_table.h"

namespace hingelink::decide::membership {
namespace {

// Upper bound of the random draws in PickRandom().
constexpr int kMaxDraws = 8;

}  // namespace

Member* MemberTable::Find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second.get();
}

Member& MemberTable::Add(Milliseconds now, const MemberRecord& record) {
  auto owned = std::make_unique<Member>();
  Member& member = *owned;
  member.record = record;
  member.state_since = now;
  member.probe_index = probe_order_.size();
  by_name_.emplace(record.name, std::move(owned));
  probe_order_.push_back(&member);
  Swap(member.probe_index, UniformRandom(random_, probe_order_.size()));
  AddToTotals(record);
  return member;
}

void MemberTable::Remove(const Member& member) {
  RemoveFromTotals(member.record);
  Swap(member.probe_index, probe_order_.size() - 1);
  probe_order_.pop_back();
  // A copy, as erase() destroys the member while it still uses the key.
  const std::string name = member.record.name;
  by_name_.erase(name);
}

void MemberTable::Update(Milliseconds now, Member& member, const MemberRecord& record) {
  if (member.record.state != record.state) member.state_since = now;
  RemoveFromTotals(member.record);
  member.record = record;
  AddToTotals(member.record);
}

Member* MemberTable::NextProbeTarget() {
  for (std::size_t attempts = 0; attempts < probe_order_.size(); ++attempts) {
    if (next_probe_ >= probe_order_.size()) {
      next_probe_ = 0;
      ShuffleProbeOrder();
    }
    Member* candidate = probe_order_[next_probe_++];
    if (IsLive(candidate->record.state)) return candidate;
  }
  return nullptr;
}

const Member* MemberTable::PickRandom(const Predicate& matches, const std::string& excluded) const {
  if (probe_order_.empty()) return nullptr;
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    const Member* member = probe_order_[UniformRandom(random_, probe_order_.size())];
    if (member->record.name != excluded && matches(*member)) return member;
  }
  return nullptr;
}

void MemberTable::VisitFromRandom(const std::function<bool(const Member&)>& visit) const {
  const std::size_t first = UniformRandom(random_, probe_order_.size());
  for (std::size_t i = 0; i < probe_order_.size(); ++i) {
    if (!visit(*probe_order_[(first + i) % probe_order_.size()])) return;
  }
}

void MemberTable::AddToTotals(const MemberRecord& record) {
  if (record.state == MemberState::kAlive) ++alive_;
  if (record.state == MemberState::kSuspect) ++suspects_;
  digest_.Toggle(record);
}

void MemberTable::RemoveFromTotals(const MemberRecord& record) {
  if (record.state == MemberState::kAlive) --alive_;
  if (record.state == MemberState::kSuspect) --suspects_;
  digest_.Toggle(record);
}

void MemberTable::Swap(std::size_t left, std::size_t right) {
  std::swap(probe_order_[left], probe_order_[right]);
  probe_order_[left]->probe_index = left;
  probe_order_[right]->probe_index = right;
}

void MemberTable::ShuffleProbeOrder() {
  for (std::size_t last = probe_order_.size() - 1; last > 0; --last) {
    Swap(last, UniformRandom(random_, last + 1));
  }
}

}  // namespace hingelink::decide::membership
