// Assigns the threads of a node to cores. The caller reads the topology of the machine and binds the threads.
#ifndef HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_
#define HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_

#include <cstddef>
#include <string>
#include <vector>

namespace hingelink::decide {

// A hardware thread. Units of the same core share its execution units and do not count as cores.
struct ProcessingUnit {
  unsigned os_index = 0;
  unsigned core = 0;       // Unique over all NUMA nodes.
  unsigned numa_node = 0;  // The one with local memory.
};

struct CorePinningPlan {
  // OS indexes of the units that each thread may use, the main thread first. Empty: no thread is bound.
  std::vector<std::vector<unsigned>> units;
  // One line for the operator: what was decided, and what is missing.
  std::string description;
};

// Plans `threads` threads, of which the first is the node's main thread and the others run event loops.
// `allowed`: the units that the process may use. The main thread gets a core of its own, since it is the
// first to saturate; the loops get cores close to it and share them if there are too few. A thread is bound
// to all units of its core.
[[nodiscard]] CorePinningPlan PlanCorePinning(const std::vector<ProcessingUnit>& allowed,
                                              std::size_t threads);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_
