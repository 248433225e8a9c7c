// The last versions of members that were evicted from the member table. A late message with a record of such
// a version must not add the member again.
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

  // Stores the last version of an evicted member.
  void Add(const MemberRecord& record) {
    if (versions_.insert_or_assign(record.name, record.version).second) order_.push_back(record.name);
  }
  // Drops the oldest tombstones until the capacity is kept.
  void EnforceCapacity() {
    while (order_.size() > capacity_) {
      versions_.erase(order_.front());
      order_.pop_front();
    }
  }

  // Whether there is a tombstone for the record's member whose version is not less than the record's.
  [[nodiscard]] bool Covers(const MemberRecord& record) const {
    const auto found = versions_.find(record.name);
    return found != versions_.end() && record.version <= found->second;
  }

 private:
  std::size_t capacity_;
  std::unordered_map<std::string, MemberVersion> versions_;
  std::deque<std::string> order_;  // Names of the members, the oldest tombstone first.
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_TOMBSTONES_H_
