// Days of a closed model round the module: what it does is compared, action by action, with what it did
// before a change that is to change nothing. The record of a day is one digest for each five seconds of it; a
// change that is meant prints the new ones (HINGELINK_PRINT_DAYS=1) and says in its commit why they differ.
#include <gtest/gtest.h>

#include <bit>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink {
namespace {

// The record was made before two log lines took other words; it stays as it is, so that it proves that
// nothing else has changed.
std::string RecordedText(std::string text) {
  const auto replace = [&text](std::string_view now, std::string_view recorded) {
    if (const std::size_t at = text.find(now); at != std::string::npos)
      text.replace(at, now.size(), recorded);
  };
  replace(" in flight", " in hand");
  replace("stall: no execution makes progress, rejecting", "stall: no run moves on, refusing");
  return text;
}

constexpr double kDayMs = 40'000, kDigestEachMs = 5'000;

struct DayOptions {
  const char* name = "";
  double load = 1.1;  // Of what the cores can do.
  std::uint64_t seed = 1;
  bool callers_send_remaining_wait = true;
  bool calls = false;
  bool tenants = false;
  bool subjects = false;
  LoadSignalKind signal = LoadSignalKind::kNone;
  bool can_cancel_runs = false;
  bool warming_up = false;
  bool stall = false;
  bool retune = false;
  bool drain = false;
};

Settings SettingsOf(const DayOptions& day) {
  Settings s;
  s.classes = {{.name = "view",
                .latency_objective_ms = 500,
                .latency_objective_work_factor = 2,
                .deadline_ms = 1200,
                .late_weight_fraction = 0.3,
                .priority_weight = 1},
               {.name = "save",
                .latency_objective_ms = 700,
                .deadline_ms = 1600,
                .priority_weight = 2,
                .fallback_weight_fraction = 0.4,
                .may_call_upstream = day.calls},
               {.name = "pay",
                .latency_objective_ms = 700,
                .deadline_ms = 1600,
                .idempotency_window_ms = 4000,
                .priority_weight = 5,
                .idempotency = Idempotency::kKeyed},
               {.name = "once",
                .latency_objective_ms = 800,
                .deadline_ms = 1900,
                .priority_weight = 4,
                .idempotency = Idempotency::kNotIdempotent,
                .may_call_upstream = day.calls}};
  if (day.tenants) s.tenants = {{"a", 0.5, 40}, {"b", 0.3, 20}, {"c", 0.2, 5}};
  s.gauges = {"cpu_busy", "runnable"};
  s.cores = 4;
  s.memory_kb = 9'000;
  s.running_memory_factor = 4;
  s.idempotency_key_kb = 2;
  s.read_cache_ttl_ms = day.subjects ? 300 : 0;
  s.warming_up = day.warming_up;
  s.warm_up_speed_fraction = 0.4;
  s.warm_up_ms = 6'000;
  s.max_running_per_core = 6;
  s.max_running_window_ms = 1500;
  s.answer_grace_ms = 100;
  s.drain_grace_ms = 500;
  s.min_batch_interval_ms = 4;
  s.has_upstream = day.calls;
  s.upstream_call_quota = day.calls ? 3 : 0;
  s.upstream_call_quota_window_ms = 5000;
  s.abandoned_call_ms = 200;
  s.callers_send_remaining_wait = day.callers_send_remaining_wait;
  s.fleet_size = 3;
  s.callers = 4;
  s.over_quota_weight_fraction = day.tenants ? 0.2 : 1;
  s.load_signal = day.signal;
  s.load_signal_lifetime_ms = 400;
  s.can_cancel_runs = day.can_cancel_runs;
  s.sends_retry_after = true;
  s.max_retry_after_ms = 1000;
  s.caller_idle_timeout_ms = 9000;
  s.goal_weight_overall = 0.6;
  s.goal_weight_worst_window = 0.1;
  s.goal_weight_worst_class = 0.2;
  s.goal_weight_worst_tenant = 0.1;
  return s;
}

class Day {
 public:
  explicit Day(const DayOptions& options)
      : options_(options),
        settings_(SettingsOf(options)),
        draw_(options.seed),
        policy_(settings_, options.seed * 77) {
    Play({});
    At(1, [this] { Arrive(); });
    if (options.stall) {
      At(15'000, [this] { stalled_ = true; });
      At(16'200, [this] {
        stalled_ = false;
        for (const RequestId id : std::exchange(late_, {}))
          events_.push_back(Finished{id, Outcome::kOk, 700});
      });
    }
    if (options.retune) {
      At(18'000, [this] {
        Flush();
        settings_.classes.erase(settings_.classes.begin() + 1);
        settings_.classes.push_back(
            {.name = "new", .latency_objective_ms = 400, .deadline_ms = 900, .priority_weight = 3});
        settings_.cores = 5;
        policy_.Reconfigure(settings_);
      });
    }
    for (int i = 1; i < 9; ++i) {
      At(4'000.0 * i, [this, i] {
        events_.push_back(SiblingLoad{{i % 3, 100.0 * (i % 3), 30.0 * (i % 3)}});
      });
    }
    if (options.drain) {
      At(kDayMs - 3'000, [this] { events_.push_back(DrainNotice{2'900}); });
    }
  }

  // One for each kDigestEachMs.
  std::vector<std::uint64_t> Digests() {
    std::vector<std::uint64_t> digests;
    while (!plan_.empty() && plan_.begin()->first.first <= kDayMs) {
      now_ = plan_.begin()->first.first;
      while (now_ > kDigestEachMs * static_cast<double>(digests.size() + 1)) digests.push_back(digest_);
      while (!plan_.empty() && plan_.begin()->first.first <= now_) {
        const auto work = std::move(plan_.begin()->second);
        plan_.erase(plan_.begin());
        work();
      }
      Flush();
    }
    digests.push_back(digest_);
    return digests;
  }
  std::uint64_t actions() const { return actions_; }
  const std::set<std::size_t>& kinds() const { return kinds_; }

 private:
  using Task = std::function<void()>;
  struct Open {
    int cls = 0;
    double work = 0;
    bool running = false, at_call = false, calling = false, may_call_upstream = false, answered = false;
    double since = 0;
  };

  double Uniform() { return static_cast<double>(draw_() >> 11) * 0x1p-53; }
  double Wait(double mean) { return -mean * std::log(1 - Uniform()); }
  void At(double when, Task work) {
    plan_.emplace(std::make_pair(std::max(when, now_), ++planned_), std::move(work));
  }
  void Flush() {
    while (!events_.empty()) Play(std::exchange(events_, {}));
  }

  void Arrive() {
    const double mean = 40;
    At(now_ + Wait(mean / settings_.cores / options_.load * (now_ > 25'000 && now_ < 28'000 ? 0.6 : 1)),
       [this] { Arrive(); });
    Arrival a;
    a.id = ++last_;
    const double which = Uniform();
    a.request_class = which < 0.4 ? 0 : which < 0.6 ? 1 : which < 0.85 ? 2 : 3;
    const double size = 0.3 + 1.4 * Uniform();
    const double bulk = Uniform();
    a.reserved_kb = 5 + 60 * bulk * bulk;
    a.read_delay_ms = 3 * Uniform();
    a.expected_work_ms = Uniform() < 0.9 ? mean * size * (0.7 + 0.6 * Uniform()) : 0;
    const double deadline = settings_.classes[a.request_class].deadline_ms;
    if (options_.callers_send_remaining_wait)
      a.remaining_wait_ms = deadline * (Uniform() < 0.8 ? 0.97 : Uniform());
    if (options_.subjects) a.subject = 1 + draw_() % 12;
    a.rank = Uniform();
    a.caller = static_cast<std::uint32_t>(draw_() % 4);
    if (options_.tenants) a.tenant = static_cast<std::uint16_t>(draw_() % 8 < 5 ? 2 : draw_() % 2);
    a.is_retry = Uniform() < 0.15;
    a.is_write = a.request_class > 1;
    if (a.request_class == 2 && Uniform() < 0.1 && last_key_ != 0) a.original = last_key_;
    if (a.request_class == 2 && a.original == 0) last_key_ = a.id;
    if (a.request_class == 0 && options_.subjects) {
      RequestId& before = last_read_[a.subject];
      if (before != 0 && Uniform() < 0.7) a.original = before;
      before = a.id;
    }
    open_[a.id] = {
        .cls = a.request_class,
        .work = mean * size,
        .may_call_upstream = settings_.classes[a.request_class].may_call_upstream && Uniform() < 0.5};
    events_.push_back(a);
    if (Uniform() < 0.08) {
      At(now_ + deadline * Uniform(), [this, id = a.id] {
        const auto it = open_.find(id);
        if (it == open_.end() || it->second.answered) return;
        events_.push_back(CallerDisconnected{id});
        it->second.answered = true;
        if (!it->second.running) open_.erase(it);
      });
    }
  }

  void Work(RequestId id, double span) {
    At(now_ + span, [this, id] {
      const auto it = open_.find(id);
      if (it == open_.end()) return;
      if (std::exchange(it->second.may_call_upstream, false)) {
        it->second.at_call = true;
        events_.push_back(UpstreamCallRequested{id});
        return;
      }
      End(id, Uniform() < 0.98 ? Outcome::kOk : Outcome::kError);
    });
  }
  void End(RequestId id, Outcome outcome) {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    if (stalled_) {
      late_.push_back(id);
    } else {
      events_.push_back(Finished{id, outcome, now_ - it->second.since});
    }
    --running_;
    open_.erase(it);
  }

  void Play(const std::vector<Event>& events) {
    const std::vector<Action> actions = policy_.Step(now_, events);
    for (const Action& action : actions) {
      ++actions_;
      kinds_.insert(action.index());
      Note(static_cast<std::uint64_t>(action.index()));
      std::visit([this](const auto& a) { Do(a); }, action);
    }
  }

  void Note(std::uint64_t word) {
    for (int i = 0; i < 8; ++i) digest_ = (digest_ ^ (word >> 8 * i & 255)) * 0x100000001b3u;
  }
  void Note(double value) { Note(std::bit_cast<std::uint64_t>(value)); }

  void Do(const Start& a) {
    Note(a.id);
    const auto it = open_.find(a.id);
    if (it == open_.end()) return;
    it->second.running = true;
    it->second.since = now_;
    ++running_;
    const double crowd = std::max(1.0, running_ / static_cast<double>(settings_.cores));
    const double slow = options_.warming_up && now_ < 6'000 ? 2 : 1;
    Work(a.id, it->second.work * crowd * slow);
  }
  void Do(const Replay& a) {
    Note(a.id);
    events_.push_back(Finished{a.id, Outcome::kOk, 0});
    open_.erase(a.id);
  }
  void Do(const Reject& a) {
    Note(a.id);
    Note(static_cast<std::uint64_t>(a.no_other_server));
    Note(a.retry_after_ms);
    open_.erase(a.id);
  }
  void Do(const Fail& a) {
    Note(a.id);
    const auto it = open_.find(a.id);
    if (it == open_.end()) return;
    it->second.answered = true;
    if (!it->second.running) {
      open_.erase(it);
    } else if (it->second.at_call) {
      End(a.id, Outcome::kCancelled);
    }
  }
  void Do(const CancelRun& a) {
    Note(a.id);
    if (Uniform() < 0.5) End(a.id, Outcome::kCancelled);
  }
  void Do(const UseFallback& a) {
    Note(a.id);
    Open& open = open_.at(a.id);
    open.at_call = open.calling = false;
    Work(a.id, open.work / 3);
  }
  void Do(const StartUpstreamCall& a) {
    Note(a.id);
    Note(a.timeout_ms);
    Open& open = open_.at(a.id);
    open.calling = true;
    const double took = Wait(now_ > 12'000 && now_ < 22'000 ? 150 : 40);
    const double chance = Uniform();
    At(now_ + std::min(took, a.timeout_ms), [this, a, took, chance] {
      const auto it = open_.find(a.id);
      if (it == open_.end() || !std::exchange(it->second.calling, false)) return;
      const Outcome outcome = took > a.timeout_ms ? Outcome::kTimeout
                              : chance < 0.05     ? Outcome::kFull
                              : chance < 0.08     ? Outcome::kConnectFailed
                              : chance < 0.10     ? Outcome::kReset
                                                  : Outcome::kOk;
      events_.push_back(UpstreamCallFinished{a.id, outcome, std::min(took, a.timeout_ms)});
      if (outcome != Outcome::kOk) return;
      it->second.at_call = false;
      Work(a.id, it->second.work / 2);
    });
  }
  void Do(const RetainKey& a) {
    Note(a.id);
    Note(a.ttl_ms);
  }
  void Do(const ReleaseKey& a) { Note(a.id); }
  void Do(const SetTimer& a) {
    Note(a.in_ms);
    Note(static_cast<std::uint64_t>(a.token));
    At(now_ + a.in_ms, [this, token = a.token] {
      const double busy = std::min(1.0, running_ / static_cast<double>(settings_.cores));
      events_.push_back(TimerFired{token, {busy, static_cast<double>(running_)}});
    });
  }
  void Do(const SetHealth& a) {
    Note(static_cast<std::uint64_t>(a.healthy) * 2 + static_cast<std::uint64_t>(a.shallow));
  }
  void Do(const PublishLoadSignal& a) { Note(a.value); }
  void Do(const CloseIdle& a) { Note(a.after_ms); }
  void Do(const Log& a) {
    for (const char c : RecordedText(a.text)) Note(static_cast<std::uint64_t>(static_cast<unsigned char>(c)));
  }

  DayOptions options_;
  Settings settings_;
  std::mt19937_64 draw_;
  ServerPolicy policy_;
  double now_ = 0;
  std::map<std::pair<double, std::uint64_t>, Task> plan_;
  std::uint64_t planned_ = 0, actions_ = 0;
  std::vector<Event> events_;
  std::map<RequestId, Open> open_;
  RequestId last_ = 0, last_key_ = 0;
  std::map<std::uint64_t, RequestId> last_read_;
  int running_ = 0;
  bool stalled_ = false;
  std::vector<RequestId> late_;
  std::uint64_t digest_ = 0xcbf29ce484222325u;
  std::set<std::size_t> kinds_;
};

