#include "control/server.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace hingelink::control {
namespace {

using namespace std::chrono_literals;
using net::Steady;

constexpr int kBacklog = 16;
constexpr auto kListenAgain = 100ms;
constexpr auto kWatchLook = 50ms;
constexpr auto kUsualEvery = 250ms;

// The JSON of a snapshot goes into each line as text: it is made once for all watchers.
std::string ResultText(std::uint64_t id, const std::string& result) {
  return "{\"v\":" + std::to_string(kVersion) + ",\"id\":" + std::to_string(id) +
         ",\"ok\":true,\"result\":" + result + "}\n";
}

}  // namespace

class Server::Client {
 public:
  Client(Server& server, std::uint64_t id, net::Descriptor fd)
      : server_(server),
        id_(id),
        bev_(bufferevent_socket_new(server.base_, fd.release(), BEV_OPT_CLOSE_ON_FREE)),
        patience_(server.base_, [this] { server_.End(*this, "slow"); }) {
    if (!bev_) throw std::runtime_error("libevent: no bufferevent");
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Client*>(self)->Read(); },
        [](bufferevent*, void* self) { static_cast<Client*>(self)->Written(); },
        [](bufferevent*, short what, void* self) {
          auto* it = static_cast<Client*>(self);
          it->server_.End(*it, (what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
        },
        this);
    // Guards the memory against a line without end.
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, kMaxRequestBytes);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  }

  void Read() {
    while (!stopped_) {
      const std::string_view all = net::ReceivedBytes(bev_.get());
      const std::size_t end = all.find('\n');
      if (end == std::string_view::npos) {
        if (all.size() >= kMaxRequestBytes) {
          Send(ErrorLine(0, RequestError("line-too-long", "a request is one line of at most 4096 bytes")));
          server_.End(*this, "line-too-long");
        } else if (all.empty()) {
          if (net::UnsentBytes(bev_.get()) == 0) patience_.Stop();
        } else if (!std::exchange(in_line_, true)) {
          patience_.Start(kClientTimeout);
        }
        return;
      }
      // Who does not read its answers is not asked for more questions; and no client, nor all together, may
      // ask more than so often.
      if (net::UnsentBytes(bev_.get()) > 0 || !server_.TakeTurn()) {
        waits_ = true;
        // Guards against a loop that spins: libevent calls again and again for a buffer that stays full.
        bufferevent_disable(bev_.get(), EV_READ);
        return;
      }
      if (std::exchange(waits_, false)) bufferevent_enable(bev_.get(), EV_READ);
      in_line_ = false;
      used_ = Steady::now();
      patience_.Stop();
      std::uint64_t id = 0;
      try {
        const Request request = ReadRequest(all.substr(0, end));
        id = request.id;
        server_.Serve(*this, request);
      } catch (const RequestError& error) {
        Send(ErrorLine(id, error));
      }
      if (!stopped_) net::Consume(bev_.get(), end + 1);
    }
  }
  void Send(const std::string& line) {
    net::Send(bev_.get(), line);
    patience_.Start(kClientTimeout);
  }
  void Written() {
    if (!in_line_) patience_.Stop();
    if (waits_) Read();
  }
  // Whether it has read all that it was sent, also what the kernel keeps.
  bool HasReadAll() const {
    int unread = 0;
    return net::UnsentBytes(bev_.get()) == 0 &&
           ioctl(bufferevent_getfd(bev_.get()), SIOCOUTQ, &unread) == 0 && unread == 0;
  }
  void Stop() {
    stopped_ = true;
    patience_.Stop();
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    // What it was told last goes out as far as the socket takes it.
    evbuffer* unsent = bufferevent_get_output(bev_.get());
    evbuffer_unfreeze(unsent, 1);
    if (evbuffer_get_length(unsent) > 0) evbuffer_write(unsent, bufferevent_getfd(bev_.get()));
  }

  Server& server_;
  const std::uint64_t id_;
  net::BufferPtr bev_;
  net::Timer patience_;
  Steady::time_point used_ = Steady::now();
  std::optional<std::uint64_t> watch_;  // The request to watch.
  std::chrono::milliseconds every_{0};
  Steady::time_point next_{};
  bool waits_ = false;  // For its turn.

 private:
  bool in_line_ = false;
  bool stopped_ = false;
};

Server::Server(event_base* base, Options options, std::function<Json()> snapshot,
               std::map<std::string, Handler> handlers)
    : base_(base),
      options_(std::move(options)),
      snapshot_(std::move(snapshot)),
      handlers_(std::move(handlers)),
      tick_(base, [this] { Tick(); }),
      watch_(base, [this] { Watch(); }),
      sweep_(base, [this] { ended_.clear(); }),
      listen_again_(base, [this] { event_add(accept_.get(), nullptr); }) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (options_.path.size() >= sizeof address.sun_path) {
    throw std::runtime_error("control socket: the path is too long (" + std::to_string(options_.path.size()) +
                             " bytes of at most " + std::to_string(sizeof address.sun_path - 1) +
                             "): " + options_.path);
  }
  std::memcpy(address.sun_path, options_.path.data(), options_.path.size());
  const auto* at = reinterpret_cast<const sockaddr*>(&address);
  {
    // Guards against two processes at one path, of which the first would never be found again.
    net::Descriptor other(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (connect(other.get(), at, sizeof address) == 0 || errno == EAGAIN) {
      throw std::runtime_error("control socket: another process answers at " + options_.path);
    }
  }
  unlink(options_.path.c_str());
  listener_ = net::Descriptor(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const mode_t before = umask(0177);
  const bool bound = listener_.get() >= 0 && bind(listener_.get(), at, sizeof address) == 0;
  umask(before);
  if (!bound || listen(listener_.get(), kBacklog) != 0) {
    throw std::runtime_error("control socket: cannot listen at " + options_.path + ": " +
                             std::strerror(errno));
  }
  accept_.reset(event_new(
      base_, listener_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Server*>(self)->Accept(); }, this));
  if (!accept_) throw std::runtime_error("libevent: no event");
  event_add(accept_.get(), nullptr);
}

