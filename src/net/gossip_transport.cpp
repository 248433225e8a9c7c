#include "net/gossip_transport.h"

#include <sodium.h>
#include <sys/stat.h>
#include <time.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMacAt = 20, kMacBytes = 16;
// So many datagrams at once, and then the loop goes round: requests go first.
constexpr int kBatch = 64;
// Work that may be saved up, and the shortest rest.
constexpr double kSavedUpUs = 20'000;
constexpr auto kRest = 5ms;

void SodiumReady() {
  static const bool ready = sodium_init() >= 0;
  if (!ready) throw std::runtime_error("libsodium: no source of random numbers");
}

void PutNumber(std::string& out, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
}
std::uint64_t GetNumber(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < 8; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

std::array<unsigned char, kMacBytes> MacOf(std::string_view head, std::string_view body,
                                           const GossipKey& key) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, key.data(), key.size(), kMacBytes);
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(head.data()), head.size());
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(body.data()), body.size());
  std::array<unsigned char, kMacBytes> mac;
  crypto_generichash_final(&state, mac.data(), mac.size());
  return mac;
}

double ThreadCpuUs() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) / 1e3;
}

double SecondsSince(Steady::time_point& last) {
  const Steady::time_point now = Steady::now();
  const double seconds = std::chrono::duration<double>(now - last).count();
  last = now;
  return seconds;
}

}  // namespace

std::vector<GossipKey> ReadGossipKeys(const std::string& path) {
  SodiumReady();
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": cannot be read; make one with 'hingelink fleet key'");
  struct stat status {};
  if (stat(path.c_str(), &status) == 0 && (status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    throw std::runtime_error(path + ": others may read or write it; wanted mode 0600");
  std::vector<GossipKey> keys;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (line.empty() || line.front() == '#') continue;
    GossipKey key;
    std::size_t bytes = 0;
    if (sodium_hex2bin(key.data(), key.size(), line.data(), line.size(), nullptr, &bytes, nullptr) != 0 ||
        bytes != key.size() || line.size() != 2 * key.size()) {
      throw std::runtime_error(path + " line " + std::to_string(number) + ": no key; wanted 64 hex digits");
    }
    keys.push_back(key);
  }
  if (keys.empty()) throw std::runtime_error(path + ": no key; make one with 'hingelink fleet key'");
  if (keys.size() > 2)
    throw std::runtime_error(path + ": " + std::to_string(keys.size()) +
                             " keys; wanted one, or two while one is replaced");
  return keys;
}

std::string GenerateGossipKey() {
  SodiumReady();
  GossipKey key;
  randombytes_buf(key.data(), key.size());
  std::string text(2 * key.size() + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), key.data(), key.size());
  text.back() = '\n';
  return text;
}

GossipTransport::GossipTransport(event_base* base, Options options, Hear hear)
    : options_(std::move(options)),
      hear_(std::move(hear)),
      socket_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      rest_(base, [this] { event_add(readable_.get(), nullptr); }) {
  SodiumReady();
  if (bind(socket_.get(), reinterpret_cast<const sockaddr*>(&options_.listen), sizeof options_.listen) != 0)
    throw std::runtime_error(std::string("peers.listen: ") + std::strerror(errno));
  SetKeys(options_.keys);
  randombytes_buf(&sender_id_, sizeof sender_id_);
  bytes_left_ = options_.send_bytes_per_second;
  readable_.reset(event_new(
      base, socket_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<GossipTransport*>(self)->Read(); }, this));
  if (!readable_) throw std::runtime_error("libevent: no event");
  event_priority_set(readable_.get(), kOrdinary);
  event_add(readable_.get(), nullptr);
}

void GossipTransport::SetKeys(std::vector<GossipKey> keys) {
  keys_.clear();
  for (const GossipKey& key : keys) {
    unsigned char hash[crypto_generichash_BYTES];
    crypto_generichash(hash, sizeof hash, key.data(), key.size(), nullptr, 0);
    keys_.push_back({key, hash[0]});
  }
}

