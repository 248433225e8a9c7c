// Keys of the configuration file for the fields of hingelink::Settings, for error messages.
#ifndef HINGELINK_NODE_SETTINGS_KEYS_H_
#define HINGELINK_NODE_SETTINGS_KEYS_H_

#include <string>
#include <string_view>

namespace hingelink::node {

// The key of a field as Settings::Validate() names it: "specifics.cpus" for "cores",
// "requestClasses.2.hardLimitMs" for "classes[2].deadline_ms". A field without a key of its own is returned
// unchanged.
[[nodiscard]] std::string SettingsKeyOf(std::string_view field);

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_SETTINGS_KEYS_H_
