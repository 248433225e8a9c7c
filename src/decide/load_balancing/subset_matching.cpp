#include "decide/load_balancing/subset_matching.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hingelink::decide {
namespace {

// The number of endpoints that a node considers in the matching is this multiple of the number it wants, plus
// kMinConsidered. The limit bounds the pairs to be sorted. Endpoints still missing after the matching are
// assigned one at a time.
constexpr std::size_t kConsideredPerWanted = 3;
constexpr std::size_t kMinConsidered = 8;

// A possible exchange: another node takes an endpoint with a free slot and releases one of its endpoints.
struct ExchangeCandidate {
  bool is_set = false;
  std::uint64_t preference = 0;  // Mean preference of both nodes for their new endpoints.
  std::uint32_t other_node = 0;
  std::uint32_t taken_by_other = 0;
  std::uint32_t released_by_other = 0;
};

}  // namespace

SubsetMatching::SubsetMatching(const std::vector<SubsetNode>& nodes,
                               const std::vector<SubsetEndpoint>& endpoints,
                               const std::vector<std::size_t>& slots)
    : endpoint_count_(endpoints.size()),
      free_slots_(slots),
      assigned_(nodes.size()),
      preferences_(nodes.size() * endpoints.size()) {
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    for (std::size_t endpoint = 0; endpoint < endpoints.size(); ++endpoint) {
      preferences_[node * endpoint_count_ + endpoint] =
          RendezvousHash(nodes[node].name, endpoints[endpoint].name);
    }
  }
}

std::uint64_t SubsetMatching::Preference(std::uint32_t node, std::uint32_t endpoint) const {
  return preferences_[node * endpoint_count_ + endpoint];
}

bool SubsetMatching::IsAssigned(std::uint32_t node, std::uint32_t endpoint) const {
  const Indexes& assigned = assigned_[node];
  return std::find(assigned.begin(), assigned.end(), endpoint) != assigned.end();
}

void SubsetMatching::Assign(std::uint32_t node, std::uint32_t endpoint) {
  assigned_[node].push_back(endpoint);
  --free_slots_[endpoint];
}

std::vector<SubsetMatching::Pair> SubsetMatching::PreferredPairs(
    const Indexes& nodes, const Indexes& endpoints, const std::vector<std::size_t>& wanted) const {
  std::vector<Pair> pairs;
  std::vector<Pair> pairs_of_node;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (wanted[i] == 0) continue;
    pairs_of_node.clear();
    for (const std::uint32_t endpoint : endpoints) {
      if (free_slots_[endpoint] == 0 || IsAssigned(nodes[i], endpoint)) continue;
      pairs_of_node.emplace_back(Preference(nodes[i], endpoint), i, endpoint);
    }
    const std::size_t considered =
        std::min(pairs_of_node.size(), kConsideredPerWanted * wanted[i] + kMinConsidered);
    const auto end = pairs_of_node.begin() + static_cast<std::ptrdiff_t>(considered);
    std::partial_sort(pairs_of_node.begin(), end, pairs_of_node.end(), std::greater<>());
    pairs.insert(pairs.end(), pairs_of_node.begin(), end);
  }
  std::sort(pairs.begin(), pairs.end(), std::greater<>());
  return pairs;
}

void SubsetMatching::Match(const Indexes& nodes, const Indexes& endpoints, std::vector<std::size_t> wanted) {
  for (const auto& [preference, position, endpoint] : PreferredPairs(nodes, endpoints, wanted)) {
    if (wanted[position] == 0 || free_slots_[endpoint] == 0) continue;
    Assign(nodes[position], endpoint);
    --wanted[position];
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    while (wanted[i] > 0 && (AssignPreferred(nodes[i], endpoints) || Exchange(nodes[i], nodes, endpoints))) {
      --wanted[i];
    }
  }
}

bool SubsetMatching::AssignPreferred(std::uint32_t node, const Indexes& endpoints) {
  const std::uint32_t* best = nullptr;
  for (const std::uint32_t& endpoint : endpoints) {
    if (free_slots_[endpoint] == 0 || IsAssigned(node, endpoint)) continue;
    if (best == nullptr || Preference(node, endpoint) > Preference(node, *best)) best = &endpoint;
  }
  if (best == nullptr) return false;
  Assign(node, *best);
  return true;
}

bool SubsetMatching::Exchange(std::uint32_t node, const Indexes& nodes, const Indexes& endpoints) {
  ExchangeCandidate best;
  const auto consider = [&](std::uint32_t other, std::uint32_t taken) {
    for (const std::uint32_t released : assigned_[other]) {
      if (IsAssigned(node, released)) continue;
      const std::uint64_t preference = Preference(other, taken) / 2 + Preference(node, released) / 2;
      if (best.is_set && preference <= best.preference) continue;
      best = {true, preference, other, taken, released};
    }
  };
  for (const std::uint32_t endpoint : endpoints) {
    if (free_slots_[endpoint] == 0) continue;
    for (const std::uint32_t other : nodes) {
      if (other != node && !IsAssigned(other, endpoint)) consider(other, endpoint);
    }
  }
  if (!best.is_set) return false;
  Indexes& of_other = assigned_[best.other_node];
  std::replace(of_other.begin(), of_other.end(), best.released_by_other, best.taken_by_other);
  assigned_[node].push_back(best.released_by_other);
  --free_slots_[best.taken_by_other];
  return true;
}

std::vector<SubsetMatching::Indexes> SubsetMatching::ReleaseAssigned() {
  for (std::uint32_t node = 0; node < assigned_.size(); ++node) {
    std::sort(assigned_[node].begin(), assigned_[node].end(), [&](std::uint32_t left, std::uint32_t right) {
      return Preference(node, left) > Preference(node, right);
    });
  }
  return std::move(assigned_);
}

}  // namespace hingelink::decide
