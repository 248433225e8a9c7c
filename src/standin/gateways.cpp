#include "standin/gateways.h"

#include <sys/ioctl.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <stdexcept>
#include <utility>

#include "proto/frames.h"
#include "proto/pool_lines.h"
#include "standin/pool.h"

namespace hingelink::standin {
namespace {

using namespace std::chrono_literals;
using net::Steady;

constexpr std::size_t kMostOpen = 32;  // Requests on one connection, by the protocol.
constexpr auto kCrossing = 50ms;       // A request that crosses a close is sent again within this.
constexpr auto kSweepEach = 5ms;
constexpr auto kIdle = 10s;  // After which a gateway closes a connection.
constexpr std::size_t kWaitsKept = 1'000'000;
constexpr auto kFar = std::chrono::hours(1);
constexpr std::size_t kTriesKept = 64;  // Of one request, whose results are good.
constexpr auto kReachAgain = 50ms;      // After a target that could not be reached.

void Put(std::string& out, std::uint64_t value, int bytes) {
  while (bytes-- > 0) out.push_back(static_cast<char>(value >> (8 * bytes) & 0xff));
}
std::uint64_t Value(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char c : bytes) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}

std::string Frame(int type, std::uint32_t stream, std::string_view payload) {
  std::string out;
  Put(out, 5 + payload.size(), 4);
  Put(out, static_cast<std::uint64_t>(type), 1);
  Put(out, stream, 4);
  return out.append(payload);
}

struct Answer {
  double signal = -1;
  Millis holdoff{0};
  bool nomore = false;
  std::string_view body;
  bool good = false;
};

Answer ReadAnswer(std::string_view rest) {
  Answer answer;
  const auto take = [&rest](std::size_t count) -> std::optional<std::string_view> {
    if (rest.size() < count) return std::nullopt;
    const std::string_view taken = rest.substr(0, count);
    rest.remove_prefix(count);
    return taken;
  };
  const auto count = take(1);
  if (!count) return answer;
  for (std::uint64_t left = Value(*count); left > 0; --left) {
    const auto name_size = take(1);
    const auto name = name_size ? take(Value(*name_size)) : std::nullopt;
    const auto size = name ? take(2) : std::nullopt;
    const auto value = size ? take(Value(*size)) : std::nullopt;
    if (!value) return answer;
    double number = 0;
    std::from_chars(value->data(), value->data() + value->size(), number);
    if (*name == "signal") answer.signal = number;
    if (*name == "holdoff") answer.holdoff = Millis(number);
    if (*name == "nomore") answer.nomore = number == 1;
  }
  answer.body = rest;
  answer.good = true;
  return answer;
}

std::string Field(std::string_view name, std::string_view value) {
  std::string out;
  Put(out, name.size(), 1);
  out.append(name);
  Put(out, value.size(), 2);
  return out.append(value);
}

std::string Decimal(double value) {
  char text[32];
  const int size = std::snprintf(text, sizeof text, "%.3f", value);
  return std::string(text, static_cast<std::size_t>(size));
}

std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
  return value ^ (value >> 31);
}

}  // namespace

ClassAccount Account::Sum() const {
  ClassAccount sum;
  sum.name = "all";
  for (const ClassAccount& c : classes) {
    sum.requests += c.requests;
    sum.tries += c.tries;
    sum.served += c.served;
    sum.refused += c.refused;
    sum.failed += c.failed;
    sum.left += c.left;
    sum.lost += c.lost;
    sum.unanswered += c.unanswered;
    sum.late += c.late;
    sum.wrong += c.wrong;
    sum.twice += c.twice;
    sum.cut += c.cut;
    sum.again += c.again;
    sum.not_sent += c.not_sent;
    sum.good += c.good;
    sum.work_asked += c.work_asked;
    sum.work_served += c.work_served;
  }
  return sum;
}

double Account::Wait(double part) const {
  if (waits.empty()) return 0;
  std::vector<float> sorted = waits;
  const auto at = static_cast<std::ptrdiff_t>(part * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + at, sorted.end());
  return sorted[static_cast<std::size_t>(at)];
}

