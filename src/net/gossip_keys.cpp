#include "net/gossip_keys.h"

#include <sodium.h>
#include <sys/stat.h>

#include <fstream>
#include <optional>

namespace hingelink::net {
namespace {

// One key signs. During a key replacement, a second key is accepted as well.
constexpr std::size_t kMaxKeys = 2;

std::optional<GossipKey> ParseKey(const std::string& line) {
  GossipKey key;
  std::size_t bytes = 0;
  const int result =
      sodium_hex2bin(key.data(), key.size(), line.data(), line.size(), nullptr, &bytes, nullptr);
  if (result != 0 || bytes != key.size() || line.size() != 2 * key.size()) return std::nullopt;
  return key;
}

void CheckPermissions(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) == 0 && (status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    throw GossipKeyError(path, ": accessible to the group or to others; expected mode 0600");
  }
}

}  // namespace

void InitializeSodium() {
  static const bool is_ready = sodium_init() >= 0;
  if (!is_ready) throw std::runtime_error("libsodium: no source of random numbers");
}

std::vector<GossipKey> ReadGossipKeys(const std::string& path) {
  InitializeSodium();
  std::ifstream file(path);
  if (!file) throw GossipKeyError(path, ": cannot be read; create a key with 'hingelink fleet key'");
  CheckPermissions(path);
  std::vector<GossipKey> keys;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (line.empty() || line.front() == '#') continue;
    const auto key = ParseKey(line);
    if (!key) {
      throw GossipKeyError(path,
                           " line " + std::to_string(number) + ": not a key; expected 64 hexadecimal digits");
    }
    keys.push_back(*key);
  }
  if (keys.empty()) throw GossipKeyError(path, ": holds no key; create one with 'hingelink fleet key'");
  if (keys.size() > kMaxKeys) {
    throw GossipKeyError(path, ": " + std::to_string(keys.size()) +
                                   " keys; expected one key, or two during a key replacement");
  }
  return keys;
}

std::string GenerateGossipKey() {
  InitializeSodium();
  GossipKey key;
  randombytes_buf(key.data(), key.size());
  std::string text(2 * key.size() + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), key.data(), key.size());
  text.back() = '\n';
  return text;
}

}  // namespace hingelink::net
