#include "decide/load_balancing/subsetting.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "balanced_node.h"

namespace hingelink::decide {
namespace {

using Subsets = std::vector<std::vector<std::uint32_t>>;

std::vector<std::size_t> CountUses(const Subsets& subsets, std::size_t endpoints) {
  std::vector<std::size_t> uses(endpoints, 0);
  for (const auto& subset : subsets) {
    for (const std::uint32_t endpoint : subset) ++uses[endpoint];
  }
  return uses;
}

struct RandomFleet {
  std::vector<SubsetNode> nodes;
  std::vector<SubsetEndpoint> endpoints;
  std::size_t subset_size = 1;
};

RandomFleet DrawFleet() {
  RandomFleet fleet;
  const auto nodes = *rc::gen::inRange<std::size_t>(1, 60);
  const auto node_zones = *rc::gen::inRange<std::size_t>(1, 4);
  fleet.subset_size = *rc::gen::inRange<std::size_t>(1, 12);
  fleet.nodes = MakeNodes(nodes, node_zones);
  const auto endpoints = *rc::gen::inRange<std::size_t>(1, 30);
  fleet.endpoints = MakeEndpoints(endpoints, *rc::gen::inRange<std::size_t>(1, 4));
  for (SubsetEndpoint& endpoint : fleet.endpoints) endpoint.capacity = *rc::gen::inRange(1, 4);
  return fleet;
}

RC_GTEST_PROP(Subsetting, EachNodeHasSubsetSizeDistinctEndpoints, ()) {
  const RandomFleet fleet = DrawFleet();
  const std::size_t expected = std::min(fleet.subset_size, fleet.endpoints.size());
  for (const auto& subset : AssignSubsets(fleet.nodes, fleet.endpoints, fleet.subset_size)) {
    RC_ASSERT(subset.size() == expected);
    RC_ASSERT(std::set<std::uint32_t>(subset.begin(), subset.end()).size() == subset.size());
  }
}

RC_GTEST_PROP(Subsetting, NumberOfNodesOfEachEndpointEqualsItsSlots, ()) {
  const RandomFleet fleet = DrawFleet();
  const auto subsets = AssignSubsets(fleet.nodes, fleet.endpoints, fleet.subset_size);
  RC_ASSERT(CountUses(subsets, fleet.endpoints.size()) ==
            SlotsPerEndpoint(fleet.nodes.size(), fleet.endpoints, fleet.subset_size));
}

RC_GTEST_PROP(Subsetting, SlotsAreProportionalToCapacityWithinOne, ()) {
  const RandomFleet fleet = DrawFleet();
  const std::size_t nodes = fleet.nodes.size();
  const auto slots = SlotsPerEndpoint(nodes, fleet.endpoints, fleet.subset_size);
  // Endpoints that all nodes use have fewer slots than their share by capacity. The others share the rest.
  double capacity = 0;
  std::size_t shared = 0;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    if (slots[i] == nodes) continue;
    capacity += fleet.endpoints[i].capacity;
    shared += slots[i];
  }
  for (std::size_t i = 0; i < slots.size(); ++i) {
    if (slots[i] == nodes) continue;
    const double share = static_cast<double>(shared) * fleet.endpoints[i].capacity / capacity;
    RC_ASSERT(std::abs(static_cast<double>(slots[i]) - share) < 1 + 1e-6);
  }
}

using NamePairs = std::set<std::pair<std::string, std::string>>;

constexpr std::size_t kSubsetSize = 8;
constexpr std::size_t kEndpoints = 40;

NamePairs PairsOf(const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& endpoints) {
  NamePairs pairs;
  const auto subsets = AssignSubsets(nodes, endpoints, kSubsetSize);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    for (const std::uint32_t endpoint : subsets[i]) pairs.emplace(nodes[i].name, endpoints[endpoint].name);
  }
  return pairs;
}

// A fleet to which one node or endpoint is added, or from which one is removed. The parameter is its number
// of nodes.
class SubsettingChange : public testing::TestWithParam<std::size_t> {
 protected:
  // Returns the number of pairs of the unchanged fleet that the changed fleet does not have.
  std::size_t CountMoved(const std::vector<SubsetNode>& nodes,
                         const std::vector<SubsetEndpoint>& endpoints) const {
    const NamePairs after = PairsOf(nodes, endpoints);
    const NamePairs before = PairsOf(nodes_, endpoints_);
    return static_cast<std::size_t>(
        std::count_if(before.begin(), before.end(), [&](const auto& pair) { return !after.contains(pair); }));
  }

  const std::size_t node_count_ = GetParam();
  const std::vector<SubsetNode> nodes_ = MakeNodes(GetParam());
  const std::vector<SubsetEndpoint> endpoints_ = MakeEndpoints(kEndpoints);
};

INSTANTIATE_TEST_SUITE_P(FleetSizes, SubsettingChange, testing::Values(10, 50, 300));

TEST_P(SubsettingChange, AddingANodeMovesFewPairs) {
  auto nodes = nodes_;
  nodes.push_back({"new", "z0"});
  // Pairs move only where the number of slots of an endpoint changes, by one.
  EXPECT_LE(CountMoved(nodes, endpoints_), 4 * kSubsetSize);
}

TEST_P(SubsettingChange, RemovingANodeMovesFewPairsOfOtherNodes) {
  auto nodes = nodes_;
  nodes.erase(nodes.begin() + 3);
  EXPECT_LE(CountMoved(nodes, endpoints_), kSubsetSize + 4 * kSubsetSize);
}

// At least the slots of the removed endpoint have to move. Up to twice as many may move.
TEST_P(SubsettingChange, RemovingAnEndpointMovesFewPairsOfOtherEndpoints) {
  auto endpoints = endpoints_;
  endpoints.erase(endpoints.begin() + 7);
  EXPECT_LE(CountMoved(nodes_, endpoints), node_count_ * kSubsetSize / kEndpoints * 2 + kSubsetSize);
}

TEST_P(SubsettingChange, AddingAnEndpointMovesFewPairsOfOtherEndpoints) {
  auto endpoints = endpoints_;
  endpoints.push_back({"new", "z0", 1});
  EXPECT_LE(CountMoved(nodes_, endpoints), node_count_ * kSubsetSize / (kEndpoints + 1) * 2 + kSubsetSize);
}

TEST(Subsetting, NodesPreferEndpointsOfTheirOwnZone) {
  // Each zone has half of the nodes, but the first zone has only a quarter of the endpoints.
  const auto nodes = MakeNodes(40, 2);
  std::vector<SubsetEndpoint> endpoints;
  for (std::size_t i = 0; i < 20; ++i) endpoints.push_back({"s" + std::to_string(i), i < 5 ? "z0" : "z1", 1});
  const auto subsets = AssignSubsets(nodes, endpoints, 4);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const auto in_zone = std::count_if(subsets[i].begin(), subsets[i].end(), [&](std::uint32_t endpoint) {
      return endpoints[endpoint].zone == nodes[i].zone;
    });
    EXPECT_EQ(in_zone, nodes[i].zone == "z1" ? 4 : 2);
  }
}

}  // namespace
}  // namespace hingelink::decide