class Gateways::Connection {
 public:
  Connection(Gateways& all, Gateway& gateway, std::uint64_t id, std::size_t target,
             const sockaddr_in& address)
      : all_(all),
        gateway_(gateway),
        id_(id),
        target_(target),
        bev_(bufferevent_socket_new(all.base_, -1, BEV_OPT_CLOSE_ON_FREE)) {
    if (!bev_) throw std::runtime_error("libevent: no bufferevent");
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); }, nullptr,
        [](bufferevent* bev, short what, void* self) {
          auto* it = static_cast<Connection*>(self);
          if ((what & BEV_EVENT_CONNECTED) != 0) {
            net::SetNoDelay(bufferevent_getfd(bev));
            it->connected_ = true;
          } else {
            it->End((what & BEV_EVENT_EOF) != 0);
          }
        },
        this);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0) {
      ended_ = true;
    }
  }

  // Sends a request on a new stream.
  std::uint32_t Request(std::uint64_t req, std::string_view payload) {
    const std::uint32_t stream = ++last_stream_;
    open_[stream] = req;
    net::Send(bev_.get(), Frame(0, stream, payload));
    used_ = Steady::now();
    return stream;
  }
  // Nobody waits any more; a late answer does no harm.
  void Leave(std::uint32_t stream, bool tell) {
    open_.erase(stream);
    past_.insert(stream);
    if (tell && !ended_) net::Send(bev_.get(), Frame(2, stream, {}));
  }
  void End(bool in_order) {
    if (std::exchange(ended_, true)) return;
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    if (const auto fd = bufferevent_getfd(bev_.get()); fd >= 0) evutil_closesocket(fd);
    bufferevent_setfd(bev_.get(), -1);
    all_.Lost(*this, in_order && connected_);
  }
  // With a reset, not a close in order.
  void Reset() {
    const linger now{1, 0};
    setsockopt(bufferevent_getfd(bev_.get()), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    End(false);
  }
  bool takes() const;
  // Bytes that have arrived and were not read.
  std::size_t unread_bytes() const {
    int bytes = 0;
    if (ended_ || ioctl(bufferevent_getfd(bev_.get()), FIONREAD, &bytes) != 0) return 0;
    return static_cast<std::size_t>(bytes);
  }
  bool idle(Steady::time_point now) const;

  Gateways& all_;
  Gateway& gateway_;
  const std::uint64_t id_;
  const std::size_t target_;
  std::map<std::uint32_t, std::uint64_t> open_;  // Streams that wait, and the tries on them.
  std::set<std::uint32_t> past_;                 // Streams that nobody waits for.
  bool ended_ = false;
  bool connected_ = false;
  bool no_more_ = false;

 private:
  void Read() {
    while (!ended_) {
      const std::string_view all = net::ReceivedBytes(bev_.get());
      const auto head = proto::ParseFrameHeader(all);
      if (!head || all.size() < head->Size()) return;
      const std::string_view payload =
          all.substr(proto::kFrameHeaderBytes, head->Size() - proto::kFrameHeaderBytes);
      if (head->type == 9) no_more_ = true;
      if (head->type == 1 && !payload.empty() && head->stream != 0) {
        all_.Answered(*this, head->stream, payload[0], payload.substr(1));
      }
      if (!ended_) net::Consume(bev_.get(), head->Size());
    }
  }

  net::BufferPtr bev_;
  Steady::time_point used_ = Steady::now();
  std::uint32_t last_stream_ = 0;
};

struct Gateways::Gateway {
  std::uint32_t via = 0;
  bool heeds = true;
  bool ignores_no_more = false;
  std::size_t turn = 0;
  std::map<std::size_t, Steady::time_point> away_until;  // By target.
  std::map<std::size_t, double> signal;                  // By target: the last value told.
  std::map<std::size_t, std::size_t> open;               // By target.
  std::vector<std::unique_ptr<Connection>> connections;
};

bool Gateways::Connection::takes() const {
  return !ended_ && (!no_more_ || gateway_.ignores_no_more) && open_.size() < kMostOpen;
}

bool Gateways::Connection::idle(Steady::time_point now) const {
  const bool is_left = no_more_ && !gateway_.ignores_no_more;
  return open_.empty() && (is_left || now - used_ > kIdle);
}

