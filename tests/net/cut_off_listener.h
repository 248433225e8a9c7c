// A listening socket that does not answer handshakes, as if the network to it were cut.
#ifndef HINGELINK_TESTS_NET_CUT_OFF_LISTENER_H_
#define HINGELINK_TESTS_NET_CUT_OFF_LISTENER_H_

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <string>
#include <utility>
#include <vector>

#include "net/event.h"

namespace hingelink::net {

class CutOffListener {
 public:
  // Fills the queue of connections, so that the system drops further handshakes.
  CutOffListener() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in any = ParseAddress("127.0.0.1:0");
    EXPECT_EQ(bind(listener_.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any), 0);
    EXPECT_EQ(listen(listener_.get(), 0), 0);
    const sockaddr_in to = ParseAddress(address());
    for (int i = 0; i < kFillers; ++i) {
      fillers_.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      connect(fillers_.back().get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
    }
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(LocalPort(listener_.get())); }
  // Ends the cut. The caller accepts the connections, which the system tries again to establish.
  Descriptor Release() {
    fillers_.clear();
    return std::move(listener_);
  }

 private:
  static constexpr int kFillers = 4;

  Descriptor listener_;
  std::vector<Descriptor> fillers_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_TESTS_NET_CUT_OFF_LISTENER_H_
