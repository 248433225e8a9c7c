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
constexpr auto kAcceptRetryDelay = 100ms;
constexpr auto kWatchCheckInterval = 50ms;
constexpr auto kDefaultWatchInterval = 250ms;

// Builds a response from a result that is already JSON text, so that a snapshot is serialized once for all
// watchers.
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
        timeout_(server.base_, [this] { server_.CloseClient(*this, "slow"); }) {
    if (!bev_) throw std::runtime_error("libevent: no bufferevent");
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Client*>(self)->OnReadable(); },
        [](bufferevent*, void* self) { static_cast<Client*>(self)->OnWritten(); },
        [](bufferevent*, short what, void* self) {
          auto* it = static_cast<Client*>(self);
          it->server_.CloseClient(*it, (what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
        },
        this);
    // Bounds the memory that a line without a newline takes.
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, kMaxRequestBytes);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  }

  void OnReadable() {
    while (!stopped_) {
      const std::string_view all = net::ReceivedBytes(bev_.get());
      const std::size_t end = all.find('\n');
      if (end == std::string_view::npos) {
        if (all.size() >= kMaxRequestBytes) {
          Send(ErrorLine(0, RequestError("line-too-long", "a request is one line of at most 4096 bytes")));
          server_.CloseClient(*this, "line-too-long");
        } else if (all.empty()) {
          if (net::UnsentBytes(bev_.get()) == 0) timeout_.Stop();
        } else if (!std::exchange(line_incomplete_, true)) {
          timeout_.Start(kClientTimeout);
        }
        return;
      }
      // The next request waits until the client has read its last response and the request budget allows it.
      if (net::UnsentBytes(bev_.get()) > 0 || !server_.TryConsumeRequestBudget()) {
        request_waiting_ = true;
        // Without this, libevent calls back continuously while the input buffer stays full, and the loop
        // spins.
        bufferevent_disable(bev_.get(), EV_READ);
        return;
      }
      if (std::exchange(request_waiting_, false)) bufferevent_enable(bev_.get(), EV_READ);
      line_incomplete_ = false;
      last_request_at_ = Steady::now();
      timeout_.Stop();
      std::uint64_t id = 0;
      try {
        const Request request = ReadRequest(all.substr(0, end));
        id = request.id;
        server_.HandleRequest(*this, request);
      } catch (const RequestError& error) {
        Send(ErrorLine(id, error));
      }
      if (!stopped_) net::Consume(bev_.get(), end + 1);
    }
  }
  void Send(const std::string& line) {
    net::Send(bev_.get(), line);
    timeout_.Start(kClientTimeout);
  }
  void OnWritten() {
    if (!line_incomplete_) timeout_.Stop();
    if (request_waiting_) OnReadable();
  }
  // Whether the client has read everything, including the bytes in the kernel's send buffer.
  bool HasReadAll() const {
    int unread = 0;
    return net::UnsentBytes(bev_.get()) == 0 &&
           ioctl(bufferevent_getfd(bev_.get()), SIOCOUTQ, &unread) == 0 && unread == 0;
  }
  void Stop() {
    stopped_ = true;
    timeout_.Stop();
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    // Sends as much of the last response as the socket accepts without blocking.
    evbuffer* unsent = bufferevent_get_output(bev_.get());
    evbuffer_unfreeze(unsent, 1);
    if (evbuffer_get_length(unsent) > 0) evbuffer_write(unsent, bufferevent_getfd(bev_.get()));
  }

  Server& server_;
  const std::uint64_t id_;
  net::BufferPtr bev_;
  net::Timer timeout_;
  Steady::time_point last_request_at_ = Steady::now();
  std::optional<std::uint64_t> watch_request_id_;  // Empty if the client does not watch.
  std::chrono::milliseconds watch_interval_{0};
  Steady::time_point next_snapshot_at_{};
  // Whether a complete request waits in the input buffer for the budget or for the last response to be read.
  bool request_waiting_ = false;

 private:
  bool line_incomplete_ = false;
  bool stopped_ = false;
};