Gateways::Gateways(event_base* base, const GatewaysOptions& options)
    : base_(base),
      options_(options),
      draw_(options.seed),
      owner_draw_(options.seed),
      arrival_(base, [this] { Arrive(); }),
      sweep_(base, [this] { Sweep(); }) {
  if (options_.run == 0) options_.run = std::random_device{}() | std::uint64_t{1} << 32;
  double shares = 0;
  for (const ClassLoad& c : options_.classes) {
    account_.classes.push_back({});
    account_.classes.back().name = c.name;
    shares += c.share;
  }
  if (options_.classes.empty() || !(shares > 0) || options_.targets.empty() || options_.gateways < 1) {
    throw std::invalid_argument("gateways stand-in: needs a class, a target and a gateway");
  }
  for (ClassLoad& c : options_.classes) c.share /= shares;
  for (const std::string& target : options_.targets) net::ParseAddress(target);
  for (int i = 0; i < options_.gateways; ++i) {
    gateways_.push_back(std::make_unique<Gateway>());
    gateways_.back()->via = static_cast<std::uint32_t>(i + 1);
    gateways_.back()->heeds = i < std::lround(options_.heeds * options_.gateways);
    gateways_.back()->ignores_no_more = i < std::lround(options_.ignores_no_more * options_.gateways);
    gateways_.back()->turn = static_cast<std::size_t>(i);
  }
  next_ = Steady::now();
  arrival_.Start(0ms);
  next_sweep_ = next_ + kSweepEach;
  sweep_.Start(kSweepEach);
}

Gateways::~Gateways() = default;

void Gateways::Stop() {
  stopped_ = true;
  arrival_.Stop();
}

void Gateways::Restart(std::size_t place) {
  Gateway& gateway = *gateways_[place];
  for (const auto& connection : gateway.connections) {
    if (!connection->ended_) Cut(*connection);
  }
  gateway.away_until.clear();
  gateway.signal.clear();
}

void Gateways::SetTargets(std::vector<std::string> targets) {
  for (const std::string& target : targets) net::ParseAddress(target);
  options_.targets = std::move(targets);
}

void Gateways::Arrive() {
  const Steady::time_point now = Steady::now();
  if (options_.length > Millis(0) && now - began_ >= options_.length) Stop();
  std::exponential_distribution<double> gap(std::max(1e-9, options_.rate) / 1000);
  while (!stopped_ && next_ <= now) {
    account_.worst_lag = std::max<Millis>(account_.worst_lag, now - next_);
    double pick = std::generate_canonical<double, 32>(draw_);
    std::size_t cls = 0;
    while (cls + 1 < options_.classes.size() && pick >= options_.classes[cls].share) {
      pick -= options_.classes[cls++].share;
    }
    const ClassLoad& load = options_.classes[cls];
    auto request = std::make_shared<Request>();
    request->cls = static_cast<int>(cls);
    request->number = ++last_number_;
    const double variance = std::log(1 + load.spread * load.spread);
    std::lognormal_distribution<double> work(std::log(load.work.count()) - variance / 2, std::sqrt(variance));
    request->work = Millis(load.spread > 0 ? work(draw_) : load.work.count());
    request->body =
        WorkBody(request->work, std::to_string(options_.run) + '.' + std::to_string(request->number),
                 {.calls = load.calls, .once = load.keyed});
    if (load.keyed) {
      request->key = proto::FormatRequestId(Mix(options_.run)) +
                     proto::FormatRequestId(Mix(~Mix(options_.run) + request->number));
    }
    request->owner = Owner();
    request->due = next_ + std::chrono::duration_cast<Steady::duration>(load.timeout);
    request->tries_left = options_.retries;
    request->rank = 0.999 * std::generate_canonical<double, 32>(draw_);
    ClassAccount& account = account_.classes[cls];
    ++account.requests;
    account.work_asked += request->work;
    if (!request->owner.empty()) ++OwnerAccount(request->owner).requests;
    Gateway& gateway = *gateways_[request->number % gateways_.size()];
    Send(gateway, std::move(request));
    next_ += std::chrono::duration_cast<Steady::duration>(Millis(gap(draw_)));
  }
  if (!stopped_) arrival_.Start(std::max<Steady::duration>(next_ - Steady::now(), 0ms));
}

TenantAccount& Gateways::OwnerAccount(const std::string& name) {
  const auto known = std::find_if(account_.tenants.begin(), account_.tenants.end(),
                                  [&name](const TenantAccount& t) { return t.name == name; });
  if (known != account_.tenants.end()) return *known;
  account_.tenants.push_back({.name = name});
  return account_.tenants.back();
}

// Drawn by the tenants' shares, from a generator of its own: the arrivals stay as they are without tenants.
std::string Gateways::Owner() {
  double all = 0;
  for (const TenantLoad& t : options_.tenants) all += t.share;
  double pick = all * std::generate_canonical<double, 32>(owner_draw_);
  for (const TenantLoad& t : options_.tenants) {
    if ((pick -= t.share) < 0) return t.name;
  }
  return options_.tenants.empty() ? std::string() : options_.tenants.back().name;
}

