#include "standin/pool.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <utility>

#include "proto/pool_lines.h"
#include "proto/tokenizer.h"
#include "standin/store.h"

namespace hingelink::standin {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kNoticesKept = 4000;
constexpr std::size_t kIdsKept = 200'000;  // Whose runs are over.
constexpr Millis kSwallowed{50};
constexpr std::size_t kMostBody = 1 << 20;
constexpr std::size_t kMostCommand = 4096;
constexpr Millis kCheckWork{5};                            // Of a deep check.
constexpr std::uint64_t kChecks = std::uint64_t{1} << 63;  // Ids of deep checks among the cores' runs.
constexpr auto kStandingLook = 50ms;
constexpr std::string_view kResultSize = "result";  // In a body: the length of the result follows.

std::optional<Millis> WorkOf(std::string_view body) {
  constexpr std::string_view kHead = "work ";
  if (!body.starts_with(kHead)) return std::nullopt;
  body.remove_prefix(kHead.size());
  double ms = 0;
  const auto [end, fault] = std::from_chars(body.data(), body.data() + body.size(), ms);
  if (fault != std::errc() || !(ms >= 0 && ms < 1e7)) return std::nullopt;
  return Millis(ms);
}

Extras ExtrasOf(std::string_view body) {
  proto::Tokenizer words(body);
  Extras extras;
  if (words.Next() != "work" || !words.Number<double>() || words.Next() != "calls") return extras;
  extras.calls = words.Number<int>().value_or(0);
  extras.once = words.Next() == "once";
  if (words.Next() == kResultSize) extras.result_bytes = words.Number<std::size_t>().value_or(0);
  return extras;
}

template <typename T>
bool Whole(std::string_view text, T& value, int base = 10) {
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return fault == std::errc() && end == text.data() + text.size();
}

std::vector<std::string_view> Words(std::string_view line) {
  std::vector<std::string_view> words;
  while (!line.empty()) {
    const std::size_t end = line.find(' ');
    if (end != 0) words.push_back(line.substr(0, end));
    line = end == std::string_view::npos ? std::string_view() : line.substr(end + 1);
  }
  return words;
}

net::Steady::duration ToSpan(Millis ms) { return std::chrono::duration_cast<net::Steady::duration>(ms); }

}  // namespace

std::string WorkBody(Millis work, std::string_view filler, const Extras& extras) {
  char text[64];
  int size = std::snprintf(text, sizeof text, "work %.3f ", work.count());
  if (extras.calls > 0 || extras.once || extras.result_bytes > 0) {
    size = std::snprintf(text, sizeof text, "work %.3f calls %d %s ", work.count(), extras.calls,
                         extras.once ? "once" : "again");
  }
  std::string body(text, static_cast<std::size_t>(size));
  if (extras.result_bytes > 0)
    body.append(kResultSize).append(" ").append(std::to_string(extras.result_bytes)).append(" ");
  return body.append(filler);
}

std::string CallBody(std::uint64_t req, int nth, bool once) {
  return (once ? std::string(kOnceOnly) : std::string()) + "call " + std::to_string(nth) + " of " +
         proto::FormatRequestId(req);
}

std::string ResultOf(std::uint64_t req, std::string_view body) {
  std::string result = "result " + proto::FormatRequestId(req) + ' ' +
                       proto::FormatRequestId(XXH3_64bits(body.data(), body.size()));
  if (const std::size_t size = ExtrasOf(body).result_bytes; size > result.size()) result.resize(size, 'r');
  return result;
}

// An address, with its notices and its link.
struct Pool::Place {
  net::ListenerPtr listener;
  std::string address;
  std::unique_ptr<Link> link;
  std::vector<std::unique_ptr<Link>> ended;  // Freed at the next accept or break.
  std::deque<std::pair<std::uint64_t, std::string>> notices;
  std::uint64_t last_notice = 0;
};

