// The ends of gateways' connections, each forced at the instant in which something is still owed: the test
// holds both ends of the socket and turns the loop itself, so that bytes lie unread exactly where it wants
// them.
#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../node/scripted_peers.h"
#include "net/connection_set.h"
#include "net/listener.h"
#include "net/single_loop_front_end.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using peers::Frame;
using peers::Gateway;
using peers::Socket;

const std::string kCheck = Gateway::Encode(6, 1, std::string(1, '\0'));

// A set of connections on a loop that goes round only when the test says so.
class ConnectionLifecycleTest : public testing::Test {
 protected:
  struct Peer {
    Gateway gateway;
    std::uint64_t id = 0;
  };

  // A connection as it stands right behind the accept.
  Peer Connect() {
    Gateway gateway(port_.number());
    const int accepted = port_.Accept();
    // Buffers that the kernel makes as small as it can, so that a test can fill them.
    const int least = 1;
    setsockopt(accepted, SOL_SOCKET, SO_SNDBUF, &least, sizeof least);
    setsockopt(gateway.socket().fd(), SOL_SOCKET, SO_RCVBUF, &least, sizeof least);
    set_->Add(++last_id_, accepted);
    return {std::move(gateway), last_id_};
  }

  // One that has sent a whole frame and has read its answer.
  Peer ConnectUsed() {
    Peer peer = Connect();
    peer.gateway.Write(kCheck);
    Turn();
    EXPECT_EQ(peer.gateway.Read().type, 7);
    return peer;
  }

  // Runs all that is ready.
  void Turn() {
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    set_->Sweep();
  }

  // Runs the loop until it holds.
  template <class Condition>
  void TurnUntil(const Condition& holds) {
    const auto until = Steady::now() + 20s;
    while (!holds() && Steady::now() < until) {
      tick_.Start(1ms);
      event_base_loop(base_.get(), EVLOOP_ONCE);
      set_->Sweep();
    }
    EXPECT_TRUE(holds());
  }

  // Every connection has been quiet for longer than `span` behind this.
  static void LetPass(std::chrono::milliseconds span) {
    const auto until = Steady::now() + span + 1ms;
    while (Steady::now() < until) {
    }
  }

  void CloseIdleNow() {
    LetPass(2ms);
    set_->CloseIdle(1ms);
    set_->CloseIdle(0ms);  // The sweeps that would follow are off again.
  }

  void Answer(std::size_t request, std::string_view result) {
    set_->Deliver(requests_.at(request), core::Served(result));
    Turn();
  }

  class ListeningPort {
   public:
    ListeningPort() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
      sockaddr_in any = ParseAddress("127.0.0.1:0");
      EXPECT_EQ(bind(fd_.get(), reinterpret_cast<sockaddr*>(&any), sizeof any), 0);
      EXPECT_EQ(listen(fd_.get(), 64), 0);
    }
    std::uint16_t number() const { return LocalPort(fd_.get()); }
    int Accept() const { return accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); }

   private:
    Descriptor fd_;
  };

  BasePtr base_ = MakeBase();
  std::vector<core::StreamAddress> requests_;
  std::vector<core::StreamAddress> gone_;
  std::vector<std::uint64_t> freed_;
  std::unique_ptr<ConnectionSet> set_ = std::make_unique<ConnectionSet>(
      base_.get(), ConnectionSet::Events{
                       .request = [this](const core::IncomingRequest& r) { requests_.push_back(r.reply_to); },
                       .disconnected = [this](core::StreamAddress from) { gone_.push_back(from); },
                       .deep_check = {},
                       .class_counts = [](std::string_view) { return core::ClassCountsPtr(); },
                       .closed = [this](std::uint64_t id) { freed_.push_back(id); },
                       .may_read_frame = {},
                       .before_read = {}});

 private:
  ListeningPort port_;
  Timer tick_{base_.get(), [] {}};
  std::uint64_t last_id_ = 0;
};

// ---- Idle close ----

// Both orders of a request and the idle sweep, with the request split at each byte: what lies unread, or is
// half read, keeps the connection, and the request is answered whole.
TEST_F(ConnectionLifecycleTest, IdleCloseSparesARequestThatLiesUnreadAtEachSplit) {
  const std::string request = Gateway::Request(7, "00000000000000a1", "body");
  for (std::size_t split = 1; split <= request.size(); ++split) {
    Peer peer = ConnectUsed();
    const std::size_t before = requests_.size();
    peer.gateway.Write(request.substr(0, split));
    CloseIdleNow();  // The bytes lie in the kernel's buffer.
    Turn();
    CloseIdleNow();  // They lie in this side's buffer.
    peer.gateway.Write(request.substr(split));
    TurnUntil([&] { return requests_.size() == before + 1; });
    Answer(before, "result");
    ASSERT_EQ(peer.gateway.ReadAnswer(7, 0).body, "result") << split;
  }
}

