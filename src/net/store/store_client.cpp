#include "net/store/store_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using hingelink::Outcome;

// The store closes what is idle for 10 s; this side does so before.
constexpr auto kIdle = 8s;
constexpr std::size_t kUnsentMost = 1 << 20;
constexpr std::size_t kReadAhead = 2 * (proto::kMostStoreLine + proto::kMostReply);
constexpr std::size_t kRetiringMost = 4;
constexpr std::chrono::duration<double, std::milli> kLookLeast{25};  // Between looks at one that is silent.
// For so long a reply may still be on its way behind a DROP; and how many of those are kept in mind.
constexpr auto kCrossing = 2s;
constexpr std::size_t kGivenUpKept = 1024;

}  // namespace

class StoreClient::Connection {
 public:
  Connection(StoreClient& client, const sockaddr_in& address)
      : client_(client),
        bev_(bufferevent_socket_new(client.base_, -1, BEV_OPT_CLOSE_ON_FREE)),
        idle_(client.base_, [this] { client_.Lost(*this); }),
        silence_(client.base_, [this] {
          listening_ = false;
          client_.SeeSilent(*this);
        }) {
    if (!bev_) return;
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); }, nullptr,
        [](bufferevent* bev, short what, void* self) {
          auto* it = static_cast<Connection*>(self);
          if ((what & BEV_EVENT_CONNECTED) != 0) {
            SetNoDelay(bufferevent_getfd(bev));
            it->connected_ = true;
            it->heard_ = Steady::now();
          } else if (it->connected_) {
            it->client_.Lost(*it);
          } else {
            it->client_.Refused(*it);
          }
        },
        this);
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    good_ = bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address),
                                       sizeof address) == 0;
    RestIfIdle();
  }

  void Write(std::uint64_t req, const Out& call) {
    // From the first call on, and then from each byte that comes.
    if (calls_++ == 0) heard_ = Steady::now();
    ListenOn();
    idle_.Stop();
    // What is left of the wait: a call that waited for this connection has less of it.
    Send(bev_.get(), proto::CallLine(req, Millis(call.until - Steady::now()), call.body.size()));
    Send(bev_.get(), call.body);
    Send(bev_.get(), "\r\n");
  }
  // One of its calls is over. `tell`: the store still has it.
  void Over(std::uint64_t req, bool tell) {
    --calls_;
    if (tell && good_) Send(bev_.get(), proto::DropLine(req));
    RestIfIdle();
  }
  void Stop() {
    if (!bev_) return;
    good_ = false;
    idle_.Stop();
    silence_.Stop();
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    // At once: closing gives up what is still out on it.
    if (const auto fd = bufferevent_getfd(bev_.get()); fd >= 0) evutil_closesocket(fd);
    bufferevent_setfd(bev_.get(), -1);
  }
  void SetRetiring() { retiring_ = true; }
  // Looks at it again when it would count as silent.
  void ListenOn() {
    if (std::exchange(listening_, true)) return;
    silence_.After(std::chrono::duration_cast<Steady::duration>(
        std::max(kLookLeast, client_.silence_.Patience() - Millis(Steady::now() - heard_))));
  }

  bool good() const { return good_; }
  bool connected() const { return connected_; }
  bool retiring() const { return retiring_; }
  std::size_t calls() const { return calls_; }
  std::size_t unsent() const { return Unsent(bev_.get()); }
  Steady::time_point heard() const { return heard_; }

 private:
  void RestIfIdle() {
    if (calls_ == 0 && good_) idle_.After(retiring_ ? Steady::duration(0) : Steady::duration(kIdle));
  }
  void Read() {
    heard_ = Steady::now();
    while (good_) {
      std::size_t size = 0;
      const proto::StoreMessage message = proto::ParseStoreReply(Arrived(bev_.get()), size);
      if (std::holds_alternative<proto::StoreNeedMore>(message)) return;
      if (const auto* bad = std::get_if<proto::StoreBadLine>(&message)) {
        log::PeerEvent("store-bad-line", {{"what", bad->why}});
        client_.Lost(*this);
        return;
      }
      client_.Took(*this, std::get<proto::StoreReply>(message));
      if (good_) Consume(bev_.get(), size);
    }
  }

  StoreClient& client_;
  BufferPtr bev_;
  Timer idle_;
  Timer silence_;
  bool listening_ = false;
  std::size_t calls_ = 0;
  bool good_ = false;
  bool connected_ = false;
  bool retiring_ = false;
  Steady::time_point heard_ = Steady::now();
};

