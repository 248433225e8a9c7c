#include "standin/store.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "proto/pool_lines.h"
#include "proto/tokenizer.h"

namespace hingelink::standin {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostLine = 256;
constexpr std::size_t kMostBody = 1 << 20;
constexpr auto kLookEach = 5ms;

net::Steady::duration ToSpan(Millis ms) { return std::chrono::duration_cast<net::Steady::duration>(ms); }

}  // namespace

std::string ReplyOf(std::string_view call_body) {
  return "reply " + proto::FormatRequestId(XXH3_64bits(call_body.data(), call_body.size()));
}

class Store::Connection {
 public:
  Connection(Store& store, std::uint64_t id, evutil_socket_t fd)
      : store_(store), id_(id), bev_(bufferevent_socket_new(store.base_, fd, BEV_OPT_CLOSE_ON_FREE)) {
    net::SetNoDelay(fd);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); }, nullptr,
        [](bufferevent*, short, void* self) { static_cast<Connection*>(self)->Stop(); }, this);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  }
  void Stop() {
    if (std::exchange(stopped_, true)) return;
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    if (const auto fd = bufferevent_getfd(bev_.get()); fd >= 0) evutil_closesocket(fd);
    bufferevent_setfd(bev_.get(), -1);
  }
  void Say(std::string_view text) {
    if (!stopped_ && !silent_) net::Send(bev_.get(), text);
  }
  void Silence() { silent_ = true; }
  bool stopped() const { return stopped_; }
  std::uint64_t id() const { return id_; }

 private:
  void Read() {
    while (!stopped_) {
      const std::string_view all = net::ReceivedBytes(bev_.get());
      const std::size_t eol = all.substr(0, kMostLine).find("\r\n");
      if (eol == std::string_view::npos) {
        if (all.size() >= kMostLine) Bad();
        return;
      }
      proto::Tokenizer words(all.substr(0, eol));
      std::size_t size = eol + 2;
      const std::string_view verb = words.Next();
      const auto req = words.Number<std::uint64_t>(16);
      if (!req) return Bad();
      if (verb == "DROP") {
        store_.Drop(id_, *req);
      } else {
        const auto wait = words.Number<double>();
        const auto length = words.Number<std::size_t>();
        if (verb != "CALL" || !wait || *wait < 0 || !length || *length > kMostBody) return Bad();
        if (all.size() < size + *length + 2) return;
        if (all.substr(size + *length, 2) != "\r\n") return Bad();
        // On a silent connection nothing is heard any more.
        if (!silent_) store_.Take(*this, *req, Millis(*wait), all.substr(size, *length));
        size += *length + 2;
      }
      if (!stopped_) net::Consume(bev_.get(), size);
    }
  }
  void Bad() {
    ++store_.counts_.bad_lines;
    Stop();
  }

  Store& store_;
  const std::uint64_t id_;
  net::BufferPtr bev_;
  bool stopped_ = false;
  bool silent_ = false;
};

Store::Store(event_base* base, const StoreOptions& options)
    : base_(base),
      options_(options),
      draw_(options.seed),
      address_(options.listen),
      slots_(options.slots),
      look_(base, [this] { Look(); }),
      up_(base, [this] { SetDown(false); }) {
  Listen();
  look_.Start(kLookEach);
}

Store::~Store() = default;

void Store::Listen() {
  const sockaddr_in address = net::ParseAddress(address_);
  listener_.reset(evconnlistener_new_bind(
      base_,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Store*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, 512,
      reinterpret_cast<const sockaddr*>(&address), sizeof address));
  if (!listener_) throw std::runtime_error("store stand-in: cannot listen on " + address_);
  address_ = address_.substr(0, address_.find(':') + 1) +
             std::to_string(net::LocalPort(evconnlistener_get_fd(listener_.get())));
}

void Store::Accept(evutil_socket_t fd) {
  ++counts_.connections;
  const Millis now = Now();
  accepts_.push_back(now);
  std::erase_if(accepts_, [now](Millis at) { return at < now - Millis(100); });
  counts_.most_accepts_100ms = std::max<std::uint64_t>(counts_.most_accepts_100ms, accepts_.size());
  const std::uint64_t id = ++last_connection_;
  connections_.emplace(id, std::make_unique<Connection>(*this, id, fd));
}

