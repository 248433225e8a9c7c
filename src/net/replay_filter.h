// Recognizes datagrams that were received before, by a sliding window over the counter of each sender (as in
// IPsec, RFC 4303, section 3.4.3).
#ifndef HINGELINK_NET_REPLAY_FILTER_H_
#define HINGELINK_NET_REPLAY_FILTER_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace hingelink::net {

// Not thread-safe.
class ReplayFilter {
 public:
  // Datagrams whose counter is this far behind the sender's newest one count as replayed.
  static constexpr std::size_t kWindow = 1'024;

  // Keeps the windows of at most `max_senders`; that of the longest inactive one gives way.
  explicit ReplayFilter(std::size_t max_senders) : max_senders_(max_senders) {}

  // Whether the datagram is new; it is then remembered. Counters begin at 1. To be called for authentic
  // datagrams only.
  [[nodiscard]] bool Accept(std::uint64_t sender_id, std::uint64_t counter);

  [[nodiscard]] std::size_t senders() const { return windows_.size(); }

 private:
  struct Window {
    std::uint64_t newest = 0;
    std::bitset<kWindow> received;  // By counter modulo kWindow, for those up to `newest`.
    std::uint64_t last_used = 0;    // In datagrams of all senders.
  };

  Window& FindOrCreate(std::uint64_t sender_id);
  // Moves the window forward; what lies between has not been received.
  static void Advance(Window& window, std::uint64_t newest);

  std::size_t max_senders_;
  std::unordered_map<std::uint64_t, Window> windows_;
  std::uint64_t datagrams_ = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_REPLAY_FILTER_H_
