#include "decide/loops/core_pinning.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace hingelink::decide {
namespace {

struct Core {
  unsigned numa_node = 0;
  unsigned number = 0;
  std::vector<unsigned> units;
};

std::map<unsigned, Core> GroupByCore(const std::vector<ProcessingUnit>& allowed) {
  std::map<unsigned, Core> by_number;  // By core number.
  for (const ProcessingUnit& unit : allowed) {
    Core& core = by_number[unit.core];
    core.numa_node = unit.numa_node;
    core.number = unit.core;
    core.units.push_back(unit.os_index);
  }
  return by_number;
}

// Returns the cores grouped by NUMA node. The node with the most cores comes first, so that threads that
// communicate share local memory where possible.
std::vector<Core> OrderedCores(const std::vector<ProcessingUnit>& allowed) {
  std::map<unsigned, std::size_t> cores_on_node;
  std::vector<Core> cores;
  for (auto& [number, core] : GroupByCore(allowed)) {
    std::sort(core.units.begin(), core.units.end());
    ++cores_on_node[core.numa_node];
    cores.push_back(std::move(core));
  }
  std::sort(cores.begin(), cores.end(), [&cores_on_node](const Core& left, const Core& right) {
    return std::make_tuple(cores_on_node[right.numa_node], left.numa_node, left.number) <
           std::make_tuple(cores_on_node[left.numa_node], right.numa_node, right.number);
  });
  return cores;
}

std::string Plural(std::size_t count, const char* noun) {
  return std::to_string(count) + ' ' + noun + (count == 1 ? "" : "s");
}

std::string DescribePinned(const std::vector<Core>& cores, std::size_t threads) {
  const std::size_t used = std::min(threads, cores.size());
  std::string text = Plural(threads, "thread") + " on " + Plural(used, "core");
  if (threads > cores.size()) text += ": loops share cores; fewer threads would give the same throughput";
  const bool spans_nodes =
      std::any_of(cores.begin(), cores.begin() + static_cast<std::ptrdiff_t>(used),
                  [&cores](const Core& core) { return core.numa_node != cores[0].numa_node; });
  if (spans_nodes) text += "; some cores are far from the main thread's memory (on another NUMA node)";
  return text;
}

}  // namespace

CorePinningPlan PlanCorePinning(const std::vector<ProcessingUnit>& allowed, std::size_t threads) {
  CorePinningPlan plan;
  if (threads < 2) {
    plan.description = "not pinned: there is only one thread";
    return plan;
  }
  const std::vector<Core> cores = OrderedCores(allowed);
  // Threads that are all pinned to one core would only wait for each other.
  if (cores.size() < 2) {
    plan.description = "not pinned: " + Plural(cores.size(), "core") + " for " + Plural(threads, "thread") +
                       "; at least 2 cores are needed";
    return plan;
  }
  plan.units.push_back(cores[0].units);
  for (std::size_t loop = 0; loop + 1 < threads; ++loop) {
    plan.units.push_back(cores[1 + loop % (cores.size() - 1)].units);
  }
  plan.description = DescribePinned(cores, threads);
  return plan;
}

}  // namespace hingelink::decide
