// Matches nodes with endpoints by mutual preference, within the slots of the endpoints.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_SUBSET_MATCHING_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_SUBSET_MATCHING_H_

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

#include "decide/load_balancing/subsetting.h"

namespace hingelink::decide {

// Nodes and endpoints are given by index. Not thread-safe.
class SubsetMatching {
 public:
  using Indexes = std::vector<std::uint32_t>;

  // `slots`: nodes that may use each endpoint.
  SubsetMatching(const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& endpoints,
                 const std::vector<std::size_t>& slots);

  // Assigns further endpoints out of `endpoints` to each of `nodes`: as many as `wanted` has for it, or fewer
  // if the slots do not suffice.
  void Match(const Indexes& nodes, const Indexes& endpoints, std::vector<std::size_t> wanted);

  [[nodiscard]] std::size_t free_slots(std::uint32_t endpoint) const { return free_slots_[endpoint]; }
  [[nodiscard]] std::size_t assigned_count(std::uint32_t node) const { return assigned_[node].size(); }

  // Returns the endpoints of each node in descending preference. To be called once, at the end.
  [[nodiscard]] std::vector<Indexes> ReleaseAssigned();

 private:
  // Preference, position of the node in Match(), endpoint.
  using Pair = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;

  // The best pairs of the nodes that want endpoints, in descending preference.
  [[nodiscard]] std::vector<Pair> PreferredPairs(const Indexes& nodes, const Indexes& endpoints,
                                                 const std::vector<std::size_t>& wanted) const;
  // Assigns the preferred one of the endpoints with free slots. Returns false if there is none.
  bool AssignPreferred(std::uint32_t node, const Indexes& endpoints);
  // For a node that already has all endpoints with free slots: another node takes one of these and leaves an
  // endpoint to this node. The preferred such exchange is made. Returns false if there is none.
  bool Exchange(std::uint32_t node, const Indexes& nodes, const Indexes& endpoints);

  [[nodiscard]] std::uint64_t Preference(std::uint32_t node, std::uint32_t endpoint) const;
  [[nodiscard]] bool IsAssigned(std::uint32_t node, std::uint32_t endpoint) const;
  void Assign(std::uint32_t node, std::uint32_t endpoint);

  std::size_t endpoint_count_;
  std::vector<std::size_t> free_slots_;     // By endpoint.
  std::vector<Indexes> assigned_;           // By node.
  std::vector<std::uint64_t> preferences_;  // By node and endpoint.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_SUBSET_MATCHING_H_
