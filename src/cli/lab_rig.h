// What a rig needs of the rooms above it: the program's own sample configuration, and its control sockets.
#ifndef HINGELINK_CLI_LAB_RIG_H_
#define HINGELINK_CLI_LAB_RIG_H_

#include <string>

#include "lab/rig/rig.h"

namespace hingelink::cli {

// `folder` must be there.
lab::RigOptions ProgramsRig(const std::string& program, const std::string& folder);

}  // namespace hingelink::cli

#endif  // HINGELINK_CLI_LAB_RIG_H_