StoreClient::StoreClient(event_base* base, const sockaddr_in& store, std::uint64_t seed, Ended ended)
    : base_(base),
      address_(store),
      ended_(std::move(ended)),
      draw_(seed),
      backoff_([this] { return std::generate_canonical<double, 32>(draw_); }),
      reconnect_(base,
                 [this] {
                   waiting_ = false;
                   Connect();
                 }),
      limit_(base, [this] { EndDue(); }) {}

StoreClient::~StoreClient() {
  if (current_) current_->Stop();
  for (const auto& connection : retiring_) connection->Stop();
}

bool StoreClient::up() const { return current_ && current_->connected(); }

void StoreClient::Call(std::uint64_t req, Millis limit, std::string_view body) {
  Drop(req);
  ++counts_.calls;
  const Steady::time_point now = Steady::now();
  Out& call = calls_[req];
  call.body = body;
  call.since = now;
  call.limit = limit;
  call.until = now + std::chrono::duration_cast<Steady::duration>(std::max(Millis(1), limit));
  due_.insert({call.until, req});
  if (SawGivenUp(req, now)) Retire();
  // Writes all that waits for it, this one too.
  if (!current_ && !waiting_) Connect();
  if (current_ && call.on == nullptr) {
    if (current_->unsent() > kUnsentMost) {
      Later(req);
    } else {
      Write(req, call);
    }
  }
  Arm();
}

// Guards against the reply to a call that was given up, on its way by then, which would be taken for the
// reply to the next call of the same request: that one goes over another connection.
void StoreClient::NoteGivenUp(std::uint64_t req, const Connection* on) {
  if (on != current_.get()) return;
  given_up_.push_back({Steady::now(), req});
  if (given_up_.size() > kGivenUpKept) given_up_.pop_front();
}

bool StoreClient::SawGivenUp(std::uint64_t req, Steady::time_point now) {
  while (!given_up_.empty() && now - given_up_.front().first > kCrossing) given_up_.pop_front();
  return std::any_of(given_up_.begin(), given_up_.end(), [req](const auto& g) { return g.second == req; });
}

// Guards against a store that takes nothing: what would pile up here is never written, and said to be so.
void StoreClient::Later(std::uint64_t req) {
  never_written_.push_back(req);
  limit_.After(0ms);
}

void StoreClient::Write(std::uint64_t req, Out& call) {
  call.on = current_.get();
  current_->Write(req, call);
  call.body.clear();
}

void StoreClient::Drop(std::uint64_t req) {
  const auto it = calls_.find(req);
  if (it == calls_.end()) return;
  ++counts_.dropped;
  if (it->second.on != nullptr) {
    NoteGivenUp(req, it->second.on);
    it->second.on->Over(req, true);
  }
  Forget(it);
}

void StoreClient::Forget(Calls::iterator it) {
  due_.erase({it->second.until, it->first});
  calls_.erase(it);
}

void StoreClient::End(Calls::iterator it, Outcome outcome, std::string_view reply) {
  const std::uint64_t req = it->first;
  const Millis elapsed = Steady::now() - it->second.since;
  Forget(it);
  ended_(req, outcome, elapsed, reply);
}

void StoreClient::EndDue() {
  const Steady::time_point now = Steady::now();
  for (const std::uint64_t req : std::exchange(never_written_, {})) {
    if (const auto it = calls_.find(req); it != calls_.end() && it->second.on == nullptr) {
      ++counts_.refused;
      End(it, Outcome::kConnectFailed);
    }
  }
  while (!due_.empty() && due_.begin()->first <= now) {
    const auto it = calls_.find(due_.begin()->second);
    Connection* on = it->second.on;
    if (on == nullptr) {
      // Never written: it waited for a connection.
      ++counts_.refused;
      End(it, Outcome::kConnectFailed);
      continue;
    }
    ++counts_.late;
    NoteGivenUp(it->first, on);
    on->Over(it->first, true);
    End(it, Outcome::kTimeout);
  }
  Arm();
}

void StoreClient::Arm() {
  if (!never_written_.empty()) {
    limit_.After(0ms);
  } else if (due_.empty()) {
    limit_.Stop();
  } else {
    limit_.After(std::max<Steady::duration>(due_.begin()->first - Steady::now(), 0ms));
  }
}

void StoreClient::Connect() {
  if (current_) return;
  ++counts_.connects;
  current_ = std::make_unique<Connection>(*this, address_);
  if (!current_->good()) {
    Refused(*current_);
    return;
  }
  std::vector<std::uint64_t> waiting;
  for (const auto& [req, call] : calls_) {
    if (call.on == nullptr) waiting.push_back(req);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const std::uint64_t req : waiting) Write(req, calls_.at(req));
}

