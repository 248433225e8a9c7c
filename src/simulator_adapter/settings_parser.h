// Turns the path=value lines of open_instance into Settings. Pure translation.
#ifndef HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
#define HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_

#include <string_view>

#include "hingelink/server_policy.h"

namespace hingelink::simulator_adapter {

// Throws WireError that names the line or the key at fault. Unknown keys are skipped.
Settings ParseSettings(std::string_view text);

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
