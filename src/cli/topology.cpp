#include "cli/topology.h"

#include <hwloc.h>

#include <memory>
#include <stdexcept>
#include <type_traits>

namespace hingelink::cli {

std::vector<decide::ProcessingUnit> AllowedUnits() {
  hwloc_topology_t made = nullptr;
  if (hwloc_topology_init(&made) != 0) throw std::runtime_error("--pin: the cores cannot be told");
  const std::unique_ptr<std::remove_pointer_t<hwloc_topology_t>, decltype(&hwloc_topology_destroy)> topology(
      made, &hwloc_topology_destroy);
  if (hwloc_topology_load(made) != 0) throw std::runtime_error("--pin: the cores cannot be told");
  const std::unique_ptr<std::remove_pointer_t<hwloc_bitmap_t>, decltype(&hwloc_bitmap_free)> mine(
      hwloc_bitmap_alloc(), &hwloc_bitmap_free);
  // Where it was started on a part of the machine, that part is all there is.
  if (hwloc_get_cpubind(made, mine.get(), HWLOC_CPUBIND_PROCESS) != 0) hwloc_bitmap_fill(mine.get());
  std::vector<decide::ProcessingUnit> units;
  for (hwloc_obj_t unit = nullptr;
       (unit = hwloc_get_next_obj_by_type(made, HWLOC_OBJ_PU, unit)) != nullptr;) {
    if (hwloc_bitmap_isset(mine.get(), unit->os_index) == 0) continue;
    const hwloc_obj_t core = hwloc_get_ancestor_obj_by_type(made, HWLOC_OBJ_CORE, unit);
    unsigned node = 0;
    for (hwloc_obj_t each = nullptr;
         (each = hwloc_get_next_obj_by_type(made, HWLOC_OBJ_NUMANODE, each)) != nullptr;) {
      if (hwloc_bitmap_isset(each->cpuset, unit->os_index) != 0) node = each->logical_index;
    }
    // A machine that tells of no cores has one for each unit, as far as anyone knows.
    units.push_back({.os_index = unit->os_index,
                     .core = core != nullptr ? core->logical_index : unit->logical_index,
                     .numa_node = node});
  }
  return units;
}

}  // namespace hingelink::cli