// Nobody listens: what waited for this connection never ran.
void StoreClient::Refused(Connection& connection) {
  connection.Stop();
  if (current_.get() != &connection) {
    Lost(connection);
    return;
  }
  if (!std::exchange(failing_, true)) log::Warn("store-refused");
  over_.push_back(std::move(current_));
  std::vector<std::uint64_t> ends;
  for (const auto& [req, call] : calls_) {
    if (call.on == &connection || call.on == nullptr) ends.push_back(req);
  }
  waiting_ = true;
  reconnect_.After(std::chrono::duration_cast<Steady::duration>(backoff_.Failed()));
  std::sort(ends.begin(), ends.end());
  for (const std::uint64_t req : ends) {
    const auto it = calls_.find(req);
    if (it == calls_.end()) continue;
    it->second.on = nullptr;
    // In the loop's next round: never from within Call().
    never_written_.push_back(req);
  }
  Arm();
}

// Broken, closed by the store, or idle for long. What was out on it may have run.
void StoreClient::Lost(Connection& connection) {
  connection.Stop();
  const bool current = current_.get() == &connection;
  if (current) {
    over_.push_back(std::move(current_));
  } else {
    const auto it = std::find_if(retiring_.begin(), retiring_.end(),
                                 [&connection](const auto& c) { return c.get() == &connection; });
    if (it != retiring_.end()) {
      over_.push_back(std::move(*it));
      retiring_.erase(it);
    }
  }
  std::vector<std::uint64_t> ends;
  for (const auto& [req, call] : calls_) {
    if (call.on == &connection) ends.push_back(req);
  }
  if (ends.empty()) return;
  log::Warn("store-connection-lost", {{"calls", ends.size()}});
  if (current) {
    waiting_ = true;
    reconnect_.After(std::chrono::duration_cast<Steady::duration>(backoff_.Failed()));
  }
  std::sort(ends.begin(), ends.end());
  for (const std::uint64_t req : ends) {
    const auto it = calls_.find(req);
    if (it == calls_.end()) continue;
    ++counts_.broken;
    End(it, Outcome::kReset);
  }
  Arm();
}

// The current connection takes no new calls; the next one is made with the next call.
void StoreClient::Retire() {
  given_up_.clear();
  if (!current_) return;
  if (!current_->connected()) {
    // Its calls have gone nowhere yet: they go over the next.
    Connection* old = current_.get();
    for (auto& [req, call] : calls_) {
      if (call.on == old) call.on = nullptr;
    }
    old->Stop();
    over_.push_back(std::move(current_));
    return;
  }
  if (current_->calls() == 0) {
    current_->Stop();
    over_.push_back(std::move(current_));
    return;
  }
  current_->SetRetiring();
  retiring_.push_back(std::move(current_));
  if (retiring_.size() > kRetiringMost) Lost(*retiring_.front());
}

// Guards against a connection whose other end is gone without a word: no call would ever end well again.
void StoreClient::SeeSilent(Connection& connection) {
  if (connection.calls() == 0) return;
  using Verdict = decide::StoreSilence::Verdict;
  const Verdict verdict = silence_.See(Steady::now() - connection.heard(), connection.retiring(),
                                       retiring_.size() < kRetiringMost, answered_at_ > connection.heard());
  if (verdict == Verdict::kEnd) {
    Lost(connection);
    return;
  }
  if (verdict == Verdict::kLeave) {
    log::Warn("store-silent", {{"calls", connection.calls()}});
    Retire();
  }
  connection.ListenOn();
}

void StoreClient::Move(const sockaddr_in& store) {
  address_ = store;
  Retire();
}

void StoreClient::Took(Connection& connection, const proto::StoreReply& reply) {
  const auto it = calls_.find(reply.req);
  // Of a call that was given up, or was made anew since.
  if (it == calls_.end() || it->second.on != &connection) return;
  backoff_.Good();
  answered_at_ = Steady::now();
  silence_.Replied(answered_at_ - it->second.since);
  if (std::exchange(failing_, false)) log::Info("store-answers-again");
  connection.Over(reply.req, false);
  Outcome outcome = Outcome::kError;
  switch (reply.kind) {
    case proto::ReplyKind::kOk:
      ++counts_.ok;
      outcome = Outcome::kOk;
      break;
    case proto::ReplyKind::kBusy:
      ++counts_.busy;
      outcome = Outcome::kFull;
      break;
    case proto::ReplyKind::kErr:
      ++counts_.errors;
      break;
    case proto::ReplyKind::kLate:
      ++counts_.late;
      outcome = Outcome::kTimeout;
      break;
    case proto::ReplyKind::kVoid:
      ++counts_.refused;
      outcome = Outcome::kConnectFailed;
      break;
  }
  End(it, outcome, reply.body);
  Arm();
}

void StoreClient::Sweep() { over_.clear(); }

}  // namespace hingelink::net