void GossipTransport::Send(const sockaddr_in& to, std::string_view body) {
  bytes_left_ = std::min(bytes_left_ + SecondsSince(bytes_refilled_) * options_.send_bytes_per_second,
                         2 * options_.send_bytes_per_second);
  const auto bytes = static_cast<double>(kHeaderBytes + body.size());
  if (keys_.empty() || body.size() > kMaxBodyBytes || bytes_left_ < bytes) {
    ++counters_.unsent;
    return;
  }
  std::string datagram = "HL\x01";
  datagram.push_back(static_cast<char>(keys_.front().name));
  PutNumber(datagram, sender_id_);
  PutNumber(datagram, ++counter_);
  const auto mac = MacOf(datagram, body, keys_.front().key);
  datagram.append(reinterpret_cast<const char*>(mac.data()), mac.size()).append(body);
  if (sendto(socket_.get(), datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&to),
             sizeof to) < 0) {
    ++counters_.unsent;
    return;
  }
  bytes_left_ -= bytes;
  ++counters_.sent;
  counters_.sent_bytes += datagram.size();
}

void GossipTransport::Read() {
  work_left_us_ =
      std::min(work_left_us_ + SecondsSince(refilled_) * 1e6 * options_.max_core_fraction, kSavedUpUs);
  const double began = ThreadCpuUs();
  for (int i = 0; i < kBatch; ++i) {
    // One byte more than may be: what is too long is seen as such.
    char buffer[kHeaderBytes + kMaxBodyBytes + 1];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t bytes =
        recvfrom(socket_.get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (bytes < 0) {
      if (errno == EINTR || errno == ECONNREFUSED) continue;  // What an earlier send came to.
      break;
    }
    Take(from, {buffer, static_cast<std::size_t>(bytes)});
  }
  work_left_us_ -= ThreadCpuUs() - began;
  if (work_left_us_ > 0) return;
  // Guards against a flood that takes the core from the requests.
  ++counters_.read_pauses;
  event_del(readable_.get());
  const auto rest = std::chrono::duration<double, std::micro>(-work_left_us_ / options_.max_core_fraction);
  rest_.After(std::max<Steady::duration>(std::chrono::duration_cast<Steady::duration>(rest), kRest));
}

void GossipTransport::Take(const sockaddr_in& from, std::string_view datagram) {
  if (datagram.size() < kHeaderBytes || datagram.size() > kHeaderBytes + kMaxBodyBytes ||
      !datagram.starts_with("HL\x01")) {
    ++counters_.malformed;
    return;
  }
  const std::string_view head = datagram.substr(0, kMacAt), body = datagram.substr(kHeaderBytes);
  const auto key = std::find_if(keys_.begin(), keys_.end(), [&](const Key& k) {
    if (k.name != static_cast<unsigned char>(head[3])) return false;
    const auto mac = MacOf(head, body, k.key);
    return sodium_memcmp(mac.data(), datagram.data() + kMacAt, kMacBytes) == 0;
  });
  if (key == keys_.end()) {
    ++counters_.unauthenticated;
    return;
  }
  const std::uint64_t sender_id = GetNumber(head.substr(4)), counter = GetNumber(head.substr(12));
  if (sender_id == sender_id_) {
    ++counters_.reflected;
    return;
  }
  if (!Fresh(sender_id, counter)) {
    ++counters_.replayed;
    return;
  }
  ++counters_.received;
  counters_.received_bytes += datagram.size();
  hear_(from, body);
}

bool GossipTransport::Fresh(std::uint64_t sender_id, std::uint64_t counter) {
  if (counter == 0) return false;
  if (!windows_.contains(sender_id) && windows_.size() >= options_.max_replay_windows) {
    const auto quiet = std::min_element(windows_.begin(), windows_.end(), [](const auto& a, const auto& b) {
      return a.second.used < b.second.used;
    });
    windows_.erase(quiet);
  }
  Window& window = windows_[sender_id];
  window.used = ++taken_;
  if (counter + kWindow <= window.newest) return false;
  if (counter > window.newest) {
    // What lies between has not come.
    if (counter - window.newest >= kWindow) {
      window.seen.reset();
    } else {
      for (std::uint64_t c = window.newest + 1; c < counter; ++c) window.seen.reset(c % kWindow);
    }
    window.newest = counter;
  } else if (window.seen.test(counter % kWindow)) {
    return false;
  }
  window.seen.set(counter % kWindow);
  return true;
}

}  // namespace hingelink::net
