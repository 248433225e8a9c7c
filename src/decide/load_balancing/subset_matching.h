// Matches nodes with endpoints by mutual preference. The slots of an endpoint limit how many nodes use it.
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

  // `slots`: for each endpoint, the number of nodes that may use it.
  SubsetMatching(const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& endpoints,
                 const std::vector<std::size_t>& slots);

  // Assigns further endpoints, chosen from `endpoints`, to each of `nodes`. `wanted`: the number of endpoints
  // to assign to each node, in the order of `nodes`. A node gets fewer if there are not enough slots.
  void Match(const Indexes& nodes, const Indexes& endpoints, std::vector<std::size_t> wanted);

  [[nodiscard]] std::size_t free_slots(std::uint32_t endpoint) const { return free_slots_[endpoint]; }
  [[nodiscard]] std::size_t assigned_count(std::uint32_t node) const { return assigned_[node].size(); }

  // Returns the endpoints of each node in descending preference. To be called once, at the end.
  [[nodiscard]] std::vector<Indexes> ReleaseAssigned();

 private:
  // Preference, position of the node in Match(), endpoint.
  using Pair = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;

  // Returns the most preferred pairs of the nodes that want endpoints, in descending preference.
  [[nodiscard]] std::vector<Pair> PreferredPairs(const Indexes& nodes, const Indexes& endpoints,
                                                 const std::vector<std::size_t>& wanted) const;
  // Assigns to the node the endpoint that it prefers among those with free slots. Returns false if there is
  // none.
  bool AssignPreferred(std::uint32_t node, const Indexes& endpoints);
  // Assigns one more endpoint to a node to which all endpoints with free slots are already assigned. Another
  // of `nodes` takes one of these endpoints and releases an endpoint for this node. Of all such exchanges,
  // the most preferred one is made. Returns false if there is none.
  bool Exchange(std::uint32_t node, const Indexes& nodes, const Indexes& endpoints);

  [[nodiscard]] std::uint64_t Preference(std::uint32_t node, std::uint32_t endpoint) const;
  [[nodiscard]] bool IsAssigned(std::uint32_t node, std::uint32_t endpoint) const;
  void Assign(std::uint32_t node, std::uint32_t endpoint);

  std::size_t endpoint_count_;
  std::vector<std::size_t> free_slots_;     // Indexed by endpoint.
  std::vector<Indexes> assigned_;           // Indexed by node.
  std::vector<std::uint64_t> preferences_;  // Indexed by node and endpoint.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_SUBSET_MATCHING_H_
