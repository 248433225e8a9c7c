// Parses settings as path=value lines, in which the simulator and the node's configuration file give them.
// The keys are mapped to the members of Settings in settings_parser.cpp and nowhere else.
#ifndef HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
#define HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_

#include <string_view>

#include "hingelink/server_policy.h"

namespace hingelink::simulator_adapter {

// Unknown keys are skipped. Throws SettingsError that names the line or the key. Does not check whether the
// settings contradict themselves; see Settings::Validate().
Settings ParseSettings(std::string_view text);

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
