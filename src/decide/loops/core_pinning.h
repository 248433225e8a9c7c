// Plans which cores the threads of a node are pinned to. The caller reads the topology of the machine and
// pins the threads.
#ifndef HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_
#define HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_

#include <cstddef>
#include <string>
#include <vector>

namespace hingelink::decide {

// A hardware thread. A core has one or more; they share the core's execution units, so each does not count as
// a core.
struct ProcessingUnit {
  unsigned os_index = 0;
  unsigned core = 0;       // Number of the core, unique over all NUMA nodes.
  unsigned numa_node = 0;  // The NUMA node that the core belongs to.
};

struct CorePinningPlan {
  // OS indexes of the processing units that each thread may use, the main thread first. Empty if no thread is
  // pinned.
  std::vector<std::vector<unsigned>> units;
  // One line for the operator: the decision, and any lack of cores.
  std::string description;
};

// Plans the pinning of `threads` threads. The first is the node's main thread; the others run event loops.
// `allowed`: the processing units that the process may use.
//
// The main thread gets a core of its own, since it is the first thread to saturate. The event loops get cores
// on the same NUMA node if possible, and share cores if there are too few. A thread is pinned to all allowed
// units of its core.
[[nodiscard]] CorePinningPlan PlanCorePinning(const std::vector<ProcessingUnit>& allowed,
                                              std::size_t threads);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_
