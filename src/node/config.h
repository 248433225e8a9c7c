// The node's configuration file: a JSON object whose member "settings" has the schema of the simulator
// adapter's settings.
#ifndef HINGELINK_NODE_CONFIG_H_
#define HINGELINK_NODE_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// Reports an invalid configuration. At a reload, the node logs the error and keeps its current configuration.
class ConfigError : public std::runtime_error {
 public:
  // Location and cause of the error. Members that do not apply are empty.
  struct Details {
    std::string file;
    // The path of the key in the file, such as "settings.requestClasses.0.name".
    std::string key;
    // The value found, shortened; empty if the key is missing.
    std::string value;
    // Describes the allowed values.
    std::string allowed;
  };
  // `message`: one line that describes the error.
  explicit ConfigError(const std::string& message, Details details = {})
      : std::runtime_error(message), details_(std::move(details)) {}

  [[nodiscard]] const std::string& file() const { return details_.file; }
  [[nodiscard]] const std::string& key() const { return details_.key; }
  [[nodiscard]] const std::string& value() const { return details_.value; }
  [[nodiscard]] const std::string& allowed() const { return details_.allowed; }
  [[nodiscard]] const Details& details() const { return details_; }

 private:
  Details details_;
};

struct Config {
  std::string name;
  std::string listen_address;
  std::string pool_address;
  std::string registry_address;
  std::string store_address;  // Address of the upstream store; empty: executions make no upstream calls.
  std::string admin_address;  // Address of the admin server; empty: there is no admin server.
  std::uint64_t seed = 0;
  std::chrono::milliseconds drain_timeout{0};  // Time from the drain notice to the kill.
  int max_descriptors = 0;                     // Descriptor limit of all processes of the node together.
  double memory_limit_mb = 64;                 // Memory limit of the process.
  hingelink::Settings settings;
  std::string source_text;  // The JSON text of the whole file.

  // Throws ConfigError if this configuration lacks a key that `running` has, or has a value of another JSON
  // type for that key.
  void CheckAgainst(const Config& running) const;
  // Whether a value differs that a reload does not apply.
  bool NeedsRestart(const Config& running) const {
    return name != running.name || listen_address != running.listen_address ||
           admin_address != running.admin_address || seed != running.seed;
  }
};

// Parses the JSON text of a configuration. Throws ConfigError.
Config ParseConfig(const std::string& json);
// Reads and parses a configuration file. Throws ConfigError, which then also names the file.
Config ReadConfig(const std::string& path);

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_CONFIG_H_
