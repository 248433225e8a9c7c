// Reads and generates the keys that authenticate gossip datagrams.
#ifndef HINGELINK_NET_GOSSIP_KEYS_H_
#define HINGELINK_NET_GOSSIP_KEYS_H_

#include <array>
#include <stdexcept>
#include <string>
#include <vector>

namespace hingelink::net {

using GossipKey = std::array<unsigned char, 32>;

// Thrown for an unusable key file. The text names the file, the line and what is expected.
class GossipKeyError : public std::runtime_error {
 public:
  GossipKeyError(const std::string& path, const std::string& fault)
      : std::runtime_error(path + fault), path_(path) {}
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Initializes libsodium, once in a process. Throws std::runtime_error if there is no source of random
// numbers.
void InitializeSodium();

// Reads a key file: one key of 64 hexadecimal digits on each line; empty lines and lines that begin with '#'
// are skipped. The file must not be accessible to the group or others, and must hold one or two keys: the
// first signs, both are accepted. Throws GossipKeyError, and what InitializeSodium() throws.
std::vector<GossipKey> ReadGossipKeys(const std::string& path);
// Returns a new random key as a line of a key file. Throws what InitializeSodium() throws.
[[nodiscard]] std::string GenerateGossipKey();

}  // namespace hingelink::net

#endif  // HINGELINK_NET_GOSSIP_KEYS_H_