Gateways::Connection* Gateways::Choose(Gateway& gateway, std::size_t target) {
  Connection* best = nullptr;
  std::size_t standing = 0;
  for (const auto& connection : gateway.connections) {
    standing += connection->ended_ ? 0 : 1;
    if (connection->target_ != target || !connection->takes()) continue;
    if (best == nullptr || connection->open_.size() < best->open_.size()) best = connection.get();
  }
  // A new connection rather than a deep queue on one.
  if (best != nullptr &&
      (best->open_.size() < 8 || standing >= static_cast<std::size_t>(options_.most_connections))) {
    return best;
  }
  if (standing >= static_cast<std::size_t>(options_.most_connections)) return best;
  auto fresh = std::make_unique<Connection>(*this, gateway, ++last_connection_, target,
                                            net::ParseAddress(options_.targets[target]));
  if (fresh->ended_) return best;
  ++account_.connections;
  gateway.connections.push_back(std::move(fresh));
  return gateway.connections.back().get();
}

bool Gateways::MayGo(Gateway& gateway, std::size_t target, const Request& request) {
  const auto told = gateway.signal.find(target);
  if (!gateway.heeds || told == gateway.signal.end()) return true;
  switch (options_.signal) {
    case GatewaysOptions::Signal::kWindow:
      // One is always let out: the value is heard from answers alone.
      return static_cast<double>(gateway.open[target]) < std::max(1.0, told->second);
    case GatewaysOptions::Signal::kThreshold:
      return request.rank >= told->second;
    case GatewaysOptions::Signal::kAcceptProbability:
      return std::generate_canonical<double, 32>(draw_) < told->second;
    case GatewaysOptions::Signal::kIgnored:
      break;
  }
  return true;
}

void Gateways::Send(Gateway& gateway, std::shared_ptr<Request> request, bool resent) {
  const Steady::time_point now = Steady::now();
  ClassAccount& account = account_.classes[static_cast<std::size_t>(request->cls)];
  const ClassLoad& load = options_.classes[static_cast<std::size_t>(request->cls)];
  const std::size_t targets = options_.targets.size();
  const std::size_t turn = gateway.turn++;
  for (std::size_t i = 0; i < targets && now < request->due; ++i) {
    const std::size_t target = (turn + i) % targets;
    if (request->stays && target != *request->stays) continue;
    if (targets > 1 && !request->stays && request->refused_by.count(target) != 0) continue;
    if (const auto away = gateway.away_until.find(target);
        away != gateway.away_until.end() && away->second > now) {
      continue;
    }
    if (!MayGo(gateway, target, *request)) continue;
    Connection* connection = Choose(gateway, target);
    if (connection == nullptr) continue;
    Try sent;
    sent.gateway = &gateway;
    sent.connection = connection->id_;
    sent.req = Mix(Mix(options_.run) + ++last_number_);
    sent.target = target;
    sent.request = request;
    sent.sent = now;
    // Where no wait is told, the node owes each try an answer by its class's whole time, though the caller
    // leaves when the request's is over.
    sent.due =
        options_.tells_wait ? request->due : now + std::chrono::duration_cast<Steady::duration>(load.timeout);
    sent.resent = resent;
    sent.leaves = options_.tells_wait ? now + kFar : request->due;
    if (options_.leaves > 0 && std::generate_canonical<double, 32>(draw_) < options_.leaves) {
      const Millis whole = request->due - now;
      const Millis within =
          options_.leaves_within > Millis(0) ? std::min(whole, options_.leaves_within) : whole;
      sent.leaves = now + std::chrono::duration_cast<Steady::duration>(
                              std::generate_canonical<double, 32>(draw_) * within);
    }
    const auto unix_ms = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(request->due - now);
    std::vector<std::pair<const char*, std::string>> fields = {
        {"kind", load.name},
        {"req", proto::FormatRequestId(sent.req)},
        {"ts", std::to_string(unix_ms.time_since_epoch().count())},
        {"via", std::to_string(gateway.via)},
        {"ms", Decimal(request->work.count())},
        {"need", Decimal(load.need_kb)},
        {"level", Decimal(request->rank)}};
    if (options_.tells_wait) fields.emplace_back("timeout", std::to_string(left.count()));
    if (!request->key.empty()) fields.emplace_back("opkey", request->key);
    if (!request->owner.empty()) fields.emplace_back("owner", request->owner);
    if (!request->reqs.empty()) fields.emplace_back("resent", "1");
    std::string payload;
    Put(payload, fields.size(), 1);
    for (const auto& [name, value] : fields) payload += Field(name, value);
    payload += request->body;
    request->reqs.push_back(sent.req);
    if (request->reqs.size() > kTriesKept) request->reqs.erase(request->reqs.begin());
    sent.stream = connection->Request(sent.req, payload);
    ++gateway.open[target];
    ++account.tries;
    tries_.emplace(sent.req, std::move(sent));
    return;
  }
  ++account.not_sent;
}

