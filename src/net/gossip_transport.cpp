#include "net/gossip_transport.h"

#include <sodium.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kMagicAndVersion = "HL\x01";
constexpr std::size_t kKeyIdOffset = 3;
constexpr std::size_t kSenderIdOffset = 4;
constexpr std::size_t kCounterOffset = 12;
constexpr std::size_t kMacOffset = 20;
constexpr std::size_t kMacBytes = 16;
using Mac = std::array<unsigned char, kMacBytes>;

// Upper bound of the datagrams read in one callback, so that the loop can serve other events in between.
constexpr int kMaxBatch = 64;
// Upper bound of the unused CPU time that accumulates for later datagrams, in microseconds.
constexpr double kMaxWorkBudgetUs = 20'000;
// Minimum duration of a pause in reading. It limits how often the read event is removed and added again under
// overload.
constexpr Steady::duration kMinReadPause = 5ms;
// Upper bound of the unused send budget, in seconds of Options::send_bytes_per_second.
constexpr double kMaxSendBudgetSeconds = 2;

void AppendBigEndian(std::string& out, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
}

std::uint64_t ReadBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes.substr(0, sizeof value)) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

const unsigned char* Data(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

const sockaddr* SocketAddress(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

// `header`: the bytes before the MAC.
Mac ComputeMac(std::string_view header, std::string_view body, const GossipKey& key) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, key.data(), key.size(), kMacBytes);
  crypto_generichash_update(&state, Data(header), header.size());
  crypto_generichash_update(&state, Data(body), body.size());
  Mac mac;
  crypto_generichash_final(&state, mac.data(), mac.size());
  return mac;
}

unsigned char KeyId(const GossipKey& key) {
  std::array<unsigned char, crypto_generichash_BYTES> hash;
  crypto_generichash(hash.data(), hash.size(), key.data(), key.size(), nullptr, 0);
  return hash.front();
}

double ThreadCpuUs() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) / 1e3;
}

// Returns the seconds since `last`, and sets it to now.
double AdvanceClock(Steady::time_point& last) {
  const Steady::time_point now = Steady::now();
  const std::chrono::duration<double> seconds = now - std::exchange(last, now);
  return seconds.count();
}

}  // namespace

GossipTransport::GossipTransport(event_base* base, Options options, OnDatagram on_datagram)
    : options_(std::move(options)),
      on_datagram_(std::move(on_datagram)),
      socket_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      resume_reading_(base, [this] { event_add(readable_.get(), nullptr); }),
      replay_filter_(options_.max_replay_windows),
      send_budget_bytes_(options_.send_bytes_per_second) {
  InitializeSodium();
  if (bind(socket_.get(), SocketAddress(options_.listen), sizeof options_.listen) != 0) {
    throw std::runtime_error(std::string("peers.listen: ") + std::strerror(errno));
  }
  SetKeys(options_.keys);
  randombytes_buf(&sender_id_, sizeof sender_id_);
  readable_.reset(event_new(
      base, socket_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<GossipTransport*>(self)->OnReadable(); }, this));
  if (!readable_) throw std::runtime_error("libevent: cannot create an event");
  event_priority_set(readable_.get(), kNormalPriority);
  event_add(readable_.get(), nullptr);
}

void GossipTransport::SetKeys(const std::vector<GossipKey>& keys) {
  keys_.clear();
  for (const GossipKey& key : keys) keys_.push_back({key, KeyId(key)});
}

