// The configuration with which a node joins its fleet: the file of `serve --peers`, described by
// deploy/schema/peers.json.
#ifndef HINGELINK_FLEET_FLEET_CONFIG_H_
#define HINGELINK_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace hingelink::fleet {

// Thrown for an invalid file. The text has one line for each error, which names the file, the place in it and
// what is expected.
class FleetConfigError : public std::runtime_error {
 public:
  FleetConfigError(std::string path, const std::vector<std::string>& errors);
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

struct FleetConfig {
  std::string listen;              // The UDP address to bind, for example 10.0.0.4:7946.
  std::string advertise;           // The address that other nodes send to; `listen` if empty.
  std::string keys;                // The path of the key file.
  std::string zone;                // May be empty.
  std::vector<std::string> seeds;  // Addresses of members through which the node joins.
  std::uint16_t weight = 1;
};

// Throws FleetConfigError, and std::invalid_argument for a seed that is not an address.
[[nodiscard]] FleetConfig ReadFleetConfig(const std::string& path);

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_FLEET_CONFIG_H_
