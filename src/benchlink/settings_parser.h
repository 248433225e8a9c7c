// Turns the path=value lines of open_instance into Settings. Pure translation.
#ifndef HINGELINK_BENCHLINK_SETTINGS_PARSER_H_
#define HINGELINK_BENCHLINK_SETTINGS_PARSER_H_

#include <string_view>

#include "hingelink/server_policy.h"

namespace hingelink::benchlink {

// Throws WireError that names the line or the key at fault. Unknown keys are skipped.
Settings ParseSettings(std::string_view text);

}  // namespace hingelink::benchlink

#endif  // HINGELINK_BENCHLINK_SETTINGS_PARSER_H_
