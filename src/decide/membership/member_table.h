// The other members of the fleet, and the order in which they are probed.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBER_TABLE_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decide/membership/member.h"
#include "decide/membership/view_digest.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide::membership {

// The suspicion of a member. Owned by SuspicionTimers, except for the accusers.
struct Suspicion {
  Milliseconds deadline{0};
  Milliseconds earliest_deadline{0};  // Confirmations do not shorten the timeout below this.
  Milliseconds timer{0};              // When the timer fires: for the final probe, then at the deadline.
  bool is_final_probe_done = false;
  std::vector<std::string> accusers;
};

// The position in a BroadcastQueue: transmissions so far, then the order of enqueuing.
using BroadcastPosition = std::pair<unsigned, std::uint64_t>;

struct Member {
  MemberRecord record;
  Milliseconds state_since{0};
  Milliseconds last_message_at{-1};  // Its own last message; negative: there was none.
  Suspicion suspicion;
  bool is_removal_deferred = false;            // Owned by MassFailureGuard.
  std::optional<BroadcastPosition> broadcast;  // Owned by BroadcastQueue.
  std::size_t probe_index = 0;                 // Owned by MemberTable.
};

// Not thread-safe. All references must outlive the object; `digest` includes all records of the table.
class MemberTable {
 public:
  MemberTable(const RandomSource& random, ViewDigest& digest) : random_(random), digest_(digest) {}

  // Null if there is no such member.
  [[nodiscard]] Member* Find(const std::string& name) const;
  // Adds a member whose name is not in the table, at a random place of the current probe round.
  Member& Add(Milliseconds now, const MemberRecord& record);
  void Remove(const Member& member);
  // Replaces the record of a member.
  void Update(Milliseconds now, Member& member, const MemberRecord& record);

  // The next live member of the probe round, or null. Each round probes all members once in random order
  // (SWIM, section 4.3: round-robin probe target selection).
  [[nodiscard]] Member* NextProbeTarget();

  using Predicate = std::function<bool(const Member&)>;
  // A random member that matches, other than `excluded`; null if a few draws find none.
  [[nodiscard]] const Member* PickRandom(const Predicate& matches, const std::string& excluded = {}) const;

  // All members, dead ones included, in the order of the probe round.
  [[nodiscard]] const std::vector<Member*>& members() const { return probe_order_; }
  // Calls `visit` for all members, beginning at a random one, until it returns false.
  void VisitFromRandom(const std::function<bool(const Member&)>& visit) const;

  [[nodiscard]] std::size_t size() const { return probe_order_.size(); }
  [[nodiscard]] std::size_t alive() const { return alive_; }
  [[nodiscard]] std::size_t suspects() const { return suspects_; }
  // Alive ones, suspects and this node.
  [[nodiscard]] std::size_t live_members() const { return 1 + alive_ + suspects_; }

 private:
  void CountIn(const MemberRecord& record);
  void CountOut(const MemberRecord& record);
  // Swaps two members of the probe order.
  void Swap(std::size_t left, std::size_t right);
  void ShuffleProbeOrder();

  const RandomSource& random_;
  ViewDigest& digest_;
  std::unordered_map<std::string, std::unique_ptr<Member>> by_name_;
  std::vector<Member*> probe_order_;
  std::size_t next_probe_ = 0;
  std::size_t alive_ = 0;
  std::size_t suspects_ = 0;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBER_TABLE_H_
