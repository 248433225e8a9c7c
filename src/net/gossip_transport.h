// The link between nodes: datagrams under a key that all of them hold. It carries bodies and knows none of
// them.
//
//   offset  bytes
//   0       2      "HL"
//   2       1      version, 1
//   3       1      which key: the first byte of its own hash
//   4       8      the sender's sender_id: a number drawn at its start, big-endian
//   12      8      counts the sender's datagrams, from 1, big-endian
//   20      16     BLAKE2b of all before and behind it, under the key
//   36      ...    the body, at most kMaxBodyBytes
//
// Guards: what is not under one of the keys (two at once, so that a key can be replaced in service), what
// came before (a window of 1,024 behind the newest of each sender_id) and what is too long is counted and
// dropped. All work on what arrives is bounded to a share of a core, and what is sent to bytes a second:
// beyond that datagrams are lost, as on any link.
#ifndef HINGELINK_NET_PEERS_H_
#define HINGELINK_NET_PEERS_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/event.h"

namespace hingelink::net {

using GossipKey = std::array<unsigned char, 32>;

// A file with one key a line, 64 hex digits each: the first signs, both are believed. Throws
// std::runtime_error that names file and line and says what is wanted.
std::vector<GossipKey> ReadGossipKeys(const std::string& path);
// A key drawn now, as a line of such a file.
std::string GenerateGossipKey();

class GossipTransport {
 public:
  static constexpr std::size_t kHeaderBytes = 36, kMaxBodyBytes = 1'300;
  struct Options {
    sockaddr_in listen{};
    std::vector<GossipKey> keys;
    double max_core_fraction = 0.1;          // Of all work on what arrives, at most.
    double send_bytes_per_second = 64'000;   // Sent; two seconds of it may be saved up.
    std::size_t max_replay_windows = 8'192;  // Windows kept; the one that was quiet longest gives way.
  };
  struct Counters {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
    std::uint64_t malformed = 0;        // Neither header nor length of this link.
    std::uint64_t unauthenticated = 0;  // No key of that name, or the MAC is another one.
    std::uint64_t replayed = 0;         // Seen before, or too old to tell.
    std::uint64_t reflected = 0;        // This node's own.
    std::uint64_t unsent = 0;           // Over the bytes a second, or the system would not take it.
    std::uint64_t read_pauses = 0;      // Times that reading rested, as its share of the core was used up.
  };
  using Hear = std::function<void(const sockaddr_in& from, std::string_view body)>;

  // Throws std::runtime_error where it cannot listen.
  GossipTransport(event_base* base, Options options, Hear hear);

  // Answers come to the address that it listens on.
  void Send(const sockaddr_in& to, std::string_view body);
  void SetKeys(std::vector<GossipKey> keys);

  const Counters& counters() const { return counters_; }
  std::uint16_t port() const { return LocalPort(socket_.get()); }
  std::size_t replay_windows() const { return windows_.size(); }

 private:
  static constexpr std::size_t kWindow = 1'024;
  struct Window {
    std::uint64_t newest = 0;
    std::bitset<kWindow> seen;  // By counter, modulo.
    std::uint64_t used = 0;     // By a count of all datagrams.
  };
  struct Key {
    GossipKey key;
    unsigned char name = 0;
  };

  void Read();
  void Take(const sockaddr_in& from, std::string_view datagram);
  bool Fresh(std::uint64_t sender_id, std::uint64_t counter);

  Options options_;
  Hear hear_;
  Descriptor socket_;
  EventPtr readable_;
  Timer rest_;
  std::vector<Key> keys_;
  std::uint64_t sender_id_ = 0, counter_ = 0, taken_ = 0;
  std::unordered_map<std::uint64_t, Window> windows_;
  double work_left_us_ = 0, bytes_left_ = 0;
  Steady::time_point refilled_ = Steady::now(), bytes_refilled_ = Steady::now();
  Counters counters_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_PEERS_H_
