// Detects replayed datagrams by a sliding window over the datagram counter of each sender, as IPsec does (RFC
// 4303, section 3.4.3).
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
  // A datagram whose counter is at least this far behind the newest counter of its sender counts as replayed.
  static constexpr std::size_t kWindow = 1'024;

  // Keeps the windows of at most `max_senders` senders. A further sender evicts the window of the sender that
  // has been inactive longest.
  explicit ReplayFilter(std::size_t max_senders) : max_senders_(max_senders) {}

  // Returns whether the datagram is new, and records it as received. Counters start at 1; counter 0 is
  // rejected. To be called for authentic datagrams only, since forged ones could evict windows.
  [[nodiscard]] bool Accept(std::uint64_t sender_id, std::uint64_t counter);

  [[nodiscard]] std::size_t senders() const { return windows_.size(); }

 private:
  struct Window {
    std::uint64_t newest = 0;
    std::bitset<kWindow> received;  // Bit `counter % kWindow`, for the last kWindow counters.
    std::uint64_t last_used = 0;    // Value of `datagrams_` at the sender's last datagram.
  };

  Window& FindOrCreate(std::uint64_t sender_id);
  // Moves the window forward to `newest`. The skipped counters are marked as not received.
  static void Advance(Window& window, std::uint64_t newest);

  std::size_t max_senders_;
  std::unordered_map<std::uint64_t, Window> windows_;
  std::uint64_t datagrams_ = 0;  // Datagrams of all senders so far.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_REPLAY_FILTER_H_
