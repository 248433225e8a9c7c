// The configuration of an appliance, such as deploy/appliance.json. Its schema is
// deploy/schema/appliance.json.
#ifndef HINGELINK_APPLIANCE_CONFIG_H_
#define HINGELINK_APPLIANCE_CONFIG_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "decide/supervision/supervisor.h"

namespace hingelink::appliance {

// Holds all errors of the file, one line each.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(std::vector<std::string> faults);
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

struct Config {
  // The node's settings without `pool`, `ops` and `seed`, which differ between starts of the node.
  nlohmann::ordered_json node;
  // Worker pool addresses. Successive node processes (generations) alternate between them, because during an
  // upgrade two processes run at the same time, and each needs its own address.
  std::vector<std::string> pool;
  // Addresses of the ops endpoint, used in the same way. Empty if the file has no `ops`.
  std::vector<std::string> ops;
  std::size_t threads = 1;       // Total number of threads of a node process.
  bool pin = false;              // Whether each thread is pinned to its own core.
  bool learned = true;           // Whether learned state is kept for the next node process.
  nlohmann::ordered_json peers;  // Schema: deploy/schema/peers.json. Null if the node does not join a fleet.
  std::string log_format = "text", log_level = "info";
  std::size_t log_bytes = 1 << 20, log_keep = 5;
  decide::SupervisorOptions supervisor;

  // Returns the node's configuration file for one generation, as JSON text.
  std::string NodeJson(std::uint64_t generation, std::uint64_t seed) const;
};

// Parses and validates the text of a configuration file. Throws ConfigError with all errors found.
Config ParseConfig(const std::string& text);
// Reads the file at `path` and the gossip keys file that it names. Throws ConfigError.
Config ReadConfig(const std::string& path);

}  // namespace hingelink::appliance

#endif  // HINGELINK_APPLIANCE_CONFIG_H_
