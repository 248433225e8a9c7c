// Subsetting assigns to each node the subset of the shared endpoints that it uses. Every node computes the
// same assignment from the same lists, so that the nodes exchange no messages for it.
//
// With N nodes that use k endpoints each, every endpoint gets its share of the N*k slots by capacity, within
// one slot. Nodes use endpoints of their own zone as far as these have slots. A node or endpoint that joins
// or leaves changes few assignments of the others, because pairs are matched in the order of their rendezvous
// hash. This is a stable matching (Gale and Shapley) where node and endpoint have equal preferences.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_SUBSETTING_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_SUBSETTING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hingelink::decide {

// The names of nodes are unique, and so are the names of endpoints.
struct SubsetNode {
  std::string name;
  std::string zone;
  bool operator==(const SubsetNode&) const = default;
};
struct SubsetEndpoint {
  std::string name;
  std::string zone;
  double capacity = 1;  // Above 0, in any unit.
  bool operator==(const SubsetEndpoint&) const = default;
};

// Returns the mutual preference of a node and an endpoint. The result is the same on every machine.
[[nodiscard]] std::uint64_t RendezvousHash(std::string_view node, std::string_view endpoint);

// Returns the number of slots of each endpoint. They add up to `nodes` * `size`, where `size` is limited to
// the number of endpoints. The method of largest remainders keeps each number within one of the endpoint's
// exact share by capacity. An endpoint has at most `nodes` slots.
[[nodiscard]] std::vector<std::size_t> SlotsPerEndpoint(std::size_t nodes,
                                                        const std::vector<SubsetEndpoint>& endpoints,
                                                        std::size_t size);

// Returns the subset of each node: `size` indexes into `endpoints`, in descending preference. For N nodes, M
// endpoints and k = `size`, the hashes take O(N*M) and the matching takes O(N*k*log(N*k)).
[[nodiscard]] std::vector<std::vector<std::uint32_t>> AssignSubsets(
    const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& endpoints, std::size_t size);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_SUBSETTING_H_