class Pool::Link {
 public:
  Link(Pool& pool, Place& place, evutil_socket_t fd)
      : pool_(pool), place_(place), bev_(bufferevent_socket_new(pool.base_, fd, BEV_OPT_CLOSE_ON_FREE)) {
    net::SetNoDelay(fd);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Link*>(self)->Read(); }, nullptr,
        [](bufferevent*, short, void* self) { static_cast<Link*>(self)->Stop(); }, this);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  }

  void Stop() {
    bufferevent_setcb(bev_.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev_.get(), EV_READ | EV_WRITE);
    if (const auto fd = bufferevent_getfd(bev_.get()); fd >= 0) evutil_closesocket(fd);
    bufferevent_setfd(bev_.get(), -1);
    stopped_ = true;
  }
  void Tell(std::string_view text) {
    if (!stopped_ && !pool_.hangs_) net::Send(bev_.get(), text);
  }
  // A notice: one that comes before `bound` is told behind it.
  void Notice(std::string_view text) {
    if (bound_) Tell(text);
  }
  void Read() {
    while (!stopped_ && !pool_.hangs_) {
      const std::string_view all = net::ReceivedBytes(bev_.get());
      const std::size_t eol = all.substr(0, kMostCommand).find("\r\n");
      if (eol == std::string_view::npos) {
        if (all.size() >= kMostCommand) Bad();
        return;
      }
      const std::string_view line = all.substr(0, eol);
      std::size_t size = eol + 2;
      if (line.starts_with("spawn ")) {
        const std::vector<std::string_view> words = Words(line);
        std::size_t length = 0;
        std::uint64_t req = 0;
        if (words.size() != 4 || !Whole(words[1], req, 16) || !Whole(words[3], length) ||
            length > kMostBody) {
          return Bad();
        }
        if (all.size() < size + length + 2) return;
        if (all.substr(size + length, 2) != "\r\n") return Bad();
        ++commands_;
        if (bound_) Spawn(req, words[2], all.substr(size, length));
        size += length + 2;
      } else if (line.starts_with("supply ")) {
        const std::vector<std::string_view> words = Words(line);
        std::size_t length = 0;
        std::uint64_t req = 0;
        if (words.size() != 3 || !Whole(words[1], req, 16) || !Whole(words[2], length) ||
            length > kMostBody) {
          return Bad();
        }
        if (all.size() < size + length + 2) return;
        if (all.substr(size + length, 2) != "\r\n") return Bad();
        ++commands_;
        if (bound_ && !pool_.Supply(req, all.substr(size, length), commands_)) {
          Tell("unknown supply " + proto::FormatRequestId(req) + "\r\n");
        }
        size += length + 2;
      } else if (!Take(line)) {
        return Bad();
      }
      if (!stopped_) net::Consume(bev_.get(), size);
    }
  }
  // The worker pool is up: who waits to be bound is bound.
  void Bind() {
    if (!asked_ || bound_ || stopped_) return;
    bound_ = true;
    const Millis since = pool_.Now() - pool_.options_.up_after;
    const bool warming_up = since < pool_.options_.cores.cold_for;
    char text[64];
    std::snprintf(text, sizeof text, "bound %s %.1f\r\n", warming_up ? "chilly" : "hot", since.count());
    Tell(text);
    for (const auto& [number, notice] : place_.notices) {
      if (number > from_) Tell(notice);
    }
  }
  std::uint64_t answered() const { return answered_; }
  bool stopped() const { return stopped_; }

 private:
  void Bad() {
    ++pool_.counts_.bad_commands;
    Stop();
  }
  void Spawn(std::uint64_t req, std::string_view kind, std::string_view body) {
    ++pool_.counts_.spawns;
    const auto& known = pool_.options_.classes;
    if (!known.empty() && std::find(known.begin(), known.end(), kind) == known.end()) {
      Tell("unknown spawn " + proto::FormatRequestId(req) + "\r\n");
      return;
    }
    pool_.Spawn(place_, req, std::string(body), commands_);
  }
  bool Take(std::string_view line) {
    const std::vector<std::string_view> words = Words(line);
    if (words.size() == 3 && words[0] == "pass") {
      std::uint64_t req = 0, notice = 0;
      if (!Whole(words[1], req, 16) || !Whole(words[2], notice)) return false;
      ++commands_;
      if (bound_ && !pool_.Pass(req, notice, commands_)) {
        Tell("unknown pass " + proto::FormatRequestId(req) + "\r\n");
      }
      return true;
    }
    if (words.size() != 2) return false;
    ++commands_;
    if (words[0] == "verify") {
      const std::uint64_t check = kChecks | ++pool_.last_check_;
      pool_.checks_[check] = {&place_, std::string(words[1])};
      pool_.cores_.Start(check, kCheckWork, pool_.Now());
      pool_.Arm();
      return true;
    }
    if (words[0] == "bind") {
      if (asked_ || !Whole(words[1], from_)) return false;
      asked_ = true;
      if (pool_.Now() >= pool_.options_.up_after) Bind();
      return true;
    }
    if (words[0] != "poll") return false;
    if (!bound_) return true;
    const Millis now = pool_.Now();
    char text[128];
    std::snprintf(text, sizeof text, " %.4f %zu %.4f %zu\r\n", pool_.cores_.Busy(now), pool_.cores_.running(),
                  0.0, pool_.places_.size());
    Tell("polled " + std::string(words[1]) + text);
    answered_ = commands_;
    return true;
  }

  Pool& pool_;
  Place& place_;
  net::BufferPtr bev_;
  bool asked_ = false, bound_ = false, stopped_ = false;
  std::uint64_t from_ = 0;
  std::uint64_t commands_ = 0;
  std::uint64_t answered_ = 0;  // Commands read when the last poll was answered.
};

