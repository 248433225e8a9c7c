// Relays between the parties of a rig: every datagram and every connection between two processes goes through
// one of them, and so through the scenario's weather. All on one loop.
#ifndef HINGELINK_LAB_RIG_RELAY_H_
#define HINGELINK_LAB_RIG_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/scenario/weather.h"
#include "net/event.h"

namespace hingelink::lab {

// What a relay asks the rig.
struct RelayHost {
  event_base* base = nullptr;
  Weather* weather = nullptr;
  std::function<Millis()> now;  // Since the rig began.
  Chance chance;
};

struct RelayCounts {
  std::uint64_t datagrams = 0, bytes = 0, lost = 0, held = 0, connections = 0, resets = 0;
  std::vector<std::uint64_t> sent;        // Datagrams and ...
  std::vector<std::uint64_t> sent_bytes;  // ... bytes by node.
};

// The nodes' datagrams. A node's address for the others is the relay's: what it sends there comes out of the
// sender's own relay address, so that an answer takes the same way back.
class DatagramRelay {
 public:
  // `real`: where each node listens. Throws std::runtime_error where no socket is to be had.
  DatagramRelay(RelayHost host, const std::vector<std::string>& real, RelayCounts& counts);
  // What the others are to be told as the address of a node.
  std::string address(std::size_t node) const { return ends_[node]->address; }
  // What came last for a node: for who forges, and has heard the true ones. Empty: nothing yet.
  const std::string& last(std::size_t node) const { return ends_[node]->last; }

 private:
  struct End {
    DatagramRelay* relay = nullptr;
    std::size_t node = 0;
    net::Descriptor socket;
    net::EventPtr readable;
    std::string address, last;
    sockaddr_in real{};
  };
  void Read(End& to);
  void Pass(std::size_t from, End& to, std::string bytes, Millis after);

  RelayHost host_;
  RelayCounts& counts_;
  std::vector<std::unique_ptr<End>> ends_;
  std::map<std::pair<std::uint32_t, std::uint16_t>, std::size_t> senders_;
  std::multimap<Millis, std::function<void()>> late_;
  net::Timer timer_;
  void Arm();
};

// Connections from one party to an address of another.
class ConnectionRelay {
 public:
  // Listens at an address of its own at once. Throws std::runtime_error where it cannot.
  ConnectionRelay(RelayHost host, std::size_t from, std::size_t to, const std::string& target,
                  RelayCounts& counts);
  ~ConnectionRelay();
  const std::string& address() const { return address_; }
  std::size_t from() const { return from_; }
  std::size_t to() const { return to_; }
  // Ends all connections with a reset.
  void Reset();
  // To be called every few milliseconds, from no callback: goes on with what was held, and ends what is over.
  void Sweep();

 private:
  class Pair;
  void Accept(evutil_socket_t fd);

  RelayHost host_;
  std::size_t from_, to_;
  sockaddr_in target_;
  RelayCounts& counts_;
  net::ListenerPtr listener_;
  std::string address_;
  std::vector<std::unique_ptr<Pair>> pairs_;
};

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_RIG_RELAY_H_
