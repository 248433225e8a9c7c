#include "decide/load_balancing/subsetting.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

#include "decide/load_balancing/subset_matching.h"

namespace hingelink::decide {
namespace {

using Indexes = SubsetMatching::Indexes;

// Remainders are rounded to multiples of the inverse, so that rounding errors do not order equal remainders.
constexpr double kRemainderPrecision = 1e9;
// Hashed with the names of nodes to decide which nodes of a zone get one more endpoint than the others.
constexpr std::string_view kOddSlotSalt = "odd";

std::uint64_t HashOf(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

Indexes AllIndexes(std::size_t count) {
  Indexes indexes(count);
  std::iota(indexes.begin(), indexes.end(), 0U);
  return indexes;
}

double TotalCapacity(const Indexes& indexes, const std::vector<SubsetEndpoint>& endpoints) {
  double capacity = 0;
  for (const std::uint32_t index : indexes) capacity += endpoints[index].capacity;
  return capacity;
}

// Gives `nodes` slots, the maximum, to each endpoint whose share by capacity is at least that large, and
// removes it from `open`. Returns whether an endpoint was removed; the shares of the others are then larger.
bool AssignFullEndpoints(std::size_t nodes, const std::vector<SubsetEndpoint>& endpoints, Indexes& open,
                         std::vector<std::size_t>& slots, std::size_t& slots_left) {
  const double slots_per_capacity = static_cast<double>(slots_left) / TotalCapacity(open, endpoints);
  const std::size_t removed = std::erase_if(open, [&](std::uint32_t index) {
    if (endpoints[index].capacity * slots_per_capacity < static_cast<double>(nodes)) return false;
    slots[index] = nodes;
    slots_left -= nodes;
    return true;
  });
  return removed > 0;
}

// Distributes the slots among the endpoints in `open` by capacity. The method of largest remainders rounds
// the shares to whole slots.
void AssignByRemainders(const std::vector<SubsetEndpoint>& endpoints, const Indexes& open,
                        std::vector<std::size_t>& slots, std::size_t slots_left) {
  const double capacity = TotalCapacity(open, endpoints);
  const auto total = static_cast<double>(slots_left);
  std::vector<std::tuple<double, std::uint64_t, std::uint32_t>> remainders;
  for (const std::uint32_t index : open) {
    const double share = total * endpoints[index].capacity / capacity;
    slots[index] = static_cast<std::size_t>(share);
    slots_left -= slots[index];
    // Equal remainders are ordered by a hash, which does not depend on the number of nodes.
    remainders.emplace_back(std::round((share - std::floor(share)) * kRemainderPrecision),
                            HashOf(endpoints[index].name), index);
  }
  std::sort(remainders.begin(), remainders.end(), std::greater<>());
  for (std::size_t i = 0; i < slots_left; ++i) ++slots[std::get<2>(remainders[i])];
}

// The indexes of the nodes and endpoints of one zone.
struct Zone {
  Indexes nodes;
  Indexes endpoints;
};

std::map<std::string_view, Zone> GroupByZone(const std::vector<SubsetNode>& nodes,
                                             const std::vector<SubsetEndpoint>& endpoints) {
  std::map<std::string_view, Zone> zones;
  for (std::uint32_t i = 0; i < nodes.size(); ++i) zones[nodes[i].zone].nodes.push_back(i);
  for (std::uint32_t i = 0; i < endpoints.size(); ++i) zones[endpoints[i].zone].endpoints.push_back(i);
  return zones;
}

// Returns the number of endpoints of its own zone that each node of the zone gets. If the zone has too few
// slots, they are shared evenly, and a hash of the names decides which nodes get one more.
std::vector<std::size_t> WantedInZone(const std::vector<SubsetNode>& nodes, const Zone& zone,
                                      const SubsetMatching& matching, std::size_t size) {
  std::size_t slots = 0;
  for (const std::uint32_t endpoint : zone.endpoints) slots += matching.free_slots(endpoint);
  const std::size_t max_wanted = std::min(size, zone.endpoints.size());
  std::vector<std::size_t> wanted(zone.nodes.size(), std::min(max_wanted, slots / zone.nodes.size()));
  if (wanted.front() >= max_wanted) return wanted;
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  for (std::size_t i = 0; i < zone.nodes.size(); ++i) {
    order.emplace_back(RendezvousHash(nodes[zone.nodes[i]].name, kOddSlotSalt), i);
  }
  std::sort(order.begin(), order.end());
  for (std::size_t i = 0; i < slots % zone.nodes.size(); ++i) ++wanted[order[i].second];
  return wanted;
}

}  // namespace

std::uint64_t RendezvousHash(std::string_view node, std::string_view endpoint) {
  return XXH3_64bits_withSeed(node.data(), node.size(), HashOf(endpoint));
}

std::vector<std::size_t> SlotsPerEndpoint(std::size_t nodes, const std::vector<SubsetEndpoint>& endpoints,
                                          std::size_t size) {
  std::vector<std::size_t> slots(endpoints.size(), 0);
  std::size_t slots_left = nodes * std::min(size, endpoints.size());
  Indexes open = AllIndexes(endpoints.size());
  while (!open.empty() && AssignFullEndpoints(nodes, endpoints, open, slots, slots_left)) {
  }
  AssignByRemainders(endpoints, open, slots, slots_left);
  return slots;
}

std::vector<std::vector<std::uint32_t>> AssignSubsets(const std::vector<SubsetNode>& nodes,
                                                      const std::vector<SubsetEndpoint>& endpoints,
                                                      std::size_t size) {
  size = std::min(size, endpoints.size());
  SubsetMatching matching(nodes, endpoints, SlotsPerEndpoint(nodes.size(), endpoints, size));
  for (const auto& [name, zone] : GroupByZone(nodes, endpoints)) {
    if (zone.nodes.empty() || zone.endpoints.empty()) continue;
    matching.Match(zone.nodes, zone.endpoints, WantedInZone(nodes, zone, matching, size));
  }
  const Indexes all_nodes = AllIndexes(nodes.size());
  std::vector<std::size_t> missing;
  for (const std::uint32_t node : all_nodes) missing.push_back(size - matching.assigned_count(node));
  matching.Match(all_nodes, AllIndexes(endpoints.size()), std::move(missing));
  return matching.ReleaseAssigned();
}

}  // namespace hingelink::decide