Pool::Pool(event_base* base, const PoolOptions& options)
    : base_(base),
      options_(options),
      cores_(options.cores),
      next_end_(base, [this] { EndRuns(); }),
      standing_(base, [this] { SeeStanding(); }),
      up_(base, [this] { Up(); }) {
  standing_.Start(kStandingLook);
  for (const std::string& listen : options_.listen) {
    auto place = std::make_unique<Place>();
    const sockaddr_in address = net::ParseAddress(listen);
    place->listener.reset(evconnlistener_new_bind(
        base_,
        [](evconnlistener* listener, evutil_socket_t fd, sockaddr*, int, void* self) {
          auto* pool = static_cast<Pool*>(self);
          for (const auto& each : pool->places_) {
            if (each->listener.get() == listener) pool->Accept(*each, fd);
          }
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<const sockaddr*>(&address), sizeof address));
    if (!place->listener) throw std::runtime_error("worker pool stand-in: cannot listen on " + listen);
    place->address = listen.substr(0, listen.find(':') + 1) +
                     std::to_string(net::LocalPort(evconnlistener_get_fd(place->listener.get())));
    places_.push_back(std::move(place));
  }
  if (options_.up_after > Millis(0)) up_.Start(ToSpan(options_.up_after));
  for (const PoolFault& fault : options_.faults) {
    script_.push_back(std::make_unique<net::Timer>(base_, [this, fault] { Cause(fault); }));
    script_.back()->Start(ToSpan(fault.at));
  }
}

Pool::~Pool() = default;

std::string Pool::address(std::size_t place) const { return places_.at(place)->address; }

Pool::RunState Pool::StateOf(std::uint64_t request_id) const {
  if (runs_.contains(request_id)) return RunState::kRunning;
  return over_.contains(request_id) ? RunState::kEnded : RunState::kNone;
}

void Pool::Accept(Place& place, evutil_socket_t fd) {
  ++counts_.links;
  place.ended.clear();
  if (place.link) {
    place.link->Stop();
    place.ended.push_back(std::move(place.link));
  }
  place.link = std::make_unique<Link>(*this, place, fd);
}

void Pool::Up() {
  for (const auto& place : places_) {
    if (place->link) place->link->Bind();
  }
}

void Pool::Spawn(Place& place, std::uint64_t req, std::string body, std::uint64_t command) {
  if (runs_.count(req) != 0) {
    ++counts_.repeated;
    return;
  }
  if (over_.count(req) != 0) {
    ++counts_.repeated;
    Tell(place, "finished", proto::FormatRequestId(req) + " unknown 0.0 0\r\n\r\n");
    return;
  }
  const Millis now = Now(), work = WorkOf(body).value_or(options_.default_work);
  Extras asks = ExtrasOf(body);
  if (asks.calls > 0 && now < options_.up_after + options_.cores.cold_for) asks.calls += options_.cold_calls;
  if (asks.once && ++once_[XXH3_64bits(body.data(), body.size())] > 1) ++counts_.run_twice;
  Run& run = runs_[req];
  run = Run{};
  run.place = &place;
  run.body = std::move(body);
  run.work = work;
  run.since = now;
  run.command = command;
  run.asks = asks;
  ++counts_.started;
  cores_.Start(req, work / (asks.calls + 1), now);
  counts_.most_running = std::max<std::uint64_t>(counts_.most_running, cores_.running());
  Arm();
}

// `notice` is all behind its number, which is returned.
std::uint64_t Pool::Tell(Place& place, std::string_view what, std::string notice) {
  const std::uint64_t number = ++place.last_notice;
  place.notices.emplace_back(number,
                             std::string(what) + ' ' + std::to_string(number) + ' ' + std::move(notice));
  if (place.notices.size() > kNoticesKept) place.notices.pop_front();
  if (place.link) place.link->Notice(place.notices.back().second);
  return number;
}

void Pool::Block(std::uint64_t req, Run& run) {
  ++counts_.blocked;
  const std::string call = CallBody(req, ++run.calls_made, run.asks.once);
  run.stood_since = Now();
  run.stands_at =
      Tell(*run.place, "blocked",
           proto::FormatRequestId(req) + ' ' + std::to_string(call.size()) + "\r\n" + call + "\r\n");
}

bool Pool::GoOn(std::uint64_t req, std::uint64_t command) {
  const auto it = runs_.find(req);
  if (it == runs_.end() || it->second.stands_at == 0) return false;
  Run& run = it->second;
  run.moved_on = Now();
  run.moved_by = command;
  run.moved_from = std::exchange(run.stands_at, 0);
  cores_.Start(req, run.work / (run.asks.calls + 1), run.moved_on);
  Arm();
  return true;
}

bool Pool::Supply(std::uint64_t req, std::string_view reply, std::uint64_t command) {
  if (!GoOn(req, command)) return false;
  ++counts_.supplied;
  const Run& run = runs_.at(req);
  if (reply != ReplyOf(CallBody(req, run.calls_made, run.asks.once))) ++counts_.wrong_replies;
  return true;
}

bool Pool::Pass(std::uint64_t req, std::uint64_t notice, std::uint64_t command) {
  const auto it = runs_.find(req);
  if (it != runs_.end() && it->second.stands_at != notice) ++counts_.bad_passes;
  if (it == runs_.end() || it->second.stands_at != notice || !GoOn(req, command)) return false;
  ++counts_.passed;
  return true;
}

// Guards against runs that stand at a call for good: nobody here sees that their requests are over.
void Pool::SeeStanding() {
  standing_.Start(kStandingLook);
  if (hangs_) return;
  std::vector<std::uint64_t> over;
  for (const auto& [req, run] : runs_) {
    if (run.stands_at != 0 && Now() - run.stood_since > options_.call_patience) over.push_back(req);
  }
  std::sort(over.begin(), over.end());
  for (const std::uint64_t req : over) {
    ++counts_.cancelled;
    Place& place = *runs_.at(req).place;
    runs_.erase(req);
    over_.emplace(req, true);
    over_order_.push_back(req);
    Tell(place, "finished", proto::FormatRequestId(req) + " cancelled 0.0 0\r\n\r\n");
  }
}

void Pool::EndRuns() {
  if (hangs_) return;
  const Millis now = Now();
  for (const std::uint64_t req : cores_.TakeEnded(now)) {
    if ((req & kChecks) != 0 && checks_.count(req) != 0) {
      const auto check = checks_.extract(req);
      ++counts_.verified;
      Place& place = *check.mapped().first;
      if (place.link)
        place.link->Notice("verified " + check.mapped().second + (errors_ ? " error\r\n" : " complete\r\n"));
      continue;
    }
    if (Run& run = runs_.at(req); run.calls_made < run.asks.calls) {
      Block(req, run);
      continue;
    }
    const auto run = runs_.extract(req);
    const Run& over = run.mapped();
    const std::string result = errors_ ? "" : ResultOf(req, over.body);
    ++(errors_ ? counts_.errors : counts_.complete);
    if (!errors_) counts_.work_done += over.work;
    char text[64];
    std::snprintf(text, sizeof text, " %s %.2f %zu\r\n", errors_ ? "error" : "complete",
                  (now - over.since).count(), result.size());
    over_.emplace(req, true);
    over_order_.push_back(req);
    if (over_order_.size() > kIdsKept) {
      over_.erase(over_order_.front());
      over_order_.pop_front();
    }
    Tell(*over.place, "finished", proto::FormatRequestId(req) + text + result + "\r\n");
  }
  Arm();
}

void Pool::Arm() {
  const Millis now = Now();
  if (const auto next = cores_.NextEnd(now); next && !hangs_) {
    next_end_.Start(ToSpan(std::max(Millis(0), *next - now)));
  } else {
    next_end_.Stop();
  }
}

void Pool::BreakLinks() {
  const Millis now = Now();
  for (const auto& place : places_) {
    if (!place->link || place->link->stopped()) continue;
    for (auto it = runs_.begin(); it != runs_.end();) {
      const Run& run = it->second;
      // What a poll behind it was answered for has been read.
      // So is a supply or a pass.
      if (Run& moved = it->second; moved.place == place.get() && moved.stands_at == 0 &&
                                   moved.moved_from != 0 && moved.moved_on > now - kSwallowed &&
                                   moved.moved_by > place->link->answered()) {
        if (cores_.Cancel(it->first, now)) {
          moved.stands_at = std::exchange(moved.moved_from, 0);
          ++counts_.swallowed;
        }
      }
      const bool lost = run.place == place.get() && run.moved_from == 0 && run.stands_at == 0 &&
                        run.calls_made == 0 && run.since > now - kSwallowed &&
                        run.command > place->link->answered();
      if (lost && run.asks.once) --once_[XXH3_64bits(run.body.data(), run.body.size())];
      if (lost) cores_.Cancel(it->first, now);
      counts_.swallowed += lost ? 1 : 0;
      counts_.started -= lost ? 1 : 0;
      it = lost ? runs_.erase(it) : std::next(it);
    }
    place->link->Stop();
  }
  Arm();
}

void Pool::Cause(const PoolFault& fault) {
  const auto later = [this, &fault](std::function<void()> end) {
    script_.push_back(std::make_unique<net::Timer>(base_, std::move(end)));
    script_.back()->Start(ToSpan(fault.lasts));
  };
  switch (fault.kind) {
    case PoolFault::Kind::kBreakLinks:
      BreakLinks();
      break;
    case PoolFault::Kind::kHang:
      hangs_ = true;
      cores_.SetPace(0, Now());
      Arm();
      later([this] {
        hangs_ = false;
        cores_.SetPace(1, Now());
        Arm();
        for (const auto& place : places_) {
          if (place->link) place->link->Read();
        }
      });
      break;
    case PoolFault::Kind::kSlow:
      cores_.SetPace(1 / std::max(1.0, fault.factor), Now());
      Arm();
      later([this] {
        cores_.SetPace(1, Now());
        Arm();
      });
      break;
    case PoolFault::Kind::kErrors:
      errors_ = true;
      later([this] { errors_ = false; });
      break;
    case PoolFault::Kind::kRemark:
      for (const auto& place : places_) {
        const std::uint64_t number = ++place->last_notice;
        place->notices.emplace_back(
            number, "chatter " + std::to_string(number) + ' ' +
                        std::string(static_cast<std::size_t>(std::max(1.0, fault.factor)), 'x') + "\r\n");
        if (place->link) place->link->Notice(place->notices.back().second);
      }
      break;
  }
}

}  // namespace hingelink::standin