Server::~Server() {
  accept_.reset();
  unlink(options_.path.c_str());
}

void Server::Accept() {
  net::Descriptor fd(accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.get() < 0) {
    if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED) return;
    log::Warn("control-accept-failed", {{"error", std::strerror(errno)}});
    event_del(accept_.get());
    listen_again_.Start(kListenAgain);
    return;
  }
  ucred peer{};
  socklen_t size = sizeof peer;
  if (getsockopt(fd.get(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0 || peer.uid != options_.owner) {
    log::PeerEvent("control-turned-away", {{"uid", peer.uid}, {"pid", peer.pid}});
    return;
  }
  if (clients_.size() >= kMaxClients) {
    Client* quiet = nullptr;
    for (const auto& [id, client] : clients_) {
      if (!client->watch_ && (quiet == nullptr || client->used_ < quiet->used_)) quiet = client.get();
    }
    if (quiet == nullptr) return;
    End(*quiet, "made-room");
  }
  const std::uint64_t id = ++last_id_;
  clients_.emplace(id, std::make_unique<Client>(*this, id, std::move(fd)));
}

void Server::End(Client& client, const char* reason) {
  auto node = clients_.extract(client.id_);
  if (node.empty()) return;
  if (std::strcmp(reason, "peer-closed") != 0) {
    log::PeerEvent("control-client-end", {{"id", client.id_}, {"reason", reason}});
  }
  client.Stop();
  ended_.push_back(std::move(node.mapped()));
  sweep_.Start(0ms);
}

bool Server::TakeTurn() {
  if (turns_ == 0) {
    tick_.Start(kRateLimitInterval);
    return false;
  }
  // The first of a tick starts it.
  if (turns_-- == kRequestsPerTick) tick_.Start(kRateLimitInterval);
  return true;
}

void Server::Tick() {
  turns_ = kRequestsPerTick;
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, client] : clients_) {
    if (client->waits_) waiting.push_back(id);
  }
  // The one that was served longest ago first: guards against one that asks without end.
  std::sort(waiting.begin(), waiting.end(),
            [this](std::uint64_t a, std::uint64_t b) { return clients_[a]->used_ < clients_[b]->used_; });
  for (const std::uint64_t id : waiting) {
    if (const auto it = clients_.find(id); it != clients_.end()) it->second->Read();
  }
}

const std::string& Server::SnapshotText() {
  const Steady::time_point now = Steady::now();
  if (!snapshot_at_ || now - *snapshot_at_ >= kSnapshotMaxAge) {
    snapshot_text_ = snapshot_().dump(-1, ' ', false, Json::error_handler_t::replace);
    snapshot_at_ = now;
  }
  return snapshot_text_;
}

std::size_t Server::watchers() const {
  return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(),
                                                [](const auto& c) { return c.second->watch_.has_value(); }));
}

void Server::Serve(Client& client, const Request& request) {
  if (request.op == "status") {
    client.Send(ResultText(request.id, SnapshotText()));
    return;
  }
  if (request.op == "watch") {
    if (!client.watch_ && watchers() >= kMaxWatchers) {
      throw RequestError("too-many-watchers",
                         std::to_string(kMaxWatchers) + " watch already; end one of them");
    }
    client.watch_ = request.id;
    client.every_ = std::chrono::milliseconds(request.args.value("every_ms", kUsualEvery.count()));
    client.next_ = Steady::now() + client.every_;
    client.Send(ResultText(request.id, SnapshotText()));
    watch_.Start(kWatchLook);
    return;
  }
  const auto handler = handlers_.find(request.op);
  if (handler == handlers_.end())
    throw RequestError("not-here", "'" + request.op + "' is not served on this socket");
  // What is changed shows in the next snapshot.
  snapshot_at_.reset();
  client.Send(ResultLine(request.id, handler->second(request.args)));
}

void Server::Watch() {
  const Steady::time_point now = Steady::now();
  bool any = false;
  for (const auto& [id, client] : clients_) {
    if (!client->watch_) continue;
    any = true;
    if (client->next_ > now) continue;
    client->next_ = std::max(client->next_ + client->every_, now);
    // Guards against a backlog: one that has not read the last gets the newest once it has.
    if (!client->HasReadAll()) {
      ++skipped_snapshots_;
      continue;
    }
    net::Send(client->bev_.get(), ResultText(*client->watch_, SnapshotText()));
  }
  if (any) watch_.Start(kWatchLook);
}

}  // namespace hingelink::control