// The other order: the close is under way when the request is sent. It is never told to the node, and the
// peer sees the end of the stream, not a reset.
TEST_F(ConnectionLifecycleTest, ARequestBehindTheIdleCloseIsDroppedWithoutAReset) {
  const std::string request = Gateway::Request(7, "00000000000000a1", "body");
  for (std::size_t split = 1; split <= request.size(); ++split) {
    Peer peer = ConnectUsed();
    CloseIdleNow();
    peer.gateway.Write(request.substr(0, split));
    Turn();
    if (split < request.size()) peer.gateway.Write(request.substr(split));
    Turn();
    ASSERT_TRUE(peer.gateway.socket().Finished()) << split;
    ASSERT_EQ(set_->size(), 1u);  // Its descriptor counts until the peer has closed.
    peer.gateway.socket().Close();
    TurnUntil([&] { return set_->size() == 0; });
    ASSERT_EQ(freed_.back(), peer.id);
  }
  EXPECT_TRUE(requests_.empty());
}

// An answer that the peer has not read yet survives an idle close with bytes on their way.
TEST_F(ConnectionLifecycleTest, AnUnreadAnswerSurvivesTheIdleClose) {
  Peer peer = Connect();
  peer.gateway.Write(Gateway::Request(7, "00000000000000a1", "body"));
  Turn();
  Answer(0, std::string(4096, 'r'));
  CloseIdleNow();
  peer.gateway.Write(kCheck);
  Turn();
  EXPECT_EQ(peer.gateway.ReadAnswer(7, 0).body.size(), 4096u);
  EXPECT_TRUE(peer.gateway.socket().Finished());
}

// ---- Lingering ----

TEST_F(ConnectionLifecycleTest, APeerThatNeverClosesIsClosedInTime) {
  Peer peer = ConnectUsed();
  const auto began = Steady::now();
  CloseIdleNow();
  TurnUntil([&] { return set_->size() == 0; });
  EXPECT_GE(Steady::now() - began, LingeringCloser::kLingerTime);
  EXPECT_TRUE(peer.gateway.socket().Finished());
}

