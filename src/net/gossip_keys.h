// The keys that authenticate the datagrams between nodes.
#ifndef HINGELINK_NET_GOSSIP_KEYS_H_
#define HINGELINK_NET_GOSSIP_KEYS_H_

#include <array>
#include <stdexcept>
#include <string>
#include <vector>

namespace hingelink::net {

using GossipKey = std::array<unsigned char, 32>;

// A key file that cannot be used. The text names the file, the line and what is wanted.
class GossipKeyError : public std::runtime_error {
 public:
  GossipKeyError(const std::string& path, const std::string& fault)
      : std::runtime_error(path + fault), path_(path) {}
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Initializes libsodium. Throws std::runtime_error if there is no source of random numbers.
void InitializeSodium();

// Reads a file with one key a line, 64 hex digits each: the first one signs, both are accepted. Throws
// GossipKeyError.
std::vector<GossipKey> ReadGossipKeys(const std::string& path);
// A new random key, as a line of such a file. Throws as InitializeSodium().
[[nodiscard]] std::string GenerateGossipKey();

}  // namespace hingelink::net

#endif  // HINGELINK_NET_GOSSIP_KEYS_H_