Server::Server(event_base* base, Options options, std::function<Json()> make_snapshot,
               std::map<std::string, Handler> handlers)
    : base_(base),
      options_(std::move(options)),
      make_snapshot_(std::move(make_snapshot)),
      handlers_(std::move(handlers)),
      rate_limit_timer_(base, [this] { StartRateLimitInterval(); }),
      watch_timer_(base, [this] { SendSnapshotsToWatchers(); }),
      cleanup_timer_(base, [this] { closed_clients_.clear(); }),
      accept_retry_timer_(base, [this] { event_add(accept_.get(), nullptr); }) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (options_.path.size() >= sizeof address.sun_path) {
    throw std::runtime_error("control socket: the path is too long (" + std::to_string(options_.path.size()) +
                             " bytes of at most " + std::to_string(sizeof address.sun_path - 1) +
                             "): " + options_.path);
  }
  std::memcpy(address.sun_path, options_.path.data(), options_.path.size());
  const auto* generic_address = reinterpret_cast<const sockaddr*>(&address);
  {
    // Without this check, a second process would replace the socket of a running one, which would then be
    // unreachable.
    net::Descriptor other(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (connect(other.get(), generic_address, sizeof address) == 0 || errno == EAGAIN) {
      throw std::runtime_error("control socket: another process accepts connections at " + options_.path);
    }
  }
  unlink(options_.path.c_str());
  listener_ = net::Descriptor(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const mode_t old_umask = umask(0177);
  const bool bound = listener_.get() >= 0 && bind(listener_.get(), generic_address, sizeof address) == 0;
  umask(old_umask);
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
    accept_retry_timer_.Start(kAcceptRetryDelay);
    return;
  }
  ucred peer{};
  socklen_t size = sizeof peer;
  if (getsockopt(fd.get(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0 || peer.uid != options_.owner) {
    log::PeerEvent("control-client-rejected", {{"uid", peer.uid}, {"pid", peer.pid}});
    return;
  }
  if (clients_.size() >= kMaxClients) {
    Client* idle_client = nullptr;
    for (const auto& [id, client] : clients_) {
      if (!client->watch_request_id_ &&
          (idle_client == nullptr || client->last_request_at_ < idle_client->last_request_at_))
        idle_client = client.get();
    }
    if (idle_client == nullptr) return;
    CloseClient(*idle_client, "evicted-idle");
  }
  const std::uint64_t id = ++last_client_id_;
  clients_.emplace(id, std::make_unique<Client>(*this, id, std::move(fd)));
}

void Server::CloseClient(Client& client, const char* reason) {
  auto node = clients_.extract(client.id_);
  if (node.empty()) return;
  if (std::strcmp(reason, "peer-closed") != 0) {
    log::PeerEvent("control-client-end", {{"id", client.id_}, {"reason", reason}});
  }
  client.Stop();
  closed_clients_.push_back(std::move(node.mapped()));
  cleanup_timer_.Start(0ms);
}

bool Server::TryConsumeRequestBudget() {
  if (requests_left_ == 0) {
    rate_limit_timer_.Start(kRateLimitInterval);
    return false;
  }
  // The first request after a renewal starts the interval.
  if (requests_left_-- == kRequestsPerInterval) rate_limit_timer_.Start(kRateLimitInterval);
  return true;
}

void Server::StartRateLimitInterval() {
  requests_left_ = kRequestsPerInterval;
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, client] : clients_) {
    if (client->request_waiting_) waiting.push_back(id);
  }
  // The client with the oldest request comes first, so that a client that sends requests continuously cannot
  // starve the others.
  std::sort(waiting.begin(), waiting.end(), [this](std::uint64_t a, std::uint64_t b) {
    return clients_[a]->last_request_at_ < clients_[b]->last_request_at_;
  });
  for (const std::uint64_t id : waiting) {
    if (const auto it = clients_.find(id); it != clients_.end()) it->second->OnReadable();
  }
}

const std::string& Server::CachedSnapshot() {
  const Steady::time_point now = Steady::now();
  if (!snapshot_time_ || now - *snapshot_time_ >= kSnapshotMaxAge) {
    cached_snapshot_ = make_snapshot_().dump(-1, ' ', false, Json::error_handler_t::replace);
    snapshot_time_ = now;
  }
  return cached_snapshot_;
}

std::size_t Server::watchers() const {
  return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(), [](const auto& c) {
    return c.second->watch_request_id_.has_value();
  }));
}

void Server::HandleRequest(Client& client, const Request& request) {
  if (request.op == "status") {
    client.Send(ResultText(request.id, CachedSnapshot()));
    return;
  }
  if (request.op == "watch") {
    if (!client.watch_request_id_ && watchers() >= kMaxWatchers) {
      throw RequestError("too-many-watchers",
                         std::to_string(kMaxWatchers) + " watch already; end one of them");
    }
    client.watch_request_id_ = request.id;
    client.watch_interval_ =
        std::chrono::milliseconds(request.args.value("every_ms", kDefaultWatchInterval.count()));
    client.next_snapshot_at_ = Steady::now() + client.watch_interval_;
    client.Send(ResultText(request.id, CachedSnapshot()));
    watch_timer_.Start(kWatchCheckInterval);
    return;
  }
  const auto handler = handlers_.find(request.op);
  if (handler == handlers_.end())
    throw RequestError("not-here", "'" + request.op + "' is not served on this socket");
  // The request may change the node's state, which the next snapshot must show.
  snapshot_time_.reset();
  client.Send(ResultLine(request.id, handler->second(request.args)));
}

void Server::SendSnapshotsToWatchers() {
  const Steady::time_point now = Steady::now();
  bool has_watchers = false;
  for (const auto& [id, client] : clients_) {
    if (!client->watch_request_id_) continue;
    has_watchers = true;
    if (client->next_snapshot_at_ > now) continue;
    client->next_snapshot_at_ = std::max(client->next_snapshot_at_ + client->watch_interval_, now);
    // A watcher that has not read the previous snapshot is skipped, so that no backlog builds up. It gets the
    // newest snapshot once it has read the previous one.
    if (!client->HasReadAll()) {
      ++skipped_snapshots_;
      continue;
    }
    net::Send(client->bev_.get(), ResultText(*client->watch_request_id_, CachedSnapshot()));
  }
  if (has_watchers) watch_timer_.Start(kWatchCheckInterval);
}

}  // namespace hingelink::control
