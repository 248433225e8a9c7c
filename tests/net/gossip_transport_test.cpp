// The link between nodes: keys, repeats, what does not check out, and its bounds.
#include "net/gossip_transport.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <optional>

#include "cli/process.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;

GossipKey KeyOf(unsigned char fill) {
  GossipKey key;
  key.fill(fill);
  return key;
}

sockaddr_in Local(std::uint16_t port = 0) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(port);
  return at;
}

// A socket that sends and reads any bytes.
class Wire {
 public:
  Wire() : socket_(::socket(AF_INET, SOCK_DGRAM, 0)) {
    const sockaddr_in any = Local();
    bind(socket_.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any);
    const timeval patience{40, 0};
    setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  }
  std::uint16_t port() const { return LocalPort(socket_.get()); }
  void Send(std::uint16_t port, std::string_view bytes) {
    const sockaddr_in to = Local(port);
    sendto(socket_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  std::string Read() {
    char buffer[2'048];
    const ssize_t bytes = recv(socket_.get(), buffer, sizeof buffer, 0);
    return bytes < 0 ? std::string() : std::string(buffer, static_cast<std::size_t>(bytes));
  }

 private:
  Descriptor socket_;
};

class PeersTest : public testing::Test {
 protected:
  PeersTest() { Open({KeyOf(1)}); }
  void Open(std::vector<GossipKey> keys, double share = 1) {
    GossipTransport::Options options;
    options.listen = Local();
    options.keys = std::move(keys);
    options.max_core_fraction = share;
    options.max_replay_windows = 4;
    link.reset();
    link.emplace(base.get(), options,
                 [this](const sockaddr_in&, std::string_view body) { heard.emplace_back(body); });
  }
  // What another link under this key sends.
  std::string From(GossipTransport& other, std::string_view body) {
    other.Send(Local(wire.port()), body);
    return wire.Read();
  }
  std::unique_ptr<GossipTransport> Other(unsigned char key) {
    GossipTransport::Options options;
    options.listen = Local();
    options.keys = {KeyOf(key)};
    return std::make_unique<GossipTransport>(base.get(), options,
                                             [](const sockaddr_in&, std::string_view) {});
  }
  std::uint64_t Arrived() const {
    const GossipTransport::Counters& c = link->counters();
    return c.received + c.malformed + c.unauthenticated + c.replayed + c.reflected;
  }
  // Sends these, and turns the loop until all have been looked at.
  void Take(const std::vector<std::string>& datagrams) {
    const std::uint64_t before = Arrived();
    for (const std::string& datagram : datagrams) wire.Send(link->port(), datagram);
    const auto end = Steady::now() + 40s;
    while (Arrived() < before + datagrams.size() && Steady::now() < end)
      event_base_loop(base.get(), EVLOOP_ONCE);
  }

  BasePtr base = MakeBase();
  Wire wire;
  std::vector<std::string> heard;
  std::optional<GossipTransport> link;
};

TEST_F(PeersTest, WhatIsUnderTheKeyIsHeardOnceInAnyOrder) {
  const auto other = Other(1);
  std::vector<std::string> datagrams;
  for (int i = 0; i < 50; ++i) datagrams.push_back(From(*other, "body " + std::to_string(i)));
  std::vector<std::string> mixed(datagrams.rbegin(), datagrams.rend());
  mixed.insert(mixed.end(), datagrams.begin(), datagrams.end());
  Take(mixed);
  EXPECT_EQ(heard.size(), 50u);
  EXPECT_EQ(link->counters().replayed, 50u);
}

TEST_F(PeersTest, WhatIsFarBehindTheNewestIsTakenForARepeat) {
  const auto other = Other(1);
  const std::string old = From(*other, "old");
  std::string newest;
  for (int i = 0; i < 1'100; ++i) newest = From(*other, "x");
  Take({newest, old});
  EXPECT_EQ(heard, std::vector<std::string>{"x"});
  EXPECT_EQ(link->counters().replayed, 1u);
}

TEST_F(PeersTest, EachChangedByteIsSeen) {
  const auto other = Other(1);
  const std::string good = From(*other, "a body");
  std::vector<std::string> bad;
  for (std::size_t i = 0; i < good.size(); ++i) {
    bad.push_back(good);
    bad.back()[i] = static_cast<char>(bad.back()[i] ^ 1);
  }
  bad.push_back(good.substr(0, good.size() - 1));
  bad.push_back(good + "x");
  bad.push_back("");
  bad.push_back(std::string(GossipTransport::kHeaderBytes + GossipTransport::kMaxBodyBytes + 100, 'x'));
  Take(bad);
  EXPECT_TRUE(heard.empty());
  EXPECT_EQ(link->counters().received, 0u);
  Take({good});
  EXPECT_EQ(heard.size(), 1u);
}

TEST_F(PeersTest, OneKeyAfterTheOtherIsReplacedInService) {
  const auto old_one = Other(1), new_one = Other(2);
  Take({From(*old_one, "1"), From(*new_one, "2")});
  EXPECT_EQ(heard, std::vector<std::string>{"1"});  // Nobody enters without the key.
  EXPECT_EQ(link->counters().unauthenticated, 1u);
  link->SetKeys({KeyOf(1), KeyOf(2)});
  Take({From(*old_one, "3"), From(*new_one, "4")});
  EXPECT_EQ(heard, (std::vector<std::string>{"1", "3", "4"}));
  // The first one signs.
  link->SetKeys({KeyOf(2), KeyOf(1)});
  const std::string own = From(*link, "own");
  link->SetKeys({KeyOf(2)});
  Take({From(*old_one, "5"), From(*new_one, "6"), own});
  EXPECT_EQ(heard.back(), "6");
  EXPECT_EQ(link->counters().unauthenticated, 2u);  // The retired key's.
  EXPECT_EQ(link->counters().reflected, 1u);
}

TEST_F(PeersTest, KeepsWindowsOfSoManyLivesOnly) {
  for (int i = 0; i < 10; ++i) Take({From(*Other(1), "hello")});
  EXPECT_EQ(heard.size(), 10u);
  EXPECT_EQ(link->replay_windows(), 4u);
}

TEST_F(PeersTest, SendsNoMoreThanItsBytesASecond) {
  const std::string body(1'000, 'x');
  for (int i = 0; i < 1'000; ++i) link->Send(Local(wire.port()), body);
  // A second's worth is saved up at the start, and grows by what passes meanwhile.
  EXPECT_GE(link->counters().unsent, 800u);
  link->Send(Local(wire.port()), std::string(GossipTransport::kMaxBodyBytes + 1, 'x'));
  EXPECT_LE(link->counters().sent_bytes, 200'000u);
}

// Whatever comes, reading rests when its share of the core is used up, and the loop has time for others.
TEST_F(PeersTest, AFloodTakesItsShareOfTheCoreOnly) {
  Open({KeyOf(1)}, 0.05);
  const std::string forged = [this] {
    std::string datagram = From(*Other(1), std::string(500, 'x'));
    datagram.back() = 'y';
    return datagram;
  }();
  int turns = 0;
  Timer tick(base.get(), [&] {
    ++turns;
    tick.After(1ms);
  });
  tick.After(1ms);
  const auto end = Steady::now() + 40s;
  while (link->counters().read_pauses < 5 && Steady::now() < end) {
    for (int i = 0; i < 200; ++i) wire.Send(link->port(), forged);
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }
  EXPECT_GE(link->counters().read_pauses, 5u);
  EXPECT_TRUE(heard.empty());
  // The rest is over by itself, and what is good is heard again.
  const auto other = Other(1);
  while (heard.empty() && Steady::now() < end) {
    wire.Send(link->port(), From(*other, "good"));
    event_base_loop(base.get(), EVLOOP_ONCE);
  }
  EXPECT_FALSE(heard.empty());
  EXPECT_GT(turns, 0);
}

TEST(PeerKeys, AreReadOrToldOff) {
  const cli::TemporaryFolder folder;
  const std::string path = folder.path() + "/keys";
  const auto fault = [&](const std::string& text, mode_t mode = 0600) -> std::string {
    std::ofstream(path) << text;
    chmod(path.c_str(), mode);
    try {
      ReadGossipKeys(path);
      return "none";
    } catch (const std::runtime_error& wrong) {
      return wrong.what();
    }
  };
  const std::string key = GenerateGossipKey();
  EXPECT_EQ(fault(key), "none");
  EXPECT_EQ(fault("# the old one\n" + key + GenerateGossipKey()), "none");
  EXPECT_NE(fault(key + "12\n").find("line 2: no key; wanted 64 hex digits"), std::string::npos);
  EXPECT_NE(fault(key + GenerateGossipKey() + GenerateGossipKey()).find("3 keys; wanted one, or two"),
            std::string::npos);
  EXPECT_NE(fault("").find("hingelink fleet key"), std::string::npos);
  EXPECT_NE(fault(key, 0644).find("wanted mode 0600"), std::string::npos);
  std::filesystem::remove(path);
  EXPECT_THROW(ReadGossipKeys(path), std::runtime_error);
}

}  // namespace
}  // namespace hingelink::net
