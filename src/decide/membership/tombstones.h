// Versions of members that were removed from the table, so that a late message does not bring them back.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_TOMBSTONES_H_
#define HINGELINK_DECIDE_MEMBERSHIP_TOMBSTONES_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "decide/membership/member.h"

namespace hingelink::decide::membership {

// Not thread-safe.
class Tombstones {
 public:
  explicit Tombstones(std::size_t capacity) : capacity_(capacity) {}

  // Remembers the last version of a member that is removed.
  void Add(const MemberRecord& record) {
    if (versions_.insert_or_assign(record.name, record.version).second) order_.push_back(record.name);
  }
  // Forgets the oldest ones beyond the capacity.
  void EnforceCapacity() {
    while (order_.size() > capacity_) {
      versions_.erase(order_.front());
      order_.pop_front();
    }
  }

  // Whether the record is no newer than the member was when it was removed.
  [[nodiscard]] bool Covers(const MemberRecord& record) const {
    const auto found = versions_.find(record.name);
    return found != versions_.end() && record.version <= found->second;
  }

 private:
  std::size_t capacity_;
  std::unordered_map<std::string, MemberVersion> versions_;
  std::deque<std::string> order_;  // The oldest first.
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_TOMBSTONES_H_
