// Which cores each thread of a node runs on. No I/O: the caller reads the topology and binds the threads.
#ifndef HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_
#define HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_

#include <cstddef>
#include <string>
#include <vector>

namespace hingelink::decide {

// What the system schedules on. Those of one core share its execution units: they are no cores of their own.
struct ProcessingUnit {
  unsigned os_index = 0;
  unsigned core = 0;       // Of the machine: no two cores of different nodes share a number.
  unsigned numa_node = 0;  // Whose memory is near.
};

struct CorePinningPlan {
  // For each thread, the deciding one first, the units it may run on. Empty where nothing is to be bound.
  std::vector<std::vector<unsigned>> units;
  // One line for the operator: what was done, and what it lacks.
  std::string description;
};

// `allowed`: the units that the process may use. The deciding thread gets a core for itself before any loop
// does, as it is the first to be full; loops get cores near it, and share what is left where there are too
// few. A thread is bound to all units of its core.
CorePinningPlan PlanCorePinning(const std::vector<ProcessingUnit>& allowed, std::size_t threads);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOOPS_CORE_PINNING_H_