void Gateways::Answered(Connection& connection, std::uint32_t stream, int code, std::string_view rest) {
  const Steady::time_point now = Steady::now();
  const auto waiting = connection.open_.find(stream);
  if (waiting == connection.open_.end()) {
    // Of one that was left or given up, one answer does no harm.
    if (connection.past_.erase(stream) == 0) ++account_.classes[0].twice;
    return;
  }
  const auto found = tries_.find(waiting->second);
  connection.open_.erase(waiting);
  if (found == tries_.end()) return;
  const Try over = std::move(found->second);
  tries_.erase(found);
  Gateway& gateway = *over.gateway;
  --gateway.open[over.target];
  ClassAccount& account = account_.classes[static_cast<std::size_t>(over.request->cls)];
  const ClassLoad& load = options_.classes[static_cast<std::size_t>(over.request->cls)];
  const Answer answer = ReadAnswer(rest);
  if (options_.resets > 0 && std::generate_canonical<double, 32>(draw_) < options_.resets) {
    // The answer counts; what else is open on the connection goes with it.
    later_.emplace_back(now, [this, id = connection.id_, &gateway] {
      for (const auto& each : gateway.connections) {
        if (each->id_ == id && !each->ended_) Cut(*each);
      }
    });
  }
  Report(over, code == 0   ? AttemptOutcome::kServed
               : code == 1 ? AttemptOutcome::kRefused
                           : AttemptOutcome::kFailed);
  if (answer.signal >= 0) gateway.signal[over.target] = answer.signal;
  if (now > over.due + options_.slack) ++account.late;
  if (code == 0) {
    ++account.served;
    const auto made_by = [&](std::uint64_t req) { return answer.body == ResultOf(req, over.request->body); };
    const auto& reqs = over.request->reqs;
    if (load.keyed ? std::none_of(reqs.begin(), reqs.end(), made_by) : !made_by(over.req)) ++account.wrong;
    if (std::exchange(over.request->served, true)) {
      ++account.again;
    } else if (now <= over.due + options_.slack) {
      ++account.good;
      account.work_served += over.request->work;
      if (!over.request->owner.empty()) ++OwnerAccount(over.request->owner).good;
    }
    const float wait = static_cast<float>(Millis(now - over.sent).count());
    ++seen_waits_;
    if (account_.waits.size() < kWaitsKept) {
      account_.waits.push_back(wait);
    } else if (const std::uint64_t at = draw_() % seen_waits_; at < kWaitsKept) {
      account_.waits[at] = wait;
    }
    return;
  }
  ++(code == 1 ? account.refused : account.failed);
  if (gateway.heeds && answer.holdoff > Millis(0)) {
    gateway.away_until[over.target] = now + std::chrono::duration_cast<Steady::duration>(answer.holdoff);
  }
  if (code == 1) over.request->refused_by.insert(over.target);
  if (code != 1 && load.keyed) over.request->stays = over.target;
  if (code != 1 && !load.repeats) return;
  if (gateway.heeds && answer.nomore) return;
  Again(gateway, over.request,
        options_.targets.size() > 1 ? Millis(0) : std::max(Millis(20), answer.holdoff));
}

// The next try of a request, where it has one left and time for it.
void Gateways::Again(Gateway& gateway, const std::shared_ptr<Request>& request, Millis wait) {
  const Steady::time_point at = Steady::now() + std::chrono::duration_cast<Steady::duration>(wait);
  if (stopped_ || request->tries_left <= 0 || at >= request->due) return;
  --request->tries_left;
  ++resting_;
  later_.emplace_back(at, [this, &gateway, request] {
    --resting_;
    Send(gateway, request);
  });
}