struct Recorded {
  DayOptions day;
  std::vector<std::uint64_t> digests;
};

const std::vector<Recorded>& Days() {
  static const std::vector<Recorded> days = {
#include "days_record.inc"
  };
  return days;
}

TEST(Days, EachActionIsAsRecorded) {
  const bool print = std::getenv("HINGELINK_PRINT_DAYS") != nullptr;
  std::set<std::size_t> kinds;
  for (const Recorded& recorded : Days()) {
    Day day(recorded.day);
    const std::vector<std::uint64_t> digests = day.Digests();
    kinds.insert(day.kinds().begin(), day.kinds().end());
    if (print) {
      std::printf("%s, %lu actions: {", recorded.day.name, static_cast<unsigned long>(day.actions()));
      for (const std::uint64_t one : digests) std::printf("0x%016lxu, ", static_cast<unsigned long>(one));
      std::printf("}\n");
      continue;
    }
    ASSERT_EQ(digests.size(), recorded.digests.size());
    for (std::size_t i = 0; i < digests.size(); ++i) {
      ASSERT_EQ(digests[i], recorded.digests[i])
          << recorded.day.name << " differs between second " << 5 * i << " and " << 5 * (i + 1);
    }
  }
  // Every action there is was taken on some day.
  EXPECT_EQ(kinds.size(), std::variant_size_v<Action>);
}

}  // namespace
}  // namespace hingelink
