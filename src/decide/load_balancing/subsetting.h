// Subsetting: which of the endpoints that many nodes share each node uses. Every node computes the same
// assignment from the same lists; nothing is exchanged.
//
// With N nodes that use k endpoints each, every endpoint gets its share of the N*k slots by capacity, within
// one. Nodes use endpoints of their own zone as far as these have slots. A node or endpoint that joins or
// leaves moves few slots of the others: pairs are matched in the order of their rendezvous hash, a stable
// matching (Gale and Shapley) with equal preferences on both sides.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_SUBSETTING_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_SUBSETTING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hingelink::decide {

// Names are unique, among nodes and among endpoints.
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

// The preference of a node and an endpoint for each other, the same on every machine.
[[nodiscard]] std::uint64_t RendezvousHash(std::string_view node, std::string_view endpoint);

// Returns the slots of each endpoint, by largest remainders: `nodes` * `size` in all, each within one of its
// exact share and never above `nodes`. `size` is limited to the number of endpoints.
[[nodiscard]] std::vector<std::size_t> SlotsPerEndpoint(std::size_t nodes,
                                                        const std::vector<SubsetEndpoint>& endpoints,
                                                        std::size_t size);

// Returns for each node its `size` endpoints, as indexes into `endpoints`, in descending preference. Takes
// O(N*M) for the hashes and O(N*k*log(N*k)) for the matching.
[[nodiscard]] std::vector<std::vector<std::uint32_t>> AssignSubsets(
    const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& endpoints, std::size_t size);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_SUBSETTING_H_
