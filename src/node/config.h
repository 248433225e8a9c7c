// The node's configuration: the platform's JSON, whose settings share one schema with the adapter's.
#ifndef HINGELINK_NODE_CONFIG_H_
#define HINGELINK_NODE_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// An invalid configuration. Thrown at start and while a configuration is read; a node that reloads reports it
// and keeps its own.
class ConfigError : public std::runtime_error {
 public:
  // What is wrong. Parts that do not apply are empty.
  struct Details {
    std::string file;
    // The path of the key in the file, such as "settings.requestClasses.0.name".
    std::string key;
    // The value found, shortened; empty if the key is missing.
    std::string value;
    // The values that the key may have.
    std::string allowed;
  };
  // `message`: one line that names what is wrong.
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
  std::string store_address;  // The upstream store; empty: executions call none.
  std::string admin_address;  // The admin server; empty: none.
  std::uint64_t seed = 0;
  std::chrono::milliseconds drain_timeout{0};  // From the drain notice to the kill.
  int max_descriptors = 0;                     // That the process may hold.
  double memory_limit_mb = 64;                 // Of the process.
  hingelink::Settings settings;
  std::string source_text;  // The whole file.

  // Throws ConfigError where this lacks a key that `running` has, or has a value of another kind there.
  void CheckAgainst(const Config& running) const;
  // Whether something differs that holds for the process's whole life.
  bool NeedsRestart(const Config& running) const {
    return name != running.name || listen_address != running.listen_address ||
           admin_address != running.admin_address || seed != running.seed;
  }
};

// Throws ConfigError with one line that names what is wrong.
Config ParseConfig(const std::string& json);
Config ReadConfig(const std::string& path);

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_CONFIG_H_
