#include "standin/own_address.h"

#include <unistd.h>

#include <atomic>

namespace hingelink::standin {

std::string OwnAddress() {
  static std::atomic<int> next_port{10'080};
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + (pid >> 16 & 63)) + '.' + std::to_string(pid >> 8 & 255) + '.' +
         std::to_string(pid & 255) + ':' + std::to_string(next_port++);
}

}  // namespace hingelink::standin
