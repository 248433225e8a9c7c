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

// The cores of the node of memory that has most of them first, so that threads which talk stay near each
// other.
std::vector<Core> CoresOf(const std::vector<ProcessingUnit>& allowed) {
  std::map<unsigned, Core> by_number;
  for (const ProcessingUnit& unit : allowed) {
    Core& core = by_number[unit.core];
    core.numa_node = unit.numa_node;
    core.number = unit.core;
    core.units.push_back(unit.os_index);
  }
  std::map<unsigned, std::size_t> on_node;
  std::vector<Core> cores;
  for (auto& [number, core] : by_number) {
    std::sort(core.units.begin(), core.units.end());
    ++on_node[core.numa_node];
    cores.push_back(std::move(core));
  }
  std::sort(cores.begin(), cores.end(), [&on_node](const Core& a, const Core& b) {
    return std::make_tuple(on_node[b.numa_node], a.numa_node, a.number) <
           std::make_tuple(on_node[a.numa_node], b.numa_node, b.number);
  });
  return cores;
}

std::string Plural(std::size_t count, const char* what) {
  return std::to_string(count) + ' ' + what + (count == 1 ? "" : "s");
}

}  // namespace

CorePinningPlan PlanCorePinning(const std::vector<ProcessingUnit>& allowed, std::size_t threads) {
  CorePinningPlan plan;
  const std::vector<Core> cores = CoresOf(allowed);
  if (threads < 2) {
    plan.description = "one thread is not bound: nothing shares its work";
    return plan;
  }
  // Bound to one core they could only wait for each other where the scheduler may still find room elsewhere.
  if (cores.size() < 2) {
    plan.description = "not bound: " + Plural(cores.size(), "core") + " for " + Plural(threads, "thread");
    return plan;
  }
  plan.units.push_back(cores[0].units);
  for (std::size_t loop = 0; loop + 1 < threads; ++loop) {
    plan.units.push_back(cores[1 + loop % (cores.size() - 1)].units);
  }
  plan.description = Plural(threads, "thread") + " on " + Plural(std::min(threads, cores.size()), "core");
  if (threads > cores.size()) plan.description += ": loops share cores; fewer threads serve as much";
  const std::size_t used = std::min(threads, cores.size());
  const bool far = std::any_of(cores.begin(), cores.begin() + static_cast<std::ptrdiff_t>(used),
                               [&cores](const Core& core) { return core.numa_node != cores[0].numa_node; });
  if (far) plan.description += "; some are far from the deciding thread's memory";
  return plan;
}

}  // namespace hingelink::decide
