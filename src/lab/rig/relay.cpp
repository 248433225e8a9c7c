#include "lab/rig/relay.h"

#include <arpa/inet.h>

#include <algorithm>
#include <deque>
#include <stdexcept>

namespace hingelink::lab {
namespace {

using net::Steady;

constexpr std::size_t kMostDatagram = 2'048;
// Of one connection and direction; beyond it the sender waits, as on any link.
constexpr std::size_t kMostHeld = 1 << 18;

Steady::duration ToSteady(Millis span) { return std::chrono::duration_cast<Steady::duration>(span); }

sockaddr_in AnyPort() {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

}  // namespace

DatagramRelay::DatagramRelay(RelayHost host, const std::vector<std::string>& real, RelayCounts& counts)
    : host_(std::move(host)), counts_(counts), timer_(host_.base, [this] { Arm(); }) {
  for (std::size_t i = 0; i < real.size(); ++i) {
    auto end = std::make_unique<End>();
    end->relay = this;
    end->node = i;
    end->real = net::ParseAddress(real[i]);
    end->socket = net::Descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in any = AnyPort();
    if (bind(end->socket.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0)
      throw std::runtime_error("relay: no address for datagrams");
    // A rig that is late is to be seen as such, not as loss.
    const int buffer = 1 << 20;
    setsockopt(end->socket.get(), SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    end->address = "127.0.0.1:" + std::to_string(net::LocalPort(end->socket.get()));
    end->readable.reset(event_new(
        host_.base, end->socket.get(), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* it) {
          auto* to = static_cast<End*>(it);
          to->relay->Read(*to);
        },
        end.get()));
    event_add(end->readable.get(), nullptr);
    senders_[{end->real.sin_addr.s_addr, end->real.sin_port}] = i;
    ends_.push_back(std::move(end));
  }
  counts_.sent.assign(real.size(), 0);
  counts_.sent_bytes.assign(real.size(), 0);
}

void DatagramRelay::Read(End& to) {
  for (;;) {
    char buffer[kMostDatagram];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t bytes =
        recvfrom(to.socket.get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (bytes < 0) return;
    const auto sender = senders_.find({from.sin_addr.s_addr, from.sin_port});
    // Of no node: somebody else's on this machine.
    if (sender == senders_.end()) continue;
    ++counts_.datagrams;
    counts_.bytes += static_cast<std::uint64_t>(bytes);
    ++counts_.sent[sender->second];
    counts_.sent_bytes[sender->second] += static_cast<std::uint64_t>(bytes);
    const Passage passage = host_.weather->Datagram(
        sender->second, to.node, static_cast<std::size_t>(bytes) + 28, host_.now(), host_.chance);
    if (passage.lost) {
      ++counts_.lost;
      continue;
    }
    std::string datagram(buffer, static_cast<std::size_t>(bytes));
    to.last = datagram;
    if (passage.twice) Pass(sender->second, to, datagram, passage.delay * (1 + 3 * host_.chance()));
    Pass(sender->second, to, std::move(datagram), passage.delay);
  }
}

void DatagramRelay::Pass(std::size_t from, End& to, std::string bytes, Millis after) {
  auto send = [this, from, &to, bytes = std::move(bytes)] {
    sendto(ends_[from]->socket.get(), bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to.real), sizeof to.real);
  };
  if (after.count() < 0.05) return send();
  late_.emplace(host_.now() + after, std::move(send));
  Arm();
}

void DatagramRelay::Arm() {
  while (!late_.empty() && late_.begin()->first <= host_.now()) {
    late_.begin()->second();
    late_.erase(late_.begin());
  }
  if (!late_.empty()) timer_.Start(ToSteady(late_.begin()->first - host_.now()));
}

// Both directions of one connection. What passes late is kept in order.
class ConnectionRelay::Pair {
 public:
  Pair(ConnectionRelay& owner, evutil_socket_t fd)
      : owner_(owner), timer_(owner.host_.base, [this] { Go(); }) {
    Open(0, fd);
    Open(1, -1);
    if (bufferevent_socket_connect(ends_[1].get(), reinterpret_cast<const sockaddr*>(&owner_.target_),
                                   sizeof owner_.target_) != 0) {
      over_ = true;
    }
  }
  bool over() const { return over_; }
  void Go() {
    if (over_) return;
    for (int side : {0, 1}) Forward(side);
    if (ended_ && held_[ended_side_].empty() && net::UnsentBytes(ends_[1 - ended_side_].get()) == 0)
      over_ = true;
  }
  void Reset() {
    for (const net::BufferPtr& end : ends_) {
      if (!end) continue;
      const linger at_once{1, 0};
      setsockopt(bufferevent_getfd(end.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    over_ = true;
  }

 private:
  struct Piece {
    Millis due{0};
    std::string bytes;
  };

  void Open(int side, evutil_socket_t fd) {
    ends_[side].reset(bufferevent_socket_new(owner_.host_.base, fd, BEV_OPT_CLOSE_ON_FREE));
    if (fd >= 0) net::SetNoDelay(fd);
    bufferevent_setcb(ends_[side].get(), side == 0 ? ReadFirst : ReadSecond, nullptr,
                      side == 0 ? EventFirst : EventSecond, this);
    bufferevent_setwatermark(ends_[side].get(), EV_READ, 0, kMostHeld);
    bufferevent_enable(ends_[side].get(), EV_READ | EV_WRITE);
  }
  static void ReadFirst(bufferevent*, void* self) { static_cast<Pair*>(self)->Read(0); }
  static void ReadSecond(bufferevent*, void* self) { static_cast<Pair*>(self)->Read(1); }
  static void EventFirst(bufferevent*, short what, void* self) { static_cast<Pair*>(self)->Event(0, what); }
  static void EventSecond(bufferevent*, short what, void* self) { static_cast<Pair*>(self)->Event(1, what); }

  std::size_t Party(int side) const { return side == 0 ? owner_.from_ : owner_.to_; }

  void Read(int side) {
    if (over_) return;
    if (held_bytes_[side] > kMostHeld) return;  // Until some of it has gone on.
    const std::string_view all = net::ReceivedBytes(ends_[side].get());
    if (all.empty()) return;
    const Millis now = owner_.host_.now();
    const Passage passage =
        owner_.host_.weather->Piece(Party(side), Party(1 - side), all.size(), now, owner_.host_.chance);
    Millis due = now + passage.delay;
    if (!held_[side].empty()) due = std::max(due, held_[side].back().due);
    held_bytes_[side] += all.size();
    held_[side].push_back({due, std::string(all)});
    net::Consume(ends_[side].get(), all.size());
    Forward(side);
  }

  void Forward(int side) {
    while (!held_[side].empty()) {
      const Millis now = owner_.host_.now();
      // A cut holds what was sent until it is over, as the kernel's repeats would have it.
      const Passage passage =
          owner_.host_.weather->Piece(Party(side), Party(1 - side), 0, now, [] { return 1.0; });
      if (passage.lost || passage.stalled) {
        // In the middle of what it is, so that the other side has half of a message.
        std::string& bytes = held_[side].front().bytes;
        if (passage.stalled && bytes.size() > 1 && !halved_[side]) {
          halved_[side] = true;
          net::Send(ends_[1 - side].get(), std::string_view(bytes).substr(0, bytes.size() / 2));
          held_bytes_[side] -= bytes.size() / 2;
          bytes.erase(0, bytes.size() / 2);
        }
        ++owner_.counts_.held;
        return;
      }
      halved_[side] = false;
      if (held_[side].front().due > now) {
        timer_.Start(ToSteady(held_[side].front().due - now));
        return;
      }
      net::Send(ends_[1 - side].get(), held_[side].front().bytes);
      held_bytes_[side] -= held_[side].front().bytes.size();
      held_[side].pop_front();
      if (held_bytes_[side] <= kMostHeld) Read(side);
    }
  }

  void Event(int side, short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      net::SetNoDelay(bufferevent_getfd(ends_[side].get()));
      return;
    }
    Read(side);
    ended_ = true;
    ended_side_ = side;
    if ((what & BEV_EVENT_ERROR) != 0) Reset();
  }

  ConnectionRelay& owner_;
  net::BufferPtr ends_[2];
  std::deque<Piece> held_[2];
  std::size_t held_bytes_[2] = {0, 0};
  bool halved_[2] = {false, false};
  bool ended_ = false, over_ = false;
  int ended_side_ = 0;
  net::Timer timer_;
};

ConnectionRelay::ConnectionRelay(RelayHost host, std::size_t from, std::size_t to, const std::string& target,
                                 RelayCounts& counts)
    : host_(std::move(host)), from_(from), to_(to), target_(net::ParseAddress(target)), counts_(counts) {
  const sockaddr_in any = AnyPort();
  listener_.reset(evconnlistener_new_bind(
      host_.base,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<ConnectionRelay*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 1024, reinterpret_cast<const sockaddr*>(&any),
      sizeof any));
  if (!listener_) throw std::runtime_error("relay: no address for connections");
  address_ = "127.0.0.1:" + std::to_string(net::LocalPort(evconnlistener_get_fd(listener_.get())));
}

ConnectionRelay::~ConnectionRelay() = default;

void ConnectionRelay::Accept(evutil_socket_t fd) {
  ++counts_.connections;
  pairs_.push_back(std::make_unique<Pair>(*this, fd));
}

void ConnectionRelay::Reset() {
  for (const auto& pair : pairs_) {
    if (pair->over()) continue;
    ++counts_.resets;
    pair->Reset();
  }
}

void ConnectionRelay::Sweep() {
  for (const auto& pair : pairs_) pair->Go();
  std::erase_if(pairs_, [](const auto& pair) { return pair->over(); });
}

}  // namespace hingelink::lab
