// The appliance's configuration: deploy/appliance.json, by the schema deploy/schema/appliance.json.
#ifndef HINGELINK_APPLIANCE_CONFIG_H_
#define HINGELINK_APPLIANCE_CONFIG_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "decide/supervision/supervisor.h"

namespace hingelink::appliance {

// Every fault of the file at once, a line each.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(std::vector<std::string> faults);
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

struct Config {
  nlohmann::ordered_json node;    // But for `pool`, `ops` and `seed`, which change from start to start.
  std::vector<std::string> pool;  // Starts take them in turn: two processes at an upgrade need one each.
  std::vector<std::string> ops;   // Likewise; empty where there is no second address.
  std::size_t threads = 1;        // Of each node, in all.
  bool pin = false;               // Each thread to a core of its own.
  bool learned = true;            // What a node learns is kept for the next one.
  nlohmann::ordered_json peers;   // By deploy/schema/peers.json; null where the node joins nobody.
  std::string log_format = "text", log_level = "info";
  std::size_t log_bytes = 1 << 20, log_keep = 5;
  decide::SupervisorOptions supervisor;

  // The configuration of one start, in the platform's form.
  std::string NodeJson(std::uint64_t generation, std::uint64_t seed) const;
};

// Throws ConfigError.
Config ParseConfig(const std::string& text);
Config ReadConfig(const std::string& path);

}  // namespace hingelink::appliance

#endif  // HINGELINK_APPLIANCE_CONFIG_H_
