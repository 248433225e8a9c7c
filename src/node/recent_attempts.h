// Remembers the ids of executed attempts that have ended, so that no attempt is executed a second time.
#ifndef HINGELINK_NODE_RECENT_ATTEMPTS_H_
#define HINGELINK_NODE_RECENT_ATTEMPTS_H_

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace hingelink::node {

// Not thread-safe.
class RecentAttempts {
 public:
  // Maximum number of remembered ids, which covers many seconds of executions. When it is exceeded, the
  // oldest id is removed.
  static constexpr std::size_t kCapacity = 8192;

  void Add(std::uint64_t attempt_id) {
    if (!ids_.insert(attempt_id).second) return;
    oldest_first_.push_back(attempt_id);
    if (oldest_first_.size() <= kCapacity) return;
    ids_.erase(oldest_first_.front());
    oldest_first_.pop_front();
  }
  [[nodiscard]] bool Contains(std::uint64_t attempt_id) const { return ids_.contains(attempt_id); }
  // Oldest first.
  [[nodiscard]] const std::deque<std::uint64_t>& ids() const { return oldest_first_; }

 private:
  std::deque<std::uint64_t> oldest_first_;
  absl::flat_hash_set<std::uint64_t> ids_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_RECENT_ATTEMPTS_H_