TEST_F(ConnectionLifecycleTest, APeerThatFloodsIsClosedByItsBytes) {
  Peer peer = ConnectUsed();
  const auto began = Steady::now();
  CloseIdleNow();
  const std::string flood(64 * 1024, 'x');
  std::size_t sent = 0;
  while (set_->size() > 0 && sent <= 2 * LingeringCloser::kLingerBytes) {
    const ssize_t part =
        send(peer.gateway.socket().fd(), flood.data(), flood.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (part > 0) sent += static_cast<std::size_t>(part);
    Turn();
  }
  EXPECT_EQ(set_->size(), 0u);
  EXPECT_GT(sent, LingeringCloser::kLingerBytes);
  EXPECT_LT(Steady::now() - began, LingeringCloser::kLingerTime);
}

TEST_F(ConnectionLifecycleTest, APeerThatResetsWhileItLingersFreesTheDescriptor) {
  Peer peer = ConnectUsed();
  CloseIdleNow();
  peer.gateway.socket().Reset();
  TurnUntil([&] { return set_->size() == 0; });
}

// ---- Eviction at the descriptor limit ----

TEST_F(ConnectionLifecycleTest, EvictionTakesLingeringSocketsFirst) {
  Peer lingering = ConnectUsed();
  CloseIdleNow();
  Peer fresh = ConnectUsed();
  EXPECT_TRUE(set_->EvictOne());
  EXPECT_EQ(freed_, std::vector<std::uint64_t>{lingering.id});
  EXPECT_TRUE(set_->EvictOne());
  EXPECT_EQ(freed_.back(), fresh.id);
  EXPECT_FALSE(set_->EvictOne());
}

TEST_F(ConnectionLifecycleTest, EvictionSparesARequestThatLiesUnreadAtEachSplit) {
  const std::string request = Gateway::Request(7, "00000000000000a1", "body");
  for (std::size_t split = 1; split <= request.size(); ++split) {
    Peer peer = ConnectUsed();
    peer.gateway.Write(request.substr(0, split));
    ASSERT_FALSE(set_->EvictOne()) << split;
    Turn();
    ASSERT_FALSE(set_->EvictOne()) << split;
    peer.gateway.socket().Reset();
    TurnUntil([&] { return set_->size() == 0; });
  }
}

TEST_F(ConnectionLifecycleTest, EvictionSparesAnOverlongFrameThatIsBeingSkipped) {
  Peer peer = ConnectUsed();
  peer.gateway.Write(peers::Number(200'000, 4) + peers::Number(0, 1) + peers::Number(9, 4) +
                     std::string(100, 'x'));
  Turn();
  peer.gateway.ReadAnswer(9, 1);
  EXPECT_FALSE(set_->EvictOne());
  CloseIdleNow();
  peer.gateway.Write(std::string(200'000 - 5 - 100, 'x') + kCheck);
  std::optional<Frame> answer;
  TurnUntil([&] { return peer.gateway.socket().Ready(0); });
  EXPECT_EQ(peer.gateway.Read().type, 7);
}

// ---- Handover: quiet connections ----

TEST_F(ConnectionLifecycleTest, AHandoverSparesARequestThatLiesUnread) {
  Peer peer = ConnectUsed();
  set_->StopNewRequests();
  Turn();
  EXPECT_EQ(peer.gateway.Read().type, 9);
  LetPass(110ms);
  peer.gateway.Write(Gateway::Request(7, "00000000000000a1", "crossed"));
  set_->CloseIdleForHandover();
  TurnUntil([&] { return requests_.size() == 1; });
  Answer(0, "result");
  EXPECT_EQ(peer.gateway.ReadAnswer(7, 0).body, "result");
  LetPass(110ms);
  set_->CloseIdleForHandover();
  peer.gateway.Write(kCheck);  // Behind the close: no reset.
  Turn();
  EXPECT_TRUE(peer.gateway.socket().Finished());
  EXPECT_EQ(set_->size(), 1u);
}

// ---- Exit ----

// The last answers are with the peer's kernel, unread, and further bytes have come: both arrive at the peer.
TEST_F(ConnectionLifecycleTest, AnswersSurviveTheExitWithBytesUnread) {
  Peer peer = Connect();
  peer.gateway.Write(Gateway::Request(7, "00000000000000a1", "body"));
  Turn();
  Answer(0, std::string(4096, 'r'));
  peer.gateway.Write(Gateway::Request(8, "00000000000000a2", "late"));
  set_->Shutdown(Steady::now() + 20ms);
  EXPECT_EQ(peer.gateway.ReadAnswer(7, 0).body.size(), 4096u);
  EXPECT_TRUE(peer.gateway.socket().Finished());
  EXPECT_EQ(requests_.size(), 1u);  // The late one was not told, and so never runs.
  EXPECT_EQ(set_->size(), 0u);
}

TEST_F(ConnectionLifecycleTest, TheExitDoesNotWaitLongerThanToldForPeersThatStay) {
  Peer peer = ConnectUsed();
  const auto until = Steady::now() + 20ms;
  set_->Shutdown(until);
  EXPECT_GE(Steady::now(), until);
  EXPECT_LT(Steady::now(), until + LingeringCloser::kLingerTime);
  EXPECT_EQ(set_->size(), 0u);
}

// ---- The peer's end ----

// A caller that closes has left (docs/clients.md), in either order of its last frame and the end of the
// stream.
TEST_F(ConnectionLifecycleTest, ARequestWithTheEndOfTheStreamIsReadAndThenGone) {
  Peer peer = Connect();
  peer.gateway.Write(Gateway::Request(7, "00000000000000a1", "body"));
  shutdown(peer.gateway.socket().fd(), SHUT_WR);
  TurnUntil([&] { return set_->size() == 0; });
  ASSERT_EQ(requests_.size(), 1u);
  EXPECT_EQ(gone_, requests_);
}

TEST_F(ConnectionLifecycleTest, AResetAtEachByteOfARequestDisturbsNoOther) {
  const std::string request = Gateway::Request(7, "00000000000000a1", "body");
  Peer good = ConnectUsed();
  for (std::size_t split = 1; split <= request.size(); ++split) {
    Peer peer = Connect();
    peer.gateway.Write(request.substr(0, split));
    if (split % 2 == 0) Turn();
    peer.gateway.socket().Reset();
    TurnUntil([&] { return set_->size() == 1; });
  }
  EXPECT_EQ(gone_.size(), requests_.size());
  good.gateway.Write(kCheck);
  Turn();
  EXPECT_EQ(good.gateway.Read().type, 7);
}

// ---- Framing faults ----

// The error reaches the peer however much of what it sent lies unread, and its open request is answered
// first.
TEST_F(ConnectionLifecycleTest, TheErrorOfAFramingFaultIsReadWithBytesUnread) {
  Peer peer = Connect();
  peer.gateway.Write(Gateway::Request(7, "00000000000000a1", "body"));
  Turn();
  peer.gateway.Write(Gateway::Encode(3, 1, ""));
  Turn();
  peer.gateway.Write(std::string(100'000, 'x'));
  Turn();
  peer.gateway.ReadAnswer(7, 2);
  peer.gateway.ReadAnswer(0, 2);
  EXPECT_TRUE(peer.gateway.socket().Finished());
  EXPECT_EQ(gone_, requests_);
}

// ---- A peer that reads nothing ----

TEST_F(ConnectionLifecycleTest, APeerThatTakesNoAnswersIsEndedAndItsRequestsAreGone) {
  constexpr std::uint32_t kOpen = 32;
  Peer peer = Connect();
  std::string requests;
  for (std::uint32_t stream = 1; stream <= kOpen; ++stream) {
    requests += Gateway::Request(stream, "00000000000000a1", "x");
  }
  peer.gateway.Write(requests);
  TurnUntil([&] { return requests_.size() == kOpen; });
  // All but one are answered, with more than the small buffers of this connection hold.
  for (std::uint32_t i = 0; i + 1 < kOpen; ++i)
    set_->Deliver(requests_[i], core::Served(std::string(4096, 'r')));
  peer.gateway.Write(Gateway::Request(kOpen + 1, "00000000000000a2", "not read"));
  TurnUntil([&] { return set_->size() == 0; });
  EXPECT_EQ(gone_, std::vector<core::StreamAddress>{requests_.back()});
  EXPECT_EQ(requests_.size(), kOpen);
}

// ---- A flood at the descriptor limit ----

class FloodTest : public testing::Test {
 protected:
  // All of them have connected and sent a request before the node accepts the first.
  std::vector<Gateway> Flood(SingleLoopFrontEnd& front, std::uint32_t clients) {
    std::vector<Gateway> flood;
    for (std::uint32_t i = 1; i <= clients; ++i) {
      flood.emplace_back(front.port());
      flood.back().Write(Gateway::Request(i, "00000000000000a1", "x"));
    }
    return flood;
  }
  SingleLoopFrontEnd MakeFront(std::size_t most) {
    return SingleLoopFrontEnd(base_.get(), ParseAddress("127.0.0.1:0"), Descriptor(), most,
                              {.request = [this](const core::IncomingRequest& r) { Take(r); },
                               .disconnected = [](core::StreamAddress) {},
                               .deep_check = {},
                               .class_counts = [](std::string_view) { return core::ClassCountsPtr(); }});
  }
  void Take(const core::IncomingRequest& request) {
    if (on_request_) on_request_();
    requests_.push_back(request.reply_to);
  }
  void Turn(SingleLoopFrontEnd& front) {
    tick_.Start(1ms);
    event_base_loop(base_.get(), EVLOOP_ONCE);
    front.Sweep();
  }

  BasePtr base_ = MakeBase();
  std::function<void()> on_request_;
  std::vector<core::StreamAddress> requests_;

 private:
  Timer tick_{base_.get(), [] {}};
};

// More clients than descriptors, each with a request on its way: while all connections have one open the
// others wait, and each of them is answered in the end.
TEST_F(FloodTest, NobodyIsClosedWithARequestUnreadWhileAllConnectionsHaveOneOpen) {
  constexpr std::size_t kMost = 4;
  constexpr std::uint32_t kClients = 24;
  SingleLoopFrontEnd front = MakeFront(kMost);
  std::vector<Gateway> flood = Flood(front, kClients);
  const auto until = Steady::now() + 20s;
  std::size_t answered = 0;
  while (answered < kClients && Steady::now() < until) {
    while (requests_.size() < std::min<std::size_t>(answered + kMost, kClients) && Steady::now() < until)
      Turn(front);
    for (int i = 0; i < 40; ++i) Turn(front);  // It is full, and stays so: nobody else is let in or closed.
    ASSERT_EQ(requests_.size(), std::min<std::size_t>(answered + kMost, kClients));
    ASSERT_LE(front.connections(), kMost + 1);
    while (answered < requests_.size()) front.Deliver(requests_[answered++], core::Served("result"));
  }
  for (std::uint32_t i = 0; i < kClients; ++i) {
    for (int turns = 0; turns < 100 && !flood[i].socket().Ready(0); ++turns) Turn(front);
    EXPECT_EQ(flood[i].ReadAnswer(i + 1, 0).body, "result");
  }
}

// What has come on connections that stand is read before a flood of further ones is accepted.
TEST_F(FloodTest, ConnectionsAreReadBetweenGroupsOfAccepts) {
  SingleLoopFrontEnd front = MakeFront(1000);
  std::size_t standing_at_first_request = 0;
  on_request_ = [&] {
    if (requests_.empty()) standing_at_first_request = front.connections();
  };
  std::vector<Gateway> flood = Flood(front, 200);
  for (int turns = 0; turns < 1000 && requests_.size() < flood.size(); ++turns) Turn(front);
  EXPECT_EQ(requests_.size(), flood.size());
  EXPECT_LE(standing_at_first_request, 32u);
}

// A notice to leave while one waits at the limit: it is taken, and what it sent is read.
TEST_F(FloodTest, TheOneThatWaitsForRoomIsTakenAtTheEnd) {
  SingleLoopFrontEnd front = MakeFront(1);
  std::vector<Gateway> flood = Flood(front, 2);
  for (int turns = 0; turns < 40; ++turns) Turn(front);
  ASSERT_EQ(requests_.size(), 1u);
  front.StopListening();
  for (int turns = 0; turns < 40; ++turns) Turn(front);
  ASSERT_EQ(requests_.size(), 2u);
}

// Of many ordinary events only some run before an urgent one that has become ready meanwhile.
TEST(EventBaseTest, WhatIsUrgentIsServedBetweenOrdinaryEvents) {
  constexpr int kOrdinaryEvents = 1000;
  BasePtr base = MakeBase();
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  const Descriptor reading(ends[0]), writing(ends[1]);
  int ordinary = 0, ordinary_before_urgent = -1;
  auto on_urgent = [&] { ordinary_before_urgent = ordinary; };
  const EventPtr urgent(event_new(
      base.get(), reading.get(), EV_READ,
      [](evutil_socket_t, short, void* call) { (*static_cast<decltype(on_urgent)*>(call))(); }, &on_urgent));
  event_priority_set(urgent.get(), kHighPriority);
  event_add(urgent.get(), nullptr);
  auto on_ordinary = [&] {
    if (ordinary++ > 0) return;
    EXPECT_EQ(write(writing.get(), "x", 1), 1);
  };
  std::vector<EventPtr> events;
  for (int i = 0; i < kOrdinaryEvents; ++i) {
    events.emplace_back(event_new(
        base.get(), -1, 0,
        [](evutil_socket_t, short, void* call) { (*static_cast<decltype(on_ordinary)*>(call))(); },
        &on_ordinary));
    event_active(events.back().get(), EV_TIMEOUT, 0);
  }
  event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_EQ(ordinary, kOrdinaryEvents);
  EXPECT_GE(ordinary_before_urgent, 1);
  EXPECT_LE(ordinary_before_urgent, 100);
}

// ---- The listener ----

class ListenerLifecycleTest : public testing::Test {
 protected:
  static Descriptor Begin(std::uint16_t port) {
    Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    sockaddr_in at = ParseAddress("127.0.0.1:" + std::to_string(port));
    connect(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at);
    return fd;
  }
  static bool Connected(const Descriptor& fd) {
    pollfd one{fd.get(), POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    return poll(&one, 1, 0) == 1 && getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error == 0;
  }

  BasePtr base_ = MakeBase();
  std::vector<Descriptor> accepted_;
  Listener listener_{base_.get(), ParseAddress("127.0.0.1:0"), Descriptor(),
                     [this](evutil_socket_t fd) { accepted_.emplace_back(fd); }};
};

TEST_F(ListenerLifecycleTest, StopTakesAllThatTheKernelHasAccepted) {
  std::vector<Descriptor> clients;
  for (int i = 0; i < 50; ++i) clients.push_back(Begin(listener_.port()));
  listener_.Stop();
  EXPECT_EQ(accepted_.size(), clients.size());
}

// Between the last look into the queue and the close nobody gets a connection, which would be reset with what
// was sent on it: the handshake does not end, and is refused once the socket is closed.
TEST_F(ListenerLifecycleTest, NoConnectionSlipsInBetweenTheLastAcceptAndTheClose) {
  const std::uint16_t port = listener_.port();
  Descriptor late;
  listener_.Stop([&] {
    late = Begin(port);
    EXPECT_FALSE(Connected(late));
  });
  EXPECT_TRUE(accepted_.empty());
  pollfd one{late.get(), POLLOUT, 0};
  ASSERT_EQ(poll(&one, 1, 20'000), 1);
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(late.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  EXPECT_EQ(error, ECONNREFUSED);
}

}  // namespace
}  // namespace hingelink::net
