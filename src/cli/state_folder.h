// Where an appliance keeps its state, and the names in it.
#ifndef HINGELINK_CLI_STATE_FOLDER_H_
#define HINGELINK_CLI_STATE_FOLDER_H_

#include <cstdlib>
#include <string>

namespace hingelink::cli {

inline constexpr char kNodeSocket[] = "control.sock";  // Leads to the socket of the node that serves.
inline constexpr char kSupervisorSocket[] = "supervisor.sock";

inline std::string DefaultStateFolder() {
  if (const char* state = std::getenv("XDG_STATE_HOME"); state != nullptr && *state != '\0') {
    return std::string(state) + "/hingelink";
  }
  if (const char* home = std::getenv("HOME"); home != nullptr && *home != '\0') {
    return std::string(home) + "/.local/state/hingelink";
  }
  return "/var/lib/hingelink";
}

}  // namespace hingelink::cli

#endif  // HINGELINK_CLI_STATE_FOLDER_H_
