// Parses the settings of the policy from path=value lines. The simulator sends this format, and the node's
// configuration is converted to it. Only settings_parser.cpp maps the keys to the members of Settings.
#ifndef HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
#define HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_

#include <string_view>

#include "hingelink/server_policy.h"

namespace hingelink::simulator_adapter {

// Ignores unknown keys. Throws SettingsError, which names the line or the key, if a line or a value is
// malformed or a required key is missing. Does not check whether the settings are consistent; see
// Settings::Validate().
Settings ParseSettings(std::string_view text);

}  // namespace hingelink::simulator_adapter

#endif  // HINGELINK_SIMULATOR_ADAPTER_SETTINGS_PARSER_H_
