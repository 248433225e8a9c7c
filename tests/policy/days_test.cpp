// Regression test of all decisions: the actions on simulated days are compared with recorded ones.
//
// Each day simulates requests, executions and upstream calls around a ServerPolicy with a seeded random
// generator. The record of a day is one digest of the actions for each five seconds. With
// HINGELINK_PRINT_DAYS=1 the test prints the current digests. A commit that replaces the recorded digests
// must state the reason.
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

// Returns `text` with the wording that two log lines had when the digests were recorded.
std::string RecordedText(std::string text) {
  const auto replace = [&text](std::string_view now, std::string_view recorded) {
    if (const std::size_t at = text.find(now); at != std::string::npos)
      text.replace(at, now.size(), recorded);
  };
  replace("drain: shutting down, ", "drain: leaving, ");
  replace(" requests in flight", " in hand");
  replace("stall: no execution makes progress, rejecting", "stall: no run moves on, refusing");
  return text;
}

constexpr double kDayMs = 40'000;
constexpr double kDigestIntervalMs = 5'000;
// Mean core time of an execution.
constexpr double kMeanWorkMs = 40;

struct DayOptions {
  const char* name = "";
  double load = 1.1;  // As a multiple of what the cores can serve.
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
  Settings settings;
  settings.classes = {{.name = "view",
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
  if (day.tenants) settings.tenants = {{"a", 0.5, 40}, {"b", 0.3, 20}, {"c", 0.2, 5}};
  settings.gauges = {"cpu_busy", "runnable"};
  settings.cores = 4;
  settings.memory_kb = 9'000;
  settings.running_memory_factor = 4;
  settings.idempotency_key_kb = 2;
  settings.read_cache_ttl_ms = day.subjects ? 300 : 0;
  settings.warming_up = day.warming_up;
  settings.warm_up_speed_fraction = 0.4;
  settings.warm_up_ms = 6'000;
  settings.max_running_per_core = 6;
  settings.max_running_window_ms = 1500;
  settings.answer_grace_ms = 100;
  settings.drain_grace_ms = 500;
  settings.min_batch_interval_ms = 4;
  settings.has_upstream = day.calls;
  settings.upstream_call_quota = day.calls ? 3 : 0;
  settings.upstream_call_quota_window_ms = 5000;
  settings.abandoned_call_ms = 200;
  settings.callers_send_remaining_wait = day.callers_send_remaining_wait;
  settings.fleet_size = 3;
  settings.callers = 4;
  settings.over_quota_weight_fraction = day.tenants ? 0.2 : 1;
  settings.load_signal = day.signal;
  settings.load_signal_lifetime_ms = 400;
  settings.can_cancel_runs = day.can_cancel_runs;
  settings.sends_retry_after = true;
  settings.max_retry_after_ms = 1000;
  settings.caller_idle_timeout_ms = 9000;
  settings.goal_weight_overall = 0.6;
  settings.goal_weight_worst_window = 0.1;
  settings.goal_weight_worst_class = 0.2;
  settings.goal_weight_worst_tenant = 0.1;
  return settings;
}

class Day {
 public:
  explicit Day(const DayOptions& options)
      : options_(options),
        settings_(SettingsOf(options)),
        random_(options.seed),
        policy_(settings_, options.seed * 77) {
    Step({});
    Schedule(1, [this] { Arrive(); });
    if (options.stall) {
      Schedule(15'000, [this] { stalled_ = true; });
      Schedule(16'200, [this] {
        stalled_ = false;
        for (const RequestId id : std::exchange(delayed_finishes_, {}))
          events_.push_back(Finished{id, Outcome::kOk, 700});
      });
    }
    if (options.retune) {
      Schedule(18'000, [this] {
        StepUntilQuiet();
        settings_.classes.erase(settings_.classes.begin() + 1);
        settings_.classes.push_back(
            {.name = "new", .latency_objective_ms = 400, .deadline_ms = 900, .priority_weight = 3});
        settings_.cores = 5;
        policy_.Reconfigure(settings_);
      });
    }
    for (int i = 1; i < 9; ++i) {
      Schedule(4'000.0 * i, [this, i] {
        events_.push_back(SiblingLoad{{i % 3, 100.0 * (i % 3), 30.0 * (i % 3)}});
      });
    }
    if (options.drain) {
      Schedule(kDayMs - 3'000, [this] { events_.push_back(DrainNotice{2'900}); });
    }
  }

  // The digests of all actions so far, at the end of each kDigestIntervalMs.
  std::vector<std::uint64_t> Digests() {
    std::vector<std::uint64_t> digests;
    while (!scheduled_.empty() && scheduled_.begin()->first.first <= kDayMs) {
      now_ = scheduled_.begin()->first.first;
      while (now_ > kDigestIntervalMs * static_cast<double>(digests.size() + 1)) digests.push_back(digest_);
      while (!scheduled_.empty() && scheduled_.begin()->first.first <= now_) {
        const auto work = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        work();
      }
      StepUntilQuiet();
    }
    digests.push_back(digest_);
    return digests;
  }
  std::uint64_t action_count() const { return action_count_; }
  const std::set<std::size_t>& action_kinds() const { return action_kinds_; }

 private:
  using Task = std::function<void()>;
  struct ModelRequest {
    double work_ms = 0;
    bool running = false;
    bool at_call = false;  // Whether the execution waits for or makes an upstream call.
    bool in_call = false;
    bool may_call_upstream = false;
    bool answered = false;
    double started_at = 0;
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  double DrawWait(double mean) { return -mean * std::log(1 - Uniform()); }
  void Schedule(double when, Task work) {
    scheduled_.emplace(std::make_pair(std::max(when, now_), ++task_count_), std::move(work));
  }
  void StepUntilQuiet() {
    while (!events_.empty()) Step(std::exchange(events_, {}));
  }

  void Arrive() {
    const double burst_factor = now_ > 25'000 && now_ < 28'000 ? 0.6 : 1;
    Schedule(now_ + DrawWait(kMeanWorkMs / settings_.cores / options_.load * burst_factor),
             [this] { Arrive(); });
    Arrival arrival;
    arrival.id = ++last_id_;
    const double which = Uniform();
    arrival.request_class = which < 0.4 ? 0 : which < 0.6 ? 1 : which < 0.85 ? 2 : 3;
    const double size = 0.3 + 1.4 * Uniform();
    DrawFields(size, arrival);
    ChooseOriginal(arrival);
    const RequestClass& config = settings_.classes[arrival.request_class];
    open_[arrival.id] = {.work_ms = kMeanWorkMs * size,
                         .may_call_upstream = config.may_call_upstream && Uniform() < 0.5};
    events_.push_back(arrival);
    if (Uniform() < 0.08) Disconnect(arrival.id, now_ + config.deadline_ms * Uniform());
  }

  // The recorded digests depend on the order of these random draws.
  void DrawFields(double size, Arrival& arrival) {
    const double memory = Uniform();
    arrival.reserved_kb = 5 + 60 * memory * memory;
    arrival.read_delay_ms = 3 * Uniform();
    arrival.expected_work_ms = Uniform() < 0.9 ? kMeanWorkMs * size * (0.7 + 0.6 * Uniform()) : 0;
    const double deadline_ms = settings_.classes[arrival.request_class].deadline_ms;
    if (options_.callers_send_remaining_wait)
      arrival.remaining_wait_ms = deadline_ms * (Uniform() < 0.8 ? 0.97 : Uniform());
    if (options_.subjects) arrival.subject = 1 + random_() % 12;
    arrival.rank = Uniform();
    arrival.caller = static_cast<std::uint32_t>(random_() % 4);
    if (options_.tenants) arrival.tenant = static_cast<std::uint16_t>(random_() % 8 < 5 ? 2 : random_() % 2);
    arrival.is_retry = Uniform() < 0.15;
    arrival.is_write = arrival.request_class > 1;
  }

  // Turns some keyed requests and some reads into further attempts of an earlier request.
  void ChooseOriginal(Arrival& arrival) {
    if (arrival.request_class == 2 && Uniform() < 0.1 && last_keyed_id_ != 0)
      arrival.original = last_keyed_id_;
    if (arrival.request_class == 2 && arrival.original == 0) last_keyed_id_ = arrival.id;
    if (arrival.request_class != 0 || !options_.subjects) return;
    RequestId& before = last_read_id_[arrival.subject];
    if (before != 0 && Uniform() < 0.7) arrival.original = before;
    before = arrival.id;
  }

  void Disconnect(RequestId id, double at) {
    Schedule(at, [this, id] {
      const auto it = open_.find(id);
      if (it == open_.end() || it->second.answered) return;
      events_.push_back(CallerDisconnected{id});
      it->second.answered = true;
      if (!it->second.running) open_.erase(it);
    });
  }

  void ScheduleRun(RequestId id, double duration_ms) {
    Schedule(now_ + duration_ms, [this, id] {
      const auto it = open_.find(id);
      if (it == open_.end()) return;
      if (std::exchange(it->second.may_call_upstream, false)) {
        it->second.at_call = true;
        events_.push_back(UpstreamCallRequested{id});
        return;
      }
      FinishRun(id, Uniform() < 0.98 ? Outcome::kOk : Outcome::kError);
    });
  }
  void FinishRun(RequestId id, Outcome outcome) {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    if (stalled_) {
      delayed_finishes_.push_back(id);
    } else {
      events_.push_back(Finished{id, outcome, now_ - it->second.started_at});
    }
    --running_;
    open_.erase(it);
  }

  void Step(const std::vector<Event>& events) {
    const std::vector<Action> actions = policy_.Step(now_, events);
    for (const Action& action : actions) {
      ++action_count_;
      action_kinds_.insert(action.index());
      AddToDigest(static_cast<std::uint64_t>(action.index()));
      std::visit([this](const auto& each) { Execute(each); }, action);
    }
  }

  void AddToDigest(std::uint64_t value) {
    for (int i = 0; i < 8; ++i) digest_ = (digest_ ^ (value >> 8 * i & 255)) * 0x100000001b3u;
  }
  void AddToDigest(double value) { AddToDigest(std::bit_cast<std::uint64_t>(value)); }

  void Execute(const Start& start) {
    AddToDigest(start.id);
    const auto it = open_.find(start.id);
    if (it == open_.end()) return;
    it->second.running = true;
    it->second.started_at = now_;
    ++running_;
    const double crowding = std::max(1.0, running_ / static_cast<double>(settings_.cores));
    const double slowdown = options_.warming_up && now_ < 6'000 ? 2 : 1;
    ScheduleRun(start.id, it->second.work_ms * crowding * slowdown);
  }
  void Execute(const Replay& replay) {
    AddToDigest(replay.id);
    events_.push_back(Finished{replay.id, Outcome::kOk, 0});
    open_.erase(replay.id);
  }
  void Execute(const Reject& reject) {
    AddToDigest(reject.id);
    AddToDigest(static_cast<std::uint64_t>(reject.no_other_server));
    AddToDigest(reject.retry_after_ms);
    open_.erase(reject.id);
  }
  void Execute(const Fail& fail) {
    AddToDigest(fail.id);
    const auto it = open_.find(fail.id);
    if (it == open_.end()) return;
    it->second.answered = true;
    if (!it->second.running) {
      open_.erase(it);
    } else if (it->second.at_call) {
      FinishRun(fail.id, Outcome::kCancelled);
    }
  }
  void Execute(const CancelRun& cancel) {
    AddToDigest(cancel.id);
    if (Uniform() < 0.5) FinishRun(cancel.id, Outcome::kCancelled);
  }
  void Execute(const UseFallback& fallback) {
    AddToDigest(fallback.id);
    ModelRequest& open = open_.at(fallback.id);
    open.at_call = open.in_call = false;
    ScheduleRun(fallback.id, open.work_ms / 3);
  }
  void Execute(const StartUpstreamCall& call) {
    AddToDigest(call.id);
    AddToDigest(call.timeout_ms);
    ModelRequest& open = open_.at(call.id);
    open.in_call = true;
    const double elapsed_ms = DrawWait(now_ > 12'000 && now_ < 22'000 ? 150 : 40);
    const double chance = Uniform();
    Schedule(now_ + std::min(elapsed_ms, call.timeout_ms), [this, call, elapsed_ms, chance] {
      const auto it = open_.find(call.id);
      if (it == open_.end() || !std::exchange(it->second.in_call, false)) return;
      const Outcome outcome = elapsed_ms > call.timeout_ms ? Outcome::kTimeout
                              : chance < 0.05              ? Outcome::kFull
                              : chance < 0.08              ? Outcome::kConnectFailed
                              : chance < 0.10              ? Outcome::kReset
                                                           : Outcome::kOk;
      events_.push_back(UpstreamCallFinished{call.id, outcome, std::min(elapsed_ms, call.timeout_ms)});
      if (outcome != Outcome::kOk) return;
      it->second.at_call = false;
      ScheduleRun(call.id, it->second.work_ms / 2);
    });
  }
  void Execute(const RetainKey& retain) {
    AddToDigest(retain.id);
    AddToDigest(retain.ttl_ms);
  }
  void Execute(const ReleaseKey& release) { AddToDigest(release.id); }
  void Execute(const SetTimer& timer) {
    AddToDigest(timer.in_ms);
    AddToDigest(static_cast<std::uint64_t>(timer.token));
    Schedule(now_ + timer.in_ms, [this, token = timer.token] {
      const double busy = std::min(1.0, running_ / static_cast<double>(settings_.cores));
      events_.push_back(TimerFired{token, {busy, static_cast<double>(running_)}});
    });
  }
  void Execute(const SetHealth& health) {
    AddToDigest(static_cast<std::uint64_t>(health.healthy) * 2 + static_cast<std::uint64_t>(health.shallow));
  }
  void Execute(const PublishLoadSignal& signal) { AddToDigest(signal.value); }
  void Execute(const CloseIdle& close) { AddToDigest(close.after_ms); }
  void Execute(const Log& log) {
    for (const char character : RecordedText(log.text))
      AddToDigest(static_cast<std::uint64_t>(static_cast<unsigned char>(character)));
  }

  DayOptions options_;
  Settings settings_;
  std::mt19937_64 random_;
  ServerPolicy policy_;
  double now_ = 0;
  std::map<std::pair<double, std::uint64_t>, Task> scheduled_;
  std::uint64_t task_count_ = 0;
  std::uint64_t action_count_ = 0;
  std::vector<Event> events_;
  std::map<RequestId, ModelRequest> open_;
  RequestId last_id_ = 0;
  RequestId last_keyed_id_ = 0;
  std::map<std::uint64_t, RequestId> last_read_id_;  // By subject.
  int running_ = 0;
  bool stalled_ = false;
  std::vector<RequestId> delayed_finishes_;
  std::uint64_t digest_ = 0xcbf29ce484222325u;
  std::set<std::size_t> action_kinds_;
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
    kinds.insert(day.action_kinds().begin(), day.action_kinds().end());
    if (print) {
      std::printf("%s, %lu actions: {", recorded.day.name, static_cast<unsigned long>(day.action_count()));
      for (const std::uint64_t digest : digests)
        std::printf("0x%016lxu, ", static_cast<unsigned long>(digest));
      std::printf("}\n");
      continue;
    }
    ASSERT_EQ(digests.size(), recorded.digests.size());
    for (std::size_t i = 0; i < digests.size(); ++i) {
      ASSERT_EQ(digests[i], recorded.digests[i])
          << recorded.day.name << " differs between second " << 5 * i << " and " << 5 * (i + 1);
    }
  }
  // Every kind of action was emitted on some day.
  EXPECT_EQ(kinds.size(), std::variant_size_v<Action>);
}

}  // namespace
}  // namespace hingelink
