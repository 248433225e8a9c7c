// Maps the fields of hingelink::Settings to keys of the configuration file, for error messages.
#ifndef HINGELINK_NODE_SETTINGS_KEYS_H_
#define HINGELINK_NODE_SETTINGS_KEYS_H_

#include <string>
#include <string_view>

namespace hingelink::node {

// Returns the key of a field that Settings::Validate() names: "specifics.cpus" for "cores",
// "requestClasses.2.hardLimitMs" for "classes[2].deadline_ms". A field without a key of its own is returned
// unchanged.
[[nodiscard]] std::string SettingsKeyOf(std::string_view field);

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_SETTINGS_KEYS_H_
