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
  std::string listen;
  std::string pool;
  std::string registry;
  std::string store;  // What runs call; empty where none is.
  std::string ops;    // Where operators ask; empty where nowhere.
  std::uint64_t seed = 0;
  std::chrono::milliseconds stop{0};  // From the notice to leave to the kill.
  int sockets = 0;                    // Descriptors that the process may hold.
  double memory_mb = 64;              // That the process may use.
  hingelink::Settings settings;
  std::string text;  // The whole file.

  // Throws ConfigError where this lacks a key that `running` has, or has a value of another kind there.
  void CheckAgainst(const Config& running) const;
  // Whether something differs that holds for the process's whole life.
  bool NeedsRestart(const Config& running) const {
    return name != running.name || listen != running.listen || ops != running.ops || seed != running.seed;
  }
};

// Throws ConfigError with one line that names what is wrong.
Config ParseConfig(const std::string& json);
Config ReadConfig(const std::string& path);

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_CONFIG_H_
