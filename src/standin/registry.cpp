#include "standin/registry.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace hingelink::standin {
namespace {

constexpr std::string_view kPath = "/v1/instances/";
constexpr std::size_t kMostHead = 8192, kMostBody = 4096, kMostNames = 10'000;

}  // namespace

class Registry::Connection {
 public:
  Connection(Registry& registry, evutil_socket_t fd)
      : registry_(registry), bev_(bufferevent_socket_new(registry.base_, fd, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); }, nullptr,
        [](bufferevent*, short, void* self) { static_cast<Connection*>(self)->Stop(); }, this);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  }
  void Read() {
    while (!stopped_ && !registry_.down_) {
      const std::string_view all = net::ReceivedBytes(bev_.get());
      const std::size_t end = all.find("\r\n\r\n");
      if (end == std::string_view::npos) {
        if (all.size() > kMostHead) Stop();
        return;
      }
      const std::string_view head = all.substr(0, end);
      const std::string_view line = head.substr(0, head.find("\r\n"));
      const std::size_t first = line.find(' '), second = line.find(' ', first + 1);
      std::size_t length = 0;
      constexpr std::string_view kLength = "\r\nContent-Length: ";
      if (const auto at = head.find(kLength); at != std::string_view::npos) {
        std::from_chars(head.data() + at + kLength.size(), head.data() + head.size(), length);
      }
      if (second == std::string_view::npos || length > kMostBody) return Stop();
      if (all.size() < end + 4 + length) return;
      const std::string response = registry_.Take(
          line.substr(0, first), line.substr(first + 1, second - first - 1), all.substr(end + 4, length));
      net::Consume(bev_.get(), end + 4 + length);
      net::Send(bev_.get(), response);
    }
  }
  bool stopped() const { return stopped_; }

 private:
  void Stop() {
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    stopped_ = true;
  }

  Registry& registry_;
  net::BufferPtr bev_;
  bool stopped_ = false;
};

Registry::Registry(event_base* base, const RegistryOptions& options)
    : base_(base), options_(options), draw_(options.seed) {
  const sockaddr_in address = net::ParseAddress(options.listen);
  listener_.reset(evconnlistener_new_bind(
      base,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Registry*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, 16,
      reinterpret_cast<const sockaddr*>(&address), sizeof address));
  if (!listener_) throw std::runtime_error("registry stand-in: cannot listen on " + options.listen);
  address_ = options.listen.substr(0, options.listen.find(':') + 1) +
             std::to_string(net::LocalPort(evconnlistener_get_fd(listener_.get())));
}

Registry::~Registry() = default;

void Registry::Accept(evutil_socket_t fd) {
  std::erase_if(connections_, [](const auto& connection) { return connection->stopped(); });
  connections_.push_back(std::make_unique<Connection>(*this, fd));
}

std::string Registry::Take(std::string_view method, std::string_view path, std::string_view body) {
  if (method == "GET" && path == "/v1/instances") {
    nlohmann::json list = nlohmann::json::object();
    for (const auto& [name, entry] : entries_) {
      if (const std::string state = state_of(name); !state.empty()) list[name] = state;
    }
    const std::string text = list.dump();
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
  }
  const nlohmann::json said = nlohmann::json::parse(body, nullptr, false);
  const std::string state = said.is_object() ? said.value("state", "") : "";
  const bool known = path.starts_with(kPath) && path.size() > kPath.size();
  if (method != "PUT" || !known || (state != "ready" && state != "draining") ||
      entries_.size() >= kMostNames) {
    ++bad_calls_;
    return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
  }
  ++reports_;
  Entry& entry = entries_[std::string(path.substr(kPath.size()))];
  entry.reported = net::Steady::now();
  entry.state = state;
  ++entry.reports;
  if (std::generate_canonical<double, 32>(draw_) < options_.mute_share) return {};
  return "HTTP/1.1 204 No Content\r\n\r\n";
}

std::string Registry::state_of(const std::string& name) const {
  const auto it = entries_.find(name);
  if (it == entries_.end() || net::Steady::now() - it->second.reported > options_.lapse) return {};
  return it->second.state;
}

void Registry::SetDown(bool down) {
  down_ = down;
  if (down) return;
  for (const auto& connection : connections_) connection->Read();
}

}  // namespace hingelink::standin
