// Sends and receives authenticated UDP datagrams between the nodes of a fleet. Datagram layout:
//
//   offset  bytes
//   0       2      "HL"
//   2       1      version, 1
//   3       1      key id: the first byte of the BLAKE2b hash of the key
//   4       8      sender id: a random number of the sending process, big-endian
//   12      8      counter of the sender's datagrams, from 1, big-endian
//   20      16     MAC: BLAKE2b of the header up to here and of the body, under the key
//   36      ...    body, at most kMaxBodyBytes
//
// Datagrams that are malformed, not authentic or replayed are counted and dropped. Two keys can be accepted
// at the same time, so that a key can be replaced without an interruption. The CPU time spent on received
// datagrams is limited to a fraction of a core, and the sending rate to a number of bytes per second.
// Datagrams over these limits are lost; the protocol above tolerates losses, as UDP guarantees no delivery.
#ifndef HINGELINK_NET_GOSSIP_TRANSPORT_H_
#define HINGELINK_NET_GOSSIP_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "net/event.h"
#include "net/gossip_keys.h"
#include "net/replay_filter.h"

namespace hingelink::net {

// All calls on the thread of the event base. The transport does not interpret the bodies.
class GossipTransport {
 public:
  static constexpr std::size_t kHeaderBytes = 36;
  static constexpr std::size_t kMaxBodyBytes = 1'300;

  struct Options {
    sockaddr_in listen{};
    std::vector<GossipKey> keys;  // The first key signs; all keys are accepted.
    // Upper bound of the CPU time spent on received datagrams, as a fraction of a core.
    double max_core_fraction = 0.1;
    // Upper bound of the sending rate. Unused budget accumulates for up to two seconds.
    double send_bytes_per_second = 64'000;
    // Upper bound of the number of senders for which a replay window is kept.
    std::size_t max_replay_windows = 8'192;
  };
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t malformed = 0;        // Wrong magic, version or length.
    std::uint64_t unauthenticated = 0;  // Unknown key or wrong MAC.
    std::uint64_t replayed = 0;         // Received before, or older than the replay window.
    std::uint64_t reflected = 0;        // Sent by this process itself.
    std::uint64_t unsent = 0;           // Over the sending rate, too long, or rejected by the system.
    std::uint64_t read_pauses = 0;      // Times that reading paused because its CPU time was used up.
  };
  // Called with the sender's address and the body of each accepted datagram. `body` is valid during the call.
  using OnDatagram = std::function<void(const sockaddr_in& from, std::string_view body)>;

  // Binds the address and starts to receive. `base` must outlive the object. Throws std::runtime_error if the
  // address cannot be bound.
  GossipTransport(event_base* base, Options options, OnDatagram on_datagram);

  // Sends one datagram, or counts it as unsent. The source address is the address that the transport is bound
  // to.
  void Send(const sockaddr_in& to, std::string_view body);
  // Replaces the keys. The first key signs from now on.
  void SetKeys(const std::vector<GossipKey>& keys);

  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] std::uint16_t port() const { return LocalPort(socket_.get()); }
  [[nodiscard]] std::size_t replay_windows() const { return replay_filter_.senders(); }

 private:
  struct Key {
    GossipKey key;
    unsigned char id = 0;
  };

  void OnReadable();
  // Reads and handles the datagrams that have arrived, up to kMaxBatch.
  void ReadBatch();
  // Stops reading until the CPU time used so far is within Options::max_core_fraction again.
  void PauseReading();
  void HandleDatagram(const sockaddr_in& from, std::string_view datagram);
  [[nodiscard]] bool IsAuthentic(std::string_view datagram) const;

  Options options_;
  OnDatagram on_datagram_;
  Descriptor socket_;
  EventPtr readable_;
  Timer resume_reading_;
  std::vector<Key> keys_;
  std::uint64_t sender_id_ = 0;
  std::uint64_t counter_ = 0;
  ReplayFilter replay_filter_;
  double work_budget_us_ = 0;
  Steady::time_point work_refilled_at_ = Steady::now();
  double send_budget_bytes_ = 0;
  Steady::time_point send_refilled_at_ = Steady::now();
  Counters counters_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_GOSSIP_TRANSPORT_H_
