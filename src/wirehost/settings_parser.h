// Turns the path=value lines of open_instance into Settings. Pure translation.
#ifndef WORKSPITCH_WIREHOST_SETTINGS_PARSER_H_
#define WORKSPITCH_WIREHOST_SETTINGS_PARSER_H_

#include <string_view>

#include "workspitch/server_policy.h"

namespace workspitch::wirehost {

// Throws WireError that names the line or the key at fault. Unknown keys are skipped.
Settings ParseSettings(std::string_view text);

}  // namespace workspitch::wirehost

#endif  // WORKSPITCH_WIREHOST_SETTINGS_PARSER_H_
