// The machine's cores, for `serve --pin`.
#ifndef HINGELINK_CLI_TOPOLOGY_H_
#define HINGELINK_CLI_TOPOLOGY_H_

#include <vector>

#include "decide/loops/core_pinning.h"

namespace hingelink::cli {

// What this process may run on. Throws std::runtime_error where that cannot be told.
std::vector<decide::ProcessingUnit> AllowedUnits();

}  // namespace hingelink::cli

#endif  // HINGELINK_CLI_TOPOLOGY_H_
