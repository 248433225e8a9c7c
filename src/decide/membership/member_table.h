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

// The suspicion of a member. MemberLifecycle resets it and adds the accusers; SuspicionTimers sets the other
// fields.
struct Suspicion {
  Milliseconds deadline{0};
  Milliseconds earliest_deadline{0};  // Confirmations do not move the deadline before this time.
  Milliseconds timer{0};  // When the timer fires: first for the final probe, then at the deadline.
  bool is_final_probe_done = false;
  std::vector<std::string> accusers;  // Names of the nodes that suspect the member, the first one first.
};

// The position in a BroadcastQueue: the number of transmissions so far, then a number that grows with each
// insertion.
using BroadcastPosition = std::pair<unsigned, std::uint64_t>;

// A member other than this node, with the data that the components of Membership keep for it.
struct Member {
  MemberRecord record;
  Milliseconds state_since{0};       // When the state in the record last changed.
  Milliseconds last_message_at{-1};  // When its last message arrived; negative if none has arrived.
  Suspicion suspicion;
  bool is_removal_deferred = false;            // Written by MassFailureGuard only.
  std::optional<BroadcastPosition> broadcast;  // Written by BroadcastQueue only.
  std::size_t probe_index = 0;                 // The index in the probe order. Written by MemberTable only.
};

// Owns the members. Not thread-safe. All references must outlive the object. Keeps `digest` up to date with
// the records of the table.
class MemberTable {
 public:
  MemberTable(const RandomSource& random, ViewDigest& digest) : random_(random), digest_(digest) {}

  // Returns null if there is no member of this name.
  [[nodiscard]] Member* Find(const std::string& name) const;
  // Adds a member whose name is not in the table, at a random position of the probe order.
  Member& Add(Milliseconds now, const MemberRecord& record);
  void Remove(const Member& member);
  // Replaces the record of a member.
  void Update(Milliseconds now, Member& member, const MemberRecord& record);

  // Returns the next live member in the probe order, or null if there is none. Each round visits all members
  // once and in a new random order (SWIM, section 4.3: round-robin probe target selection).
  [[nodiscard]] Member* NextProbeTarget();

  using Predicate = std::function<bool(const Member&)>;
  // Returns a random member that matches and is not named `excluded`. Returns null if a fixed number of draws
  // finds none, even if there is such a member.
  [[nodiscard]] const Member* PickRandom(const Predicate& matches, const std::string& excluded = {}) const;

  // All members, dead ones included, in probe order.
  [[nodiscard]] const std::vector<Member*>& members() const { return probe_order_; }
  // Calls `visit` for all members, beginning at a random member, until `visit` returns false.
  void VisitFromRandom(const std::function<bool(const Member&)>& visit) const;

  [[nodiscard]] std::size_t size() const { return probe_order_.size(); }
  [[nodiscard]] std::size_t alive() const { return alive_; }
  [[nodiscard]] std::size_t suspects() const { return suspects_; }
  // The number of alive members and suspects, plus one for this node.
  [[nodiscard]] std::size_t live_members() const { return 1 + alive_ + suspects_; }

 private:
  // Add the record to the counts and the digest, or remove it from them.
  void AddToTotals(const MemberRecord& record);
  void RemoveFromTotals(const MemberRecord& record);
  // Swaps two members of the probe order, given by their indices.
  void Swap(std::size_t left, std::size_t right);
  void ShuffleProbeOrder();

  const RandomSource& random_;
  ViewDigest& digest_;
  std::unordered_map<std::string, std::unique_ptr<Member>> by_name_;
  std::vector<Member*> probe_order_;
  std::size_t next_probe_ = 0;  // The index in the probe order of the next member to probe.
  std::size_t alive_ = 0;
  std::size_t suspects_ = 0;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBER_TABLE_H_