void Store::Take(Connection& connection, std::uint64_t req, Millis wait, std::string_view body) {
  ++counts_.calls;
  Drop(connection.id(), req);
  const Millis now = Now();
  Call call{connection.id(), req, std::string(body), now + wait};
  if (static_cast<double>(calls_.size()) >= options_.busy_above) {
    ++counts_.busy;
    Tell(call, "BUSY", {}, false);
    return;
  }
  if (body.starts_with(kOnceOnly) && ++once_[call.body] > 1) ++counts_.twice;
  ++counts_.begun;
  const std::uint64_t id = ++last_call_;
  calls_.emplace(id, std::move(call));
  slots_.Start(id, options_.work, now);
  counts_.most_in_hand = std::max<std::uint64_t>(counts_.most_in_hand, calls_.size());
}

void Store::Drop(std::uint64_t connection, std::uint64_t req) {
  for (auto& [id, call] : calls_) {
    if (call.connection == connection && call.req == req) {
      ++counts_.dropped;
      GiveUp(id);
      return;
    }
  }
}

// It stays in hand for a while: nobody waits, but the work goes on.
void Store::GiveUp(std::uint64_t id) {
  calls_.at(id).connection = 0;
  lingering_.emplace(Now() + options_.linger, id);
}

void Store::Tell(const Call& call, std::string_view word, std::string_view reply, bool has_reply) {
  const auto at = connections_.find(call.connection);
  if (at == connections_.end() || still_) return;
  std::string line = proto::FormatRequestId(call.req) + ' ' + std::string(word);
  if (has_reply) line += ' ' + std::to_string(reply.size());
  line += "\r\n";
  if (has_reply) line += std::string(reply) + "\r\n";
  at->second->Say(line);
}

void Store::Look() {
  look_.Start(kLookEach);
  ended_.clear();
  const Millis now = Now();
  for (const std::uint64_t id : slots_.TakeEnded(now)) {
    const auto call = calls_.extract(id);
    if (call.empty()) continue;
    const bool error = std::generate_canonical<double, 32>(draw_) < options_.errors;
    ++(error ? counts_.errors : counts_.ok);
    Tell(call.mapped(), error ? "ERR" : "OK", ReplyOf(call.mapped().body), !error);
  }
  while (!lingering_.empty() && lingering_.begin()->first <= now) {
    const std::uint64_t id = lingering_.begin()->second;
    lingering_.erase(lingering_.begin());
    if (calls_.erase(id) != 0) slots_.Cancel(id, now);
  }
  std::vector<std::uint64_t> late;
  for (const auto& [id, call] : calls_) {
    if (options_.answers_late && call.connection != 0 && call.until <= now) late.push_back(id);
  }
  for (const std::uint64_t id : late) {
    ++counts_.late;
    Tell(calls_.at(id), "LATE", {}, false);
    GiveUp(id);
  }
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (!it->second->stopped()) {
      ++it;
      continue;
    }
    for (auto& [id, call] : calls_) {
      if (call.connection == it->first) GiveUp(id);
    }
    ended_.push_back(std::move(it->second));
    it = connections_.erase(it);
  }
  const double fade = std::exp(-(now - mean_at_) / options_.falls_over);
  mean_ = fade * mean_ + (1 - fade) * static_cast<double>(calls_.size());
  mean_at_ = now;
  counts_.most_mean = std::max(counts_.most_mean, mean_);
  if (mean_ > options_.falls_above && listener_) {
    ++counts_.deaths;
    SetDown(true);
    up_.Start(ToSpan(options_.down));
  }
}

void Store::SetDown(bool down) {
  if (!down) {
    if (!listener_) Listen();
    return;
  }
  listener_.reset();
  Break();
  const Millis now = Now();
  for (const auto& [id, call] : calls_) slots_.Cancel(id, now);
  calls_.clear();
  lingering_.clear();
  mean_ = 0;
}

void Store::SetStill(bool still) {
  still_ = still;
  slots_.SetPace(still ? 0 : 1, Now());
}

void Store::Silence(std::size_t most) {
  for (const auto& [id, connection] : connections_) {
    if (most-- == 0) break;
    connection->Silence();
  }
}

void Store::Break() {
  for (const auto& [id, connection] : connections_) connection->Stop();
}

}  // namespace hingelink::standin