// This side's own doing: breaks no rule of the node's.
void Gateways::Cut(Connection& connection) {
  for (const auto& [stream, req] : std::exchange(connection.open_, {})) {
    const auto found = tries_.find(req);
    if (found == tries_.end()) continue;
    --connection.gateway_.open[found->second.target];
    ++account_.classes[static_cast<std::size_t>(found->second.request->cls)].cut;
    tries_.erase(found);
  }
  connection.Reset();
}

void Gateways::Lost(Connection& connection, bool in_order) {
  const Steady::time_point now = Steady::now();
  Gateway& gateway = connection.gateway_;
  const auto open = std::exchange(connection.open_, {});
  for (const auto& [stream, req] : open) {
    const auto found = tries_.find(req);
    if (found == tries_.end()) continue;
    const Try over = std::move(found->second);
    tries_.erase(found);
    --gateway.open[over.target];
    ClassAccount& account = account_.classes[static_cast<std::size_t>(over.request->cls)];
    const bool unheard = !connection.connected_ || (in_order && now - over.sent < kCrossing);
    if (unheard && !over.resent) {
      // Proven unread: the same request goes out once more, on a new connection.
      ++account_.resent;
      --account.tries;
      if (!connection.connected_) gateway.away_until[over.target] = now + kReachAgain;
      ++resting_;
      later_.emplace_back(now + (connection.connected_ ? 0ms : kReachAgain),
                          [this, &gateway, request = over.request] {
                            --resting_;
                            Send(gateway, request, true);
                          });
      continue;
    }
    ++(connection.connected_ ? account.lost : account.not_sent);
    if (connection.connected_) Report(over, AttemptOutcome::kLost);
    const ClassLoad& load = options_.classes[static_cast<std::size_t>(over.request->cls)];
    if (connection.connected_ && load.keyed) over.request->stays = over.target;
    if (load.repeats) Again(gateway, over.request, kReachAgain);
  }
}

void Gateways::Report(const Try& attempt, AttemptOutcome outcome) const {
  if (!options_.on_attempt_ended) return;
  AttemptReport report;
  report.outcome = outcome;
  report.request_id = attempt.req;
  report.class_name = options_.classes[static_cast<std::size_t>(attempt.request->cls)].name;
  report.target = attempt.target;
  report.sent = attempt.sent;
  report.due = attempt.due;
  report.ended = Steady::now();
  for (const auto& connection : attempt.gateway->connections) {
    if (connection->id_ != attempt.connection) continue;
    report.connection = connection->ended_ ? 0 : connection->id_;
    report.connected = connection->connected_;
    report.unread_bytes = connection->unread_bytes();
  }
  options_.on_attempt_ended(report);
}

void Gateways::Sweep() {
  const Steady::time_point now = Steady::now();
  account_.worst_sweep_lag = std::max<Millis>(account_.worst_sweep_lag, now - next_sweep_);
  std::vector<std::function<void()>> due;
  std::erase_if(later_, [&](auto& entry) {
    if (entry.first > now) return false;
    due.push_back(std::move(entry.second));
    return true;
  });
  for (const auto& work : due) work();
  for (auto it = tries_.begin(); it != tries_.end();) {
    const Try& open = it->second;
    const bool leaves = open.leaves <= now && now < open.due;
    if (!leaves && now <= open.due + options_.slack) {
      ++it;
      continue;
    }
    ClassAccount& account = account_.classes[static_cast<std::size_t>(open.request->cls)];
    ++(leaves ? account.left : account.unanswered);
    if (!leaves) Report(open, AttemptOutcome::kUnanswered);
    for (const auto& connection : open.gateway->connections) {
      if (connection->id_ == open.connection) connection->Leave(open.stream, true);
    }
    --open.gateway->open[open.target];
    if (leaves && options_.classes[static_cast<std::size_t>(open.request->cls)].keyed) {
      open.request->stays = open.target;
      Again(*open.gateway, open.request, Millis(0));
    }
    it = tries_.erase(it);
  }
  for (const auto& gateway : gateways_) {
    for (const auto& connection : gateway->connections) {
      if (!connection->ended_ && connection->idle(now)) connection->End(true);
    }
    std::erase_if(gateway->connections, [](const auto& connection) { return connection->ended_; });
  }
  account_.open = tries_.size();
  next_sweep_ = Steady::now() + kSweepEach;
  sweep_.Start(kSweepEach);
}

}  // namespace hingelink::standin
