#include "lab/rig/datagram_forger.h"

#include <sys/socket.h>

#include <chrono>
#include <utility>

#include "net/event.h"

namespace hingelink::lab {
namespace {

// Length of the name of the key at the start of a datagram, which is not changed.
constexpr std::size_t kKeyNameBytes = 4;

}  // namespace

DatagramForger::DatagramForger(std::string genuine, const std::string& target, double rate)
    : thread_([this, genuine = std::move(genuine), address = net::ParseAddress(target),
               rate](const std::stop_token& stop) { Send(genuine, address, rate, stop); }) {}

void DatagramForger::Send(const std::string& genuine, sockaddr_in target, double rate,
                          const std::stop_token& stop) {
  const net::Descriptor out(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const net::Steady::time_point began = net::Steady::now();
  std::string datagram = genuine;
  while (!stop.stop_requested()) {
    const double wanted = std::chrono::duration<double>(net::Steady::now() - began).count() * rate;
    for (; static_cast<double>(sent_) < wanted && !stop.stop_requested(); ++sent_) {
      // Each datagram differs from the others, in its bytes and not in its length.
      char& changed = datagram[kKeyNameBytes + sent_ % (datagram.size() - kKeyNameBytes)];
      changed = static_cast<char>(changed ^ 1);
      sendto(out.get(), datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&target),
             sizeof target);
      changed = static_cast<char>(changed ^ 1);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

}  // namespace hingelink::lab
