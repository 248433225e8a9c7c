// Sends forged datagrams at a constant rate.
#ifndef HINGELINK_LAB_RIG_DATAGRAM_FORGER_H_
#define HINGELINK_LAB_RIG_DATAGRAM_FORGER_H_

#include <netinet/in.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace hingelink::lab {

// Sends from a thread of its own, as long as the object lives.
class DatagramForger {
 public:
  // `genuine`: a datagram that was received on the way to `target`, over 4 bytes long; one bit of each copy
  // is changed. `rate`: datagrams per second.
  DatagramForger(std::string genuine, const std::string& target, double rate);
  std::uint64_t sent() const { return sent_; }

 private:
  void Send(const std::string& genuine, sockaddr_in target, double rate, const std::stop_token& stop);

  std::atomic<std::uint64_t> sent_{0};
  std::jthread thread_;
};

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_RIG_DATAGRAM_FORGER_H_
