#include "decide/load_balancing/subsetting.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <tuple>

namespace hingelink::decide {
namespace {

// A node looks at so many times as many services as it needs, the most suited first; what is still open then
// is settled by exchange.
constexpr std::size_t kLook = 3, kLookMore = 8;

class Matching {
 public:
  Matching(const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& services,
           const std::vector<std::size_t>& places)
      : nodes_(nodes), services_(services), left_(places), of_(nodes.size()) {
    std::vector<std::uint64_t> seeds;
    affinity_.resize(nodes.size() * services.size());
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      for (std::size_t s = 0; s < services.size(); ++s)
        affinity_[n * services.size() + s] = RendezvousHash(nodes[n].name, services[s].name);
    }
  }

  // Gives each node so many of the services more; both by place. What has no place left is left out.
  void Match(const std::vector<std::uint32_t>& nodes, const std::vector<std::uint32_t>& services,
             std::vector<std::size_t> wants) {
    using Pair = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
    std::vector<Pair> pairs;
    std::vector<Pair> of_node;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (wants[i] == 0) continue;
      of_node.clear();
      for (const std::uint32_t s : services) {
        if (left_[s] > 0 && !Has(nodes[i], s)) of_node.emplace_back(AffinityOf(nodes[i], s), i, s);
      }
      const std::size_t look = std::min(of_node.size(), kLook * wants[i] + kLookMore);
      std::partial_sort(of_node.begin(), of_node.begin() + static_cast<std::ptrdiff_t>(look), of_node.end(),
                        std::greater<>());
      pairs.insert(pairs.end(), of_node.begin(), of_node.begin() + static_cast<std::ptrdiff_t>(look));
    }
    std::sort(pairs.begin(), pairs.end(), std::greater<>());
    for (const auto& [affinity, i, s] : pairs) {
      if (wants[i] == 0 || left_[s] == 0) continue;
      Give(nodes[i], s);
      --wants[i];
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      while (wants[i] > 0 && (Take(nodes[i], services) || Exchange(nodes[i], nodes, services))) --wants[i];
    }
  }

  std::size_t left(std::uint32_t service) const { return left_[service]; }
  std::size_t has(std::uint32_t node) const { return of_[node].size(); }

  std::vector<std::vector<std::uint32_t>> TakeAll() {
    for (std::uint32_t n = 0; n < of_.size(); ++n) {
      std::sort(of_[n].begin(), of_[n].end(),
                [&](std::uint32_t a, std::uint32_t b) { return AffinityOf(n, a) > AffinityOf(n, b); });
    }
    return std::move(of_);
  }

 private:
  std::uint64_t AffinityOf(std::uint32_t node, std::uint32_t service) const {
    return affinity_[node * services_.size() + service];
  }
  bool Has(std::uint32_t node, std::uint32_t service) const {
    return std::find(of_[node].begin(), of_[node].end(), service) != of_[node].end();
  }
  void Give(std::uint32_t node, std::uint32_t service) {
    of_[node].push_back(service);
    --left_[service];
  }
  // The most suited one that still has a place.
  bool Take(std::uint32_t node, const std::vector<std::uint32_t>& services) {
    const std::uint32_t* best = nullptr;
    for (const std::uint32_t& s : services) {
      if (left_[s] == 0 || Has(node, s)) continue;
      if (best == nullptr || AffinityOf(node, s) > AffinityOf(node, *best)) best = &s;
    }
    if (best != nullptr) Give(node, *best);
    return best != nullptr;
  }
  // All that have a place left are its own already: another node takes one of those, and gives up one that
  // this node has not. Of all ways the one that the two like best.
  bool Exchange(std::uint32_t node, const std::vector<std::uint32_t>& nodes,
                const std::vector<std::uint32_t>& services) {
    std::uint64_t best = 0;
    std::uint32_t from = 0, free = 0, taken = 0;
    bool found = false;
    for (const std::uint32_t s : services) {
      if (left_[s] == 0) continue;
      for (const std::uint32_t other : nodes) {
        if (other == node || Has(other, s)) continue;
        for (const std::uint32_t t : of_[other]) {
          if (Has(node, t)) continue;
          const std::uint64_t value = AffinityOf(other, s) / 2 + AffinityOf(node, t) / 2;
          if (found && value <= best) continue;
          found = true;
          best = value;
          from = other;
          free = s;
          taken = t;
        }
      }
    }
    if (!found) return false;
    std::replace(of_[from].begin(), of_[from].end(), taken, free);
    of_[node].push_back(taken);
    --left_[free];
    return true;
  }

