// The relay between real processes, against peers that end at a bad moment.
#include "lab/rig/relay.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string_view>

#include "net/event.h"

namespace hingelink::lab {
namespace {

constexpr int kReceived = 0, kNotReceived = 3;

class Listener {
 public:
  Listener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd_.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0 ||
        listen(fd_.get(), 4) != 0)
      std::abort();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(net::LocalPort(fd_.get())); }
  net::Descriptor Accept() const { return net::Descriptor(accept(fd_.get(), nullptr, nullptr)); }

 private:
  net::Descriptor fd_;
};

net::Descriptor ConnectTo(const std::string& address) {
  net::Descriptor fd(socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in to = net::ParseAddress(address);
  if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) std::abort();
  return fd;
}

void RunFor(event_base* base, std::chrono::milliseconds span) {
  const timeval until = net::ToTimeval(span);
  event_base_loopexit(base, &until);
  event_base_dispatch(base);
}

// A client ends its connection; what its server still sends is written to the closed connection, twice: the
// first write is answered with a reset, and the second raises SIGPIPE in a process that does not ignore it.
[[noreturn]] void WriteTwiceToAClosedPeer() {
  std::signal(SIGPIPE, SIG_DFL);
  const net::BasePtr base = net::MakeBase();
  const Scenario scenario;
  Weather weather(scenario);
  RelayCounts counts;
  const Listener server;
  ConnectionRelay relay({.base = base.get(),
                         .weather = &weather,
                         .now = [] { return Millis(0); },
                         .chance = [] { return 1.0; }},
                        0, 1, server.address(), counts);
  constexpr std::chrono::milliseconds kRound{30};
  net::Descriptor client = ConnectTo(relay.address());
  RunFor(base.get(), kRound);
  const net::Descriptor accepted = server.Accept();
  client = net::Descriptor();
  RunFor(base.get(), kRound);
  for (int i = 0; i < 3; ++i) {
    constexpr std::string_view kText = "more";
    if (send(accepted.get(), kText.data(), kText.size(), MSG_NOSIGNAL) < 0) std::_Exit(kNotReceived);
    RunFor(base.get(), kRound);
  }
  std::_Exit(kReceived);
}

TEST(ConnectionRelayDeathTest, AWriteToAClosedPeerDoesNotEndTheProcess) {
  EXPECT_EXIT(WriteTwiceToAClosedPeer(), testing::ExitedWithCode(kReceived), "");
}

}  // namespace
}  // namespace hingelink::lab
