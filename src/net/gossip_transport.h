// Authenticated datagrams between the nodes of a fleet, over UDP. Bodies are opaque.
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
// Datagrams that are malformed, not authentic or replayed are counted and dropped. Two keys are accepted at
// once, so that a key can be replaced in service. The work on received datagrams is limited to a fraction of
// a core, and what is sent to a number of bytes a second; beyond that datagrams are lost, as on any network.
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

// All calls on the thread of the event base.
class GossipTransport {
 public:
  static constexpr std::size_t kHeaderBytes = 36;
  static constexpr std::size_t kMaxBodyBytes = 1'300;

  struct Options {
    sockaddr_in listen{};
    std::vector<GossipKey> keys;  // The first one signs.
    // Upper bound of the work on received datagrams, as a fraction of a core.
    double max_core_fraction = 0.1;
    // Upper bound of what is sent; up to two seconds of it may accumulate.
    double send_bytes_per_second = 64'000;
    // Upper bound of the senders whose replay windows are kept.
    std::size_t max_replay_windows = 8'192;
  };
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t malformed = 0;        // Another header or length.
    std::uint64_t unauthenticated = 0;  // An unknown key, or a wrong MAC.
    std::uint64_t replayed = 0;         // Received before, or too old to tell.
    std::uint64_t reflected = 0;        // This node's own.
    std::uint64_t unsent = 0;           // Over the bound, too long, or rejected by the system.
    std::uint64_t read_pauses = 0;      // Reading paused, as the fraction of the core was used up.
  };
  // Receives the body of each datagram that is accepted.
  using OnDatagram = std::function<void(const sockaddr_in& from, std::string_view body)>;

  // `base` must outlive the object. Throws std::runtime_error if the address cannot be bound.
  GossipTransport(event_base* base, Options options, OnDatagram on_datagram);

  // Sends one datagram, or counts it as unsent. Answers arrive at the address that it listens on.
  void Send(const sockaddr_in& to, std::string_view body);
  // Replaces the keys; the first one signs from now on.
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
  // Reads a limited number of datagrams.
  void ReadBatch();
  // Stops reading until the work that was done is within the bound again.
  void PauseReading();
  void Handle(const sockaddr_in& from, std::string_view datagram);
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
