// The keys that the platform's settings have for the module's fields, for messages to who wrote the file.
#ifndef HINGELINK_NODE_SETTINGS_KEYS_H_
#define HINGELINK_NODE_SETTINGS_KEYS_H_

#include <string>
#include <string_view>

namespace hingelink::node {

// `field` as Settings::Validate() names it, such as "cores" or "classes[2].deadline_ms": here
// "specifics.cpus" and "requestClasses.2.hardLimitMs". A field that has no key of its own is given back as it
// is.
std::string SettingsKeyOf(std::string_view field);

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_SETTINGS_KEYS_H_