  const std::vector<SubsetNode>& nodes_;
  const std::vector<SubsetEndpoint>& services_;
  std::vector<std::size_t> left_;
  std::vector<std::vector<std::uint32_t>> of_;
  std::vector<std::uint64_t> affinity_;
};

}  // namespace

std::uint64_t RendezvousHash(std::string_view node, std::string_view service) {
  return XXH3_64bits_withSeed(node.data(), node.size(), XXH3_64bits(service.data(), service.size()));
}

std::vector<std::size_t> SlotsPerEndpoint(std::size_t nodes, const std::vector<SubsetEndpoint>& services,
                                          std::size_t size) {
  std::vector<std::size_t> places(services.size(), 0);
  size = std::min(size, services.size());
  std::size_t left = nodes * size;
  // Who would have more places than there are nodes has all of them, and the others share the rest.
  std::vector<std::uint32_t> open(services.size());
  std::iota(open.begin(), open.end(), 0U);
  for (bool filled = true; filled && !open.empty();) {
    filled = false;
    double capacity = 0;
    for (const std::uint32_t s : open) capacity += services[s].capacity;
    const double each = static_cast<double>(left) / capacity;
    std::erase_if(open, [&](std::uint32_t s) {
      if (services[s].capacity * each < static_cast<double>(nodes)) return false;
      places[s] = nodes;
      left -= nodes;
      filled = true;
      return true;
    });
  }
  double capacity = 0;
  for (const std::uint32_t s : open) capacity += services[s].capacity;
  const std::size_t shared = left;
  std::vector<std::tuple<double, std::uint64_t, std::uint32_t>> rests;
  for (const std::uint32_t s : open) {
    const double exact = static_cast<double>(shared) * services[s].capacity / capacity;
    places[s] = static_cast<std::size_t>(exact);
    left -= places[s];
    // Equal rests in an order of their own, which does not change with the number of nodes.
    rests.emplace_back(std::round((exact - std::floor(exact)) * 1e9),
                       XXH3_64bits(services[s].name.data(), services[s].name.size()), s);
  }
  std::sort(rests.begin(), rests.end(), std::greater<>());
  for (std::size_t i = 0; i < left; ++i) ++places[std::get<2>(rests[i])];
  return places;
}

std::vector<std::vector<std::uint32_t>> AssignSubsets(const std::vector<SubsetNode>& nodes,
                                                      const std::vector<SubsetEndpoint>& services,
                                                      std::size_t size) {
  size = std::min(size, services.size());
  Matching matching(nodes, services, SlotsPerEndpoint(nodes.size(), services, size));
  std::map<std::string_view, std::pair<std::vector<std::uint32_t>, std::vector<std::uint32_t>>> zones;
  for (std::uint32_t n = 0; n < nodes.size(); ++n) zones[nodes[n].zone].first.push_back(n);
  for (std::uint32_t s = 0; s < services.size(); ++s) zones[services[s].zone].second.push_back(s);
  for (const auto& [name, zone] : zones) {
    const auto& [of_nodes, of_services] = zone;
    if (of_nodes.empty() || of_services.empty()) continue;
    std::size_t places = 0;
    for (const std::uint32_t s : of_services) places += matching.left(s);
    // A zone that is short shares its places evenly; who has the odd ones goes by name.
    const std::size_t most = std::min(size, of_services.size());
    std::vector<std::size_t> wants(of_nodes.size(), std::min(most, places / of_nodes.size()));
    if (wants.front() < most) {
      std::vector<std::pair<std::uint64_t, std::size_t>> order;
      for (std::size_t i = 0; i < of_nodes.size(); ++i)
        order.emplace_back(RendezvousHash(nodes[of_nodes[i]].name, "odd"), i);
      std::sort(order.begin(), order.end());
      for (std::size_t i = 0; i < places % of_nodes.size(); ++i) ++wants[order[i].second];
    }
    matching.Match(of_nodes, of_services, std::move(wants));
  }
  std::vector<std::uint32_t> all_nodes(nodes.size()), all_services(services.size());
  std::iota(all_nodes.begin(), all_nodes.end(), 0U);
  std::iota(all_services.begin(), all_services.end(), 0U);
  std::vector<std::size_t> wants;
  for (const std::uint32_t n : all_nodes) wants.push_back(size - matching.has(n));
  matching.Match(all_nodes, all_services, std::move(wants));
  return matching.TakeAll();
}

}  // namespace hingelink::decide
