// How a node joins its fleet: the file of `serve --peers`, described by deploy/schema/peers.json.
#ifndef HINGELINK_FLEET_FLEET_CONFIG_H_
#define HINGELINK_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace hingelink::fleet {

// A file that cannot be used. The text names the file, and of each fault the place in it and what is wanted,
// one line a fault.
class FleetConfigError : public std::runtime_error {
 public:
  FleetConfigError(std::string path, const std::vector<std::string>& faults);
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

struct FleetConfig {
  std::string listen;              // The UDP address to bind, as 10.0.0.4:7946.
  std::string advertise;           // The address that other nodes send to; empty: `listen`.
  std::string keys;                // The path of the file with the keys.
  std::string zone;                // May be empty.
  std::vector<std::string> seeds;  // Addresses of nodes to join by.
  std::uint16_t weight = 1;
};

// Throws FleetConfigError, and std::invalid_argument for a seed that is no address.
[[nodiscard]] FleetConfig ReadFleetConfig(const std::string& path);

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_FLEET_CONFIG_H_
