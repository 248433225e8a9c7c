// Gossip datagrams: authentication, replays, key replacement, and the limits on rate and CPU time.
#include "net/gossip_transport.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

// Upper bound of any wait for datagrams.
constexpr auto kTimeout = 40s;

GossipKey MakeKey(unsigned char fill) {
  GossipKey key;
  key.fill(fill);
  return key;
}

sockaddr_in LoopbackAddress(std::uint16_t port = 0) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// A UDP socket that sends and receives arbitrary bytes.
class RawSocket {
 public:
  RawSocket() : socket_(::socket(AF_INET, SOCK_DGRAM, 0)) {
    const sockaddr_in address = LoopbackAddress();
    const int result = bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
    EXPECT_EQ(result, 0);
    const timeval timeout{std::chrono::seconds(kTimeout).count(), 0};
    setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  [[nodiscard]] std::uint16_t port() const { return LocalPort(socket_.get()); }
  void Send(std::uint16_t port, std::string_view bytes) const {
    const sockaddr_in to = LoopbackAddress(port);
    sendto(socket_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  [[nodiscard]] std::string Receive() const {
    std::array<char, 2'048> buffer;
    const ssize_t bytes = recv(socket_.get(), buffer.data(), buffer.size(), 0);
    return bytes < 0 ? std::string() : std::string(buffer.data(), static_cast<std::size_t>(bytes));
  }

 private:
  Descriptor socket_;
};

class GossipTransportTest : public testing::Test {
 protected:
  GossipTransportTest() { Open({MakeKey(1)}); }

  void Open(std::vector<GossipKey> keys, double max_core_fraction = 1) {
    GossipTransport::Options options;
    options.listen = LoopbackAddress();
    options.keys = std::move(keys);
    options.max_core_fraction = max_core_fraction;
    options.max_replay_windows = 4;
    transport_.reset();
    transport_.emplace(base_.get(), options,
                       [this](const sockaddr_in&, std::string_view body) { received_.emplace_back(body); });
  }
  std::unique_ptr<GossipTransport> OpenPeer(unsigned char key) {
    GossipTransport::Options options;
    options.listen = LoopbackAddress();
    options.keys = {MakeKey(key)};
    return std::make_unique<GossipTransport>(base_.get(), options,
                                             [](const sockaddr_in&, std::string_view) {});
  }
  // Returns the datagram that `peer` sends for this body.
  std::string Capture(GossipTransport& peer, std::string_view body) {
    peer.Send(LoopbackAddress(socket_.port()), body);
    return socket_.Receive();
  }
  std::uint64_t HandledDatagrams() const {
    const GossipTransport::Counters& counters = transport_->counters();
    return counters.received + counters.malformed + counters.unauthenticated + counters.replayed +
           counters.reflected;
  }
  // Sends the datagrams, and runs the loop until the transport has handled all of them.
  void Deliver(const std::vector<std::string>& datagrams) {
    const std::uint64_t wanted = HandledDatagrams() + datagrams.size();
    for (const std::string& datagram : datagrams) socket_.Send(transport_->port(), datagram);
    const auto end = Steady::now() + kTimeout;
    while (HandledDatagrams() < wanted && Steady::now() < end) event_base_loop(base_.get(), EVLOOP_ONCE);
  }

  BasePtr base_ = MakeBase();
  RawSocket socket_;
  std::vector<std::string> received_;
  std::optional<GossipTransport> transport_;
};

TEST_F(GossipTransportTest, AcceptsEachAuthenticDatagramOnceInAnyOrder) {
  const auto peer = OpenPeer(1);
  std::vector<std::string> datagrams;
  datagrams.reserve(50);
  for (int i = 0; i < 50; ++i) datagrams.push_back(Capture(*peer, "body " + std::to_string(i)));
  std::vector<std::string> reversed_and_repeated(datagrams.rbegin(), datagrams.rend());
  reversed_and_repeated.insert(reversed_and_repeated.end(), datagrams.begin(), datagrams.end());
  Deliver(reversed_and_repeated);
  EXPECT_EQ(received_.size(), 50U);
  EXPECT_EQ(transport_->counters().replayed, 50U);
}

TEST_F(GossipTransportTest, CountsADatagramFarBehindTheNewestAsReplayed) {
  const auto peer = OpenPeer(1);
  const std::string old = Capture(*peer, "old");
  std::string newest;
  for (int i = 0; i < 1'100; ++i) newest = Capture(*peer, "x");
  Deliver({newest, old});
  EXPECT_EQ(received_, std::vector<std::string>{"x"});
  EXPECT_EQ(transport_->counters().replayed, 1U);
}

TEST_F(GossipTransportTest, RejectsADatagramWithAnyChangedByteOrLength) {
  const auto peer = OpenPeer(1);
  const std::string good = Capture(*peer, "a body");
  std::vector<std::string> bad;
  bad.reserve(good.size() + 4);
  for (std::size_t i = 0; i < good.size(); ++i) {
    bad.push_back(good);
    bad.back()[i] = static_cast<char>(bad.back()[i] ^ 1);
  }
  bad.push_back(good.substr(0, good.size() - 1));
  bad.push_back(good + "x");
  bad.emplace_back("");
  bad.emplace_back(GossipTransport::kHeaderBytes + GossipTransport::kMaxBodyBytes + 100, 'x');
  Deliver(bad);
  EXPECT_TRUE(received_.empty());
  EXPECT_EQ(transport_->counters().received, 0U);
  Deliver({good});
  EXPECT_EQ(received_.size(), 1U);
}

TEST_F(GossipTransportTest, ReplacesAKeyWithoutInterruption) {
  const auto old_peer = OpenPeer(1);
  const auto new_peer = OpenPeer(2);
  Deliver({Capture(*old_peer, "1"), Capture(*new_peer, "2")});
  EXPECT_EQ(received_, std::vector<std::string>{"1"});
  EXPECT_EQ(transport_->counters().unauthenticated, 1U);
  transport_->SetKeys({MakeKey(1), MakeKey(2)});
  Deliver({Capture(*old_peer, "3"), Capture(*new_peer, "4")});
  EXPECT_EQ(received_, (std::vector<std::string>{"1", "3", "4"}));
  // The first key signs.
  transport_->SetKeys({MakeKey(2), MakeKey(1)});
  const std::string own = Capture(*transport_, "own");
  transport_->SetKeys({MakeKey(2)});
  Deliver({Capture(*old_peer, "5"), Capture(*new_peer, "6"), own});
  EXPECT_EQ(received_.back(), "6");
  EXPECT_EQ(transport_->counters().unauthenticated, 2U);
  EXPECT_EQ(transport_->counters().reflected, 1U);
}

TEST_F(GossipTransportTest, KeepsReplayWindowsOfABoundedNumberOfSenders) {
  for (int i = 0; i < 10; ++i) Deliver({Capture(*OpenPeer(1), "hello")});
  EXPECT_EQ(received_.size(), 10U);
  EXPECT_EQ(transport_->replay_windows(), 4U);
}

TEST_F(GossipTransportTest, LimitsTheSendingRate) {
  const std::string body(1'000, 'x');
  for (int i = 0; i < 1'000; ++i) transport_->Send(LoopbackAddress(socket_.port()), body);
  // The transport starts with the budget of one second, and gains more while the loop above runs.
  EXPECT_GE(transport_->counters().unsent, 800U);
  transport_->Send(LoopbackAddress(socket_.port()), std::string(GossipTransport::kMaxBodyBytes + 1, 'x'));
  EXPECT_LE(transport_->counters().sent_bytes, 200'000U);
}

TEST_F(GossipTransportTest, PausesReadingWhenItsCpuBudgetIsUsedUp) {
  Open({MakeKey(1)}, 0.05);
  std::string forged = Capture(*OpenPeer(1), std::string(500, 'x'));
  forged.back() = 'y';
  int timer_calls = 0;
  Timer timer(base_.get(), [&] {
    ++timer_calls;
    timer.Start(1ms);
  });
  timer.Start(1ms);
  const auto end = Steady::now() + kTimeout;
  while (transport_->counters().read_pauses < 5 && Steady::now() < end) {
    for (int i = 0; i < 200; ++i) socket_.Send(transport_->port(), forged);
    event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }
  EXPECT_GE(transport_->counters().read_pauses, 5U);
  EXPECT_TRUE(received_.empty());
  // Reading resumes after the pause, and the event loop served other events during it.
  const auto peer = OpenPeer(1);
  while (received_.empty() && Steady::now() < end) {
    socket_.Send(transport_->port(), Capture(*peer, "good"));
    event_base_loop(base_.get(), EVLOOP_ONCE);
  }
  EXPECT_FALSE(received_.empty());
  EXPECT_GT(timer_calls, 0);
}

}  // namespace
}  // namespace hingelink::net
