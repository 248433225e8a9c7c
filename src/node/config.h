// The node's configuration: the platform's JSON, whose settings share one schema with the adapter's.
#ifndef HINGELINK_NODE_CONFIG_H_
#define HINGELINK_NODE_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "hingelink/server_policy.h"

namespace hingelink::node {

class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
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