void GossipTransport::Send(const sockaddr_in& to, std::string_view body) {
  const double bytes_per_second = options_.send_bytes_per_second;
  send_budget_bytes_ = std::min(send_budget_bytes_ + AdvanceClock(send_refilled_at_) * bytes_per_second,
                                kMaxSendBudgetSeconds * bytes_per_second);
  const auto bytes = static_cast<double>(kHeaderBytes + body.size());
  if (keys_.empty() || body.size() > kMaxBodyBytes || send_budget_bytes_ < bytes) {
    ++counters_.unsent;
    return;
  }
  std::string datagram(kMagicAndVersion);
  datagram.push_back(static_cast<char>(keys_.front().id));
  AppendBigEndian(datagram, sender_id_);
  AppendBigEndian(datagram, ++counter_);
  const Mac mac = ComputeMac(datagram, body, keys_.front().key);
  datagram.append(mac.begin(), mac.end()).append(body);
  if (sendto(socket_.get(), datagram.data(), datagram.size(), 0, SocketAddress(to), sizeof to) < 0) {
    ++counters_.unsent;
    return;
  }
  send_budget_bytes_ -= bytes;
  ++counters_.sent;
  counters_.sent_bytes += datagram.size();
}

void GossipTransport::OnReadable() {
  const double refill_us = AdvanceClock(work_refilled_at_) * 1e6 * options_.max_core_fraction;
  work_budget_us_ = std::min(work_budget_us_ + refill_us, kMaxWorkBudgetUs);
  const double cpu_before_us = ThreadCpuUs();
  ReadBatch();
  work_budget_us_ -= ThreadCpuUs() - cpu_before_us;
  if (work_budget_us_ <= 0) PauseReading();
}

void GossipTransport::ReadBatch() {
  // One byte larger than the longest valid datagram, so that a longer one is not truncated to a valid length.
  std::array<char, kHeaderBytes + kMaxBodyBytes + 1> buffer;
  for (int i = 0; i < kMaxBatch; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof from;
    const ssize_t bytes = recvfrom(socket_.get(), buffer.data(), buffer.size(), 0,
                                   reinterpret_cast<sockaddr*>(&from), &from_size);
    if (bytes < 0) {
      // ECONNREFUSED reports that the destination of an earlier datagram was not listening.
      if (errno == EINTR || errno == ECONNREFUSED) continue;
      return;
    }
    HandleDatagram(from, {buffer.data(), static_cast<std::size_t>(bytes)});
  }
}

void GossipTransport::PauseReading() {
  ++counters_.read_pauses;
  event_del(readable_.get());
  const std::chrono::duration<double, std::micro> pause(-work_budget_us_ / options_.max_core_fraction);
  resume_reading_.Start(std::max(std::chrono::duration_cast<Steady::duration>(pause), kMinReadPause));
}

void GossipTransport::HandleDatagram(const sockaddr_in& from, std::string_view datagram) {
  if (datagram.size() < kHeaderBytes || datagram.size() > kHeaderBytes + kMaxBodyBytes ||
      !datagram.starts_with(kMagicAndVersion)) {
    ++counters_.malformed;
    return;
  }
  if (!IsAuthentic(datagram)) {
    ++counters_.unauthenticated;
    return;
  }
  const std::uint64_t sender_id = ReadBigEndian(datagram.substr(kSenderIdOffset));
  if (sender_id == sender_id_) {
    ++counters_.reflected;
    return;
  }
  if (!replay_filter_.Accept(sender_id, ReadBigEndian(datagram.substr(kCounterOffset)))) {
    ++counters_.replayed;
    return;
  }
  ++counters_.received;
  counters_.received_bytes += datagram.size();
  on_datagram_(from, datagram.substr(kHeaderBytes));
}

bool GossipTransport::IsAuthentic(std::string_view datagram) const {
  const std::string_view header = datagram.substr(0, kMacOffset);
  const std::string_view received_mac = datagram.substr(kMacOffset, kMacBytes);
  const std::string_view body = datagram.substr(kHeaderBytes);
  const auto key_id = static_cast<unsigned char>(datagram[kKeyIdOffset]);
  return std::any_of(keys_.begin(), keys_.end(), [&](const Key& key) {
    if (key.id != key_id) return false;
    const Mac mac = ComputeMac(header, body, key.key);
    return sodium_memcmp(mac.data(), received_mac.data(), kMacBytes) == 0;
  });
}

}  // namespace hingelink::net
