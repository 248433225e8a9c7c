// The module on scripted events, without the bench.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink {
namespace {

constexpr double kTick = 2;

Settings Site() {
  Settings s;
  s.classes = {{.name = "read", .latency_objective_ms = 1000, .deadline_ms = 4000, .priority_weight = 1},
               {.name = "pay",
                .latency_objective_ms = 1000,
                .deadline_ms = 4000,
                .idempotency_window_ms = 10000,
                .priority_weight = 5,
                .idempotency = Idempotency::kKeyed,
                .may_call_upstream = true},
               {.name = "find",
                .latency_objective_ms = 1000,
                .deadline_ms = 4000,
                .priority_weight = 1,
                .fallback_weight_fraction = 0.5,
                .may_call_upstream = true},
               {.name = "once",
                .latency_objective_ms = 1000,
                .deadline_ms = 4000,
                .priority_weight = 1,
                .idempotency = Idempotency::kNotIdempotent,
                .may_call_upstream = true}};
  s.gauges = {"cpu_busy", "runnable"};
  s.cores = 2;
  s.memory_kb = 10000;
  s.running_memory_factor = 4;
  s.idempotency_key_kb = 10;
  s.max_running_per_core = 5;
  s.max_running_window_ms = 3000;
  s.warm_up_speed_fraction = 0.25;
  s.warm_up_ms = 10000;
  s.drain_grace_ms = 500;
  s.min_batch_interval_ms = kTick;
  s.has_upstream = true;
  s.upstream_call_quota = 4;
  s.upstream_call_quota_window_ms = 5000;
  s.abandoned_call_ms = 200;
  s.sends_retry_after = true;
  s.max_retry_after_ms = 1000;
  return s;
}

enum Class : std::uint16_t { kRead, kPay, kFind, kOnce };

// Plays a host: keeps the books that the four rules ask for and carries timers.
class Host {
 public:
  explicit Host(const Settings& s = Site(), std::uint64_t seed = 7, const Learned& before = {})
      : policy_(s, seed) {
    policy_.ImportLearned(before);
    Play({});
  }
  Learned Tell() const { return policy_.ExportLearned(); }

  const std::vector<Action>& Play(std::vector<Event> events) {
    last_ = policy_.Step(now, events);
    for (const Action& action : last_) {
      if (const auto* t = std::get_if<SetTimer>(&action)) timers_.emplace(now + t->in_ms, t->token);
      if (const auto* a = std::get_if<Start>(&action)) ++starts[a->id];
      if (const auto* a = std::get_if<Reject>(&action)) ++refusals[a->id];
      if (const auto* a = std::get_if<Fail>(&action)) ++fails[a->id];
      if (const auto* a = std::get_if<Replay>(&action)) ++replays[a->id];
      if (const auto* a = std::get_if<StartUpstreamCall>(&action)) ++calls[a->id];
      if (const auto* a = std::get_if<CancelRun>(&action)) ++stops[a->id];
      if (const auto* a = std::get_if<UseFallback>(&action)) ++poorer[a->id];
      if (const auto* a = std::get_if<RetainKey>(&action)) kept[a->id] = now + a->ttl_ms;
      if (const auto* a = std::get_if<ReleaseKey>(&action)) kept.erase(a->id);
      if (const auto* a = std::get_if<SetHealth>(&action)) healthy = a->healthy;
      if (const auto* a = std::get_if<PublishLoadSignal>(&action)) announced = a->value;
    }
    return last_;
  }

  // Lets time pass, firing timers as they fall due, with these gauges.
  void PassTo(double until) {
    while (!timers_.empty() && timers_.begin()->first <= until) {
      now = std::max(now, timers_.begin()->first);
      const std::uint32_t token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      Play({TimerFired{token, {busy, runnable}}});
    }
    now = until;
  }

  Arrival Come(RequestId id, Class c = kRead, RequestId original = 0) const {
    return {.id = id, .original = original, .reserved_kb = 10, .request_class = c};
  }
  void Arrive(RequestId id, Class c = kRead, RequestId original = 0) { Play({Come(id, c, original)}); }
  void Finish(RequestId id, Outcome outcome = Outcome::kOk, double took = 100) {
    Play({Finished{id, outcome, took}});
  }
  void Reconfigure(const Settings& s) { policy_.Reconfigure(s); }
  // Fills the cores with reads 1000, 1001.
  void Fill() {
    Arrive(1000);
    Arrive(1001);
  }
  void Gate(bool on) {
    busy = on ? 1 : 0.5;
    runnable = 4;
    PassTo(now + 1100);
  }

  double announced = 0;
  double now = 5000;
  double busy = 0.5;
  double runnable = 2;
  bool healthy = true;
  std::map<RequestId, int> starts, refusals, fails, replays, calls, poorer, stops;
  std::map<RequestId, double> kept;

 private:
  ServerPolicy policy_;
  std::vector<Action> last_;
  std::multimap<double, std::uint32_t> timers_;
};

// Without it hundreds of callers fill a small table with connections that wait for a second use.
TEST(Connections, TheMoreCallersTheSoonerIdleOnesAreClosed) {
  const auto kept = [](int cores, int callers) {
    Settings s = Site();
    s.caller_idle_timeout_ms = 30000;
    s.cores = cores;
    s.callers = callers;
    double after = 0;
    ServerPolicy policy(s, 1);
    for (const Action& a : policy.Step(0, {})) {
      if (const auto* close = std::get_if<CloseIdle>(&a)) after = close->after_ms;
    }
    return after;
  };
  EXPECT_GE(kept(1, 1000), 10);
  EXPECT_LT(kept(2, 1000), 1000);
  EXPECT_GT(kept(2, 20), 3000);
  EXPECT_GT(kept(6, 4), 3000);
  EXPECT_LE(kept(6, 4), 30000);  // Never longer than the callers keep them.
}

// ---- Start path ----

TEST(StartPath, IdleServerStartsAtOnce) {
  Host h;
  h.Arrive(1);
  EXPECT_EQ(h.starts[1], 1);
}

TEST(StartPath, HoldsAtTheLimitAndStartsAtAFinish) {
  Host h;
  h.Fill();
  h.Arrive(1);
  EXPECT_EQ(h.starts[1], 0);
  EXPECT_EQ(h.refusals[1], 0);
  h.Finish(1000);
  EXPECT_EQ(h.starts[1], 1);
}

TEST(StartPath, BusyGateRefusesAnExpiredWait) {
  Host h;
  h.Fill();
  h.Gate(true);
  h.Arrive(1);
  h.PassTo(h.now + 980);  // The aim is near and a late answer earns nothing.
  h.Finish(1000);
  EXPECT_EQ(h.starts[1], 0);
  EXPECT_EQ(h.refusals[1], 1);
}

TEST(StartPath, BelowTheGateNoWaitIsChecked) {
  Host h;
  h.Fill();
  h.Gate(false);
  h.Arrive(1);
  h.PassTo(h.now + 980);
  h.Finish(1000);
  EXPECT_EQ(h.starts[1], 1);
}

// The gate goes by idle cores: nine tenths busy is a full pair of cores, and a full dozen is not.
TEST(StartPath, TheGateGoesByIdleCores) {
  for (const int cores : {1, 2, 12}) {
    Settings s = Site();
    s.cores = cores;
    Host h(s);
    for (RequestId id = 1000; id < 1000u + cores; ++id) h.Arrive(id);
    h.busy = 0.9;
    h.runnable = cores + 3;
    h.PassTo(h.now + 1100);
    h.Arrive(1);
    h.PassTo(h.now + 1050);
    h.Finish(1000);
    EXPECT_EQ(h.starts[1], cores == 12 ? 1 : 0) << cores;
    EXPECT_EQ(h.refusals[1], cores == 12 ? 0 : 1) << cores;
  }
}

TEST(StartPath, ToldWaitThatExpiresIsRefusedUnderTheGate) {
  Settings s = Site();
  s.callers_send_remaining_wait = true;
  s.classes[kRead].late_weight_fraction = 0.5;
  Host h(s);
  h.Fill();
  h.Gate(true);
  Arrival a = h.Come(1);
  a.remaining_wait_ms = 300;
  h.Play({a});
  h.PassTo(h.now + 280);
  h.Finish(1000);
  EXPECT_EQ(h.starts[1], 0);
  EXPECT_EQ(h.refusals[1], 1);
}

TEST(StartPath, DepartedCallerIsNeitherRunNorAnswered) {
  for (const bool gate : {false, true}) {
    Host h;
    h.Fill();
    h.Gate(gate);
    h.Arrive(1);
    h.Play({CallerDisconnected{1}});
    h.Finish(1000);
    EXPECT_EQ(h.starts[1] + h.refusals[1] + h.fails[1], 0);
  }
}

TEST(StartPath, BytesOfADepartedHeldRequestAreFreeAtTheNotice) {
  Settings s = Site();
  s.memory_kb = 300;
  Host h(s);
  h.Arrive(1000);  // Runs in 40.
  Arrival big = h.Come(1);
  big.reserved_kb = 55;  // Would run in 220, which does not fit beside 40 and the next one held.
  h.Play({h.Come(1001)});
  h.Play({big});
  EXPECT_EQ(h.starts[1], 0);
  h.Play({CallerDisconnected{1}});
  h.Finish(1000);
  h.Finish(1001);
  Arrival next = h.Come(2);
  next.reserved_kb = 55;
  h.Play({next});
  EXPECT_EQ(h.starts[2], 1);
}

TEST(StartPath, RunningFootprintStaysUnderTheWatermark) {
  Settings s = Site();
  s.cores = 50;
  s.memory_kb = 400;
  Host h(s);
  for (RequestId id = 1; id <= 20; ++id) h.Arrive(id);
  int running = 0;
  for (const auto& [id, n] : h.starts) running += n;
  EXPECT_GT(running, 3);
  EXPECT_LE(running * 40, 400);
}

TEST(StartPath, LimitClimbsWhileCoresIdleAndStopsAtTheCeiling) {
  Settings s = Site();
  s.memory_kb = 1e6;
  for (const bool warming_up : {false, true}) {
    s.warming_up = warming_up;
    Host h(s);
    h.runnable = 0;
    RequestId id = 1;
    int running = 0;
    for (int i = 0; i < 200; ++i) {
      h.Play({h.Come(id++), h.Come(id++)});
      h.PassTo(h.now + 25);
    }
    for (const auto& [unused, n] : h.starts) running += n;
    // Cold: 2 cores x (1 + 4 x 0.25); warm: 2 cores x 5.
    EXPECT_LE(running, warming_up ? 4 : 10);
    EXPECT_GE(running, warming_up ? 3 : 7);
  }
}

// On two cores half a thing to spare is none: a run that goes to the disk leaves a core idle.
TEST(StartPath, TwoCoresHaveARunToSpareLikeMany) {
  Host h;
  h.runnable = 2.6;
  h.Fill();
  h.Arrive(1);
  EXPECT_EQ(h.starts[1], 0);
  h.PassTo(h.now + 500);
  EXPECT_EQ(h.starts[1], 1);
}

TEST(StartPath, HoldMarkRefusesArrivals) {
  Host h;
  h.Fill();
  int refused = 0;
  for (RequestId id = 1; id <= 50; ++id) h.Arrive(id);
  for (const auto& [id, n] : h.refusals) refused += n;
  EXPECT_GT(refused, 20);
}

TEST(StartPath, LeastWorthIsTurnedAwayFirst) {
  Host h;
  h.Fill();
  for (RequestId id = 1; id <= 20; ++id) h.Arrive(id, kRead);
  h.Arrive(100, kPay);
  EXPECT_EQ(h.refusals[100], 0);
  h.Finish(1000);
  h.Finish(1001);
}

// A server that turns slow has few finishes to learn from; a handful must do.
TEST(StartPath, ASlowedServerHoldsLessAfterAFewFinishes) {
  const auto held = [](double took) {
    Host h;
    h.runnable = 4;
    RequestId id = 1;
    for (; id <= 40; ++id) {
      h.Arrive(id);
      h.Finish(id, Outcome::kOk, 100);
    }
    for (; id <= 48; ++id) {
      h.Arrive(id);
      h.Finish(id, Outcome::kOk, took);
    }
    h.Fill();
    int n = 0;
    for (id = 100; h.refusals.empty() && n < 100; ++id) {
      h.Arrive(id);
      ++n;
    }
    return n;
  };
  EXPECT_LT(held(500) * 2, held(100));
}

// Few callers that all stay away for the whole wait leave the cores idle before they are back.
TEST(StartPath, AdviceIsShorterThanTheWaitInTheHold) {
  Host h;
  h.runnable = 4;
  for (RequestId id = 1; id <= 20; ++id) {
    h.Arrive(id);
    h.Finish(id, Outcome::kOk, 200);
  }
  h.Fill();
  double advice = 0;
  int in_hold = 0;
  for (RequestId id = 100; advice == 0 && in_hold < 100; ++id) {
    for (const Action& action : h.Play({h.Come(id)})) {
      if (const auto* no = std::get_if<Reject>(&action)) advice = no->retry_after_ms;
    }
    in_hold += advice == 0 ? 1 : 0;
  }
  EXPECT_GT(advice, 0);
  EXPECT_LT(advice, 0.8 * in_hold * 200 / 2);
}

// In overload an answer past the aim takes a core from one that can be in time.
TEST(StartPath, UnderTheGateTheAimCountsEvenWhereALateAnswerEarnsALittle) {
  Settings s = Site();
  s.classes[kRead].late_weight_fraction = 0.2;
  for (const bool gate : {false, true}) {
    Host h(s);
    h.Fill();
    h.Gate(gate);
    h.Arrive(1);
    h.PassTo(h.now + 980);
    h.Finish(1000);
    EXPECT_EQ(h.starts[1], gate ? 0 : 1);
  }
}

// A fleet that refuses everywhere must not read its own refusals again; a server slow alone must send on.
// A hint sizes a request against the usual of its class: the large one is too late where the small one is
// not. Without a hint, or with one far off, the class decides and others are not turned away for it.
// In a storm of tries the further ones are old: a first try that came later starts before them. In calm the
// nearest aim goes first, whatever the try.
TEST(StartPath, InAStormFirstTriesStartBeforeFurtherOnes) {
  for (const bool storm : {false, true}) {
    Host h;
    for (RequestId id = 10; id < 210; ++id) {
      Arrival a = h.Come(id);
      a.is_retry = storm && id % 2 == 0;
      h.Play({a});
      h.Finish(id, Outcome::kOk, 50);
    }
    h.Gate(true);
    h.Fill();
    Arrival old = h.Come(1);
    old.is_retry = true;
    h.Play({old});
    h.now += 2 * kTick;
    h.Arrive(2);
    h.Finish(1000, Outcome::kOk, 50);
    EXPECT_EQ(h.starts[1], storm ? 0 : 1);
    EXPECT_EQ(h.starts[2], storm ? 1 : 0);
  }
}

TEST(StartPath, AHintSizesARequestAndNoHintIsTheUsualOfItsClass) {
  for (const double hint : {0.0, 20.0, 100.0, 300.0}) {
    Host h;
    for (RequestId id = 10; id < 110; ++id) {
      Arrival a = h.Come(id);
      a.expected_work_ms = 100;
      h.Play({a});
      h.Finish(id, Outcome::kOk, 400);
    }
    h.Fill();
    h.Gate(true);
    Arrival a = h.Come(1);
    a.read_delay_ms = 350;
    a.expected_work_ms = hint;
    h.Play({a});
    h.Finish(1000, Outcome::kOk, 400);
    EXPECT_EQ(h.starts[1], hint < 300 ? 1 : 0) << hint;
    EXPECT_EQ(h.refusals[1], hint < 300 ? 0 : 1) << hint;
  }
}

TEST(StartPath, AHintFarOffDoesNotTurnOthersAway) {
  Settings s = Site();
  s.cores = 20;
  s.memory_kb = 1e6;
  Host h(s);
  for (RequestId id = 10; id < 110; ++id) {
    Arrival a = h.Come(id);
    a.expected_work_ms = 100;
    h.Play({a});
    h.Finish(id, Outcome::kOk, 50);
  }
  for (RequestId id = 200; id < 220; ++id) h.Arrive(id);
  Arrival wild = h.Come(1);
  wild.expected_work_ms = 1e9;
  h.Play({wild});
  h.Arrive(2);
  EXPECT_EQ(h.refusals[1] + h.refusals[2], 0);
}

TEST(StartPath, RefusalsSayNoServerHelpsOnlyWhereManyTriesAreRetries) {
  for (const bool retries : {false, true}) {
    Host h;
    h.Fill();
    h.Gate(true);
    bool last = false;
    for (RequestId id = 1; id <= 400; ++id) {
      Arrival a = h.Come(id);
      a.is_retry = retries && id % 2 == 0;
      for (const Action& action : h.Play({a})) {
        const auto* no = std::get_if<Reject>(&action);
        if (no != nullptr && no->id == id && !a.is_retry) last = no->no_other_server;
      }
    }
    EXPECT_EQ(last, retries);
  }
}

// Two that share the servers, and what is over a share is worth little.
Settings TwoTenants() {
  Settings s = Site();
  s.tenants = {{"large", 0.5, 100}, {"small", 0.5, 100}};
  s.fleet_size = 300;
  s.over_quota_weight_fraction = 0.05;
  return s;
}

// The class of the least worth must not bear all of a loss where the operator's goal counts the worst class.
// On one server of a large fleet a small tenant has a request in seconds: its own tries must not fill that.
TEST(Tenants, OneThatSendsLessThanItsPartIsNotOverItsShare) {
  Settings s = TwoTenants();
  Host h(s);
  h.runnable = 4;
  const auto come = [&](RequestId id, int tenant) {
    Arrival a = h.Come(id);
    a.tenant = tenant;
    h.Play({a});
  };
  RequestId id = 10;
  for (int i = 0; i < 100; ++i) {
    come(++id, i % 4 == 0 ? 1 : 0);
    h.Finish(id);
    h.PassTo(h.now + 100);
  }
  h.Fill();
  come(1, 0);
  come(2, 1);
  come(3, 1);
  h.Finish(1000);
  h.Finish(1001);
  EXPECT_EQ(h.starts[2] + h.starts[3], 2);
  EXPECT_EQ(h.starts[1], 0);
}

// What is over the share is worth little: run whenever nothing else was held, it took a third of all runs.
TEST(Tenants, OverTheShareIsNotRunUnderTheGate) {
  Settings s = TwoTenants();
  Host h(s);
  h.Gate(true);
  for (RequestId id = 10; id < 80; ++id) {
    h.Arrive(id);
    h.Finish(id);
  }
  h.Arrive(1);
  EXPECT_EQ(h.starts[1], 0);
  EXPECT_EQ(h.refusals[1], 1);
  h.Gate(false);
  h.Arrive(2);
  EXPECT_EQ(h.starts[2], 1);
}

// A tenant beyond its share is so at every server: tries elsewhere took half the cores of a full-size fleet.
// The signal tells gateways to keep away by rank, whoever the tenant is: it must not rise by what one of them
// sends above its share, or the others bear it.
TEST(Tenants, WhatIsRefusedAboveAShareHardlyMovesTheSignal) {
  const auto signal_of = [](double quota) {
    Settings s = Site();
    s.load_signal = LoadSignalKind::kThreshold;
    s.load_signal_lifetime_ms = 1000;
    s.tenants = {{"a", 0.5, quota}, {"b", 0.5, quota}};
    s.over_quota_weight_fraction = 0.05;
    Host host(s);
    for (RequestId id = 1; id <= 600; ++id) {
      host.busy = 1;
      host.runnable = 4;
      host.PassTo(host.now + 10);
      Arrival a = host.Come(id);
      a.tenant = 0;
      host.Play({a});
    }
    EXPECT_GT(host.refusals.size(), 100u);
    return host.announced;
  };
  const double inside = signal_of(1e6), above = signal_of(0.001);
  EXPECT_GT(inside, 0.3);
  EXPECT_LT(above, 0.1);
}

// A gateway that is told to stay away does so with the requests of all its tenants: with three servers that
// each refused what one tenant sent above its share, a tenth of what the others sent found no server at all.
TEST(Tenants, RefusalOverTheShareDoesNotKeepTheGatewayAway) {
  const auto longest_advice = [](double quota) {
    Settings s = TwoTenants();
    s.tenants = {{"a", 0.5, quota}, {"b", 0.5, quota}};
    Host h(s);
    h.runnable = 4;
    h.Fill();
    double longest = 0;
    for (RequestId id = 10; id < 80; ++id) {
      for (const Action& a : h.Play({h.Come(id)})) {
        const auto* no = std::get_if<Reject>(&a);
        if (no == nullptr || id < 40) continue;  // The first are within what chance may do.
        EXPECT_GT(no->retry_after_ms, 0);
        longest = std::max(longest, no->retry_after_ms);
      }
    }
    return longest;
  };
  EXPECT_GT(longest_advice(1e6), 50);
  EXPECT_LE(longest_advice(0.001), 1);
}

TEST(Tenants, RefusalOverTheShareSaysThatNoServerHelps) {
  Settings s = TwoTenants();
  Host h(s);
  h.runnable = 4;
  h.Fill();
  int told = 0, refused = 0;
  for (RequestId id = 10; id < 80; ++id) {
    for (const Action& a : h.Play({h.Come(id)})) {
      if (const auto* no = std::get_if<Reject>(&a)) {
        ++refused;
        told += no->no_other_server;
      }
    }
  }
  EXPECT_GE(refused, 50);
  EXPECT_GE(told, refused - 20);
}

TEST(StartPath, TheWorstServedClassIsNotStarved) {
  for (const double weight : {0.0, 0.5}) {
    Settings s = Site();
    s.goal_weight_worst_class = weight;
    s.classes[kFind].priority_weight = 3;
    Host h(s);
    h.runnable = 4;
    int reads = 0;
    RequestId id = 1;
    std::vector<RequestId> running;
    for (int i = 0; i < 300; ++i) {
      for (const Class c : {kRead, kFind, kFind}) {
        const RequestId now_id = id++;
        for (const Action& action : h.Play({h.Come(now_id, c)})) {
          if (const auto* a = std::get_if<Start>(&action)) running.push_back(a->id);
        }
      }
      h.PassTo(h.now + 100);
      for (RequestId done : std::exchange(running, {})) {
        for (const Action& action : h.Play({Finished{done, Outcome::kOk, 150}})) {
          if (const auto* a = std::get_if<Start>(&action)) running.push_back(a->id);
        }
      }
    }
    for (const auto& [started, n] : h.starts) reads += started % 3 == 1 ? n : 0;
    if (weight == 0) {
      EXPECT_LT(reads, 60);
    } else {
      EXPECT_GT(reads, 90);
    }
  }
}

// Two runs of twice the usual length side by side are ordinary on two cores: no stall.
TEST(StartPath, TwoLongRunsOnTwoCoresAreNoStall) {
  Host h;
  h.runnable = 4;
  for (RequestId id = 10; id < 110; ++id) {
    h.Arrive(id);
    h.Finish(id);
    h.Arrive(id + 1000, kFind);
    h.Finish(id + 1000);
  }
  h.Fill();
  h.PassTo(h.now + 290);
  h.Arrive(1);
  EXPECT_TRUE(h.healthy);
  EXPECT_EQ(h.refusals[1], 0);
}

// A wait told as a day does not keep a request in the hold past its class's deadline.
TEST(StartPath, AWildWaitIsCutToTheDeadline) {
  Settings s = Site();
  s.callers_send_remaining_wait = true;
  Host h(s);
  h.runnable = 4;
  h.Fill();
  Arrival wild = h.Come(1);
  wild.remaining_wait_ms = 86'400'000;
  h.Play({wild});
  EXPECT_EQ(h.refusals[1], 0);
  h.PassTo(h.now + 4000);
  EXPECT_EQ(h.refusals[1], 1);
}

// Where runs are short, a link to the workers that breaks stops them for many times their length: no stall.
TEST(StartPath, ABrokenLinkUnderShortRunsIsNoStall) {
  Settings s = Site();
  s.classes.resize(1);
  Host h(s);
  h.runnable = 4;
  for (RequestId id = 10; id < 60; ++id) {
    h.Arrive(id);
    h.Finish(id, Outcome::kOk, 5);
  }
  h.Fill();
  h.PassTo(h.now + 90);
  EXPECT_TRUE(h.healthy);
  h.Arrive(1);
  EXPECT_EQ(h.refusals[1], 0);
  h.PassTo(h.now + 60);
  EXPECT_FALSE(h.healthy);
}

// The first to finish are the short ones: called by them, a third of a full fleet stalled in ten seconds.
TEST(StartPath, FirstShortRunsAreNoMeasureOfAStall) {
  Host h;
  h.runnable = 4;
  for (RequestId id = 10; id < 20; ++id) {
    h.Arrive(id);
    h.Finish(id, Outcome::kOk, 30);
  }
  h.Fill();
  h.PassTo(h.now + 700);
  EXPECT_TRUE(h.healthy);
}

// A machine whose work stands still while requests are read must let them go to others, and say so.
TEST(StartPath, StalledWorkRefusesAndTurnsUnhealthyUntilARunMovesOn) {
  Host h;
  h.runnable = 4;
  for (RequestId id = 10; id < 60; ++id) {
    h.Arrive(id);
    h.Finish(id);
  }
  h.Fill();
  h.Arrive(1);
  EXPECT_EQ(h.refusals[1], 0);
  h.PassTo(h.now + 900);
  EXPECT_EQ(h.refusals[1], 1);
  EXPECT_FALSE(h.healthy);
  h.Arrive(2);
  EXPECT_EQ(h.refusals[2], 1);
  h.Finish(1000);
  EXPECT_TRUE(h.healthy);
  h.Arrive(3);
  EXPECT_EQ(h.starts[3], 1);
}

// With a thousand callers one request each is a thousand out at two cores: the window may be a fraction.
TEST(Signal, TheWindowOfManyCallersIsLessThanOneRequest) {
  Settings s = Site();
  s.load_signal = LoadSignalKind::kWindow;
  s.load_signal_lifetime_ms = 1000;
  s.callers = 1000;
  ServerPolicy policy(s, 1);
  std::vector<Event> events;
  double value = -1;
  std::uint32_t token = 0;
  for (int at = 0; at <= 2000; at += 100) {
    for (const Action& a : policy.Step(at, events)) {
      if (const auto* say = std::get_if<PublishLoadSignal>(&a)) value = say->value;
      if (const auto* timer = std::get_if<SetTimer>(&a)) token = timer->token;
    }
    events = {TimerFired{token, {0.5, 1}}};
  }
  EXPECT_GT(value, 0);
  EXPECT_LT(value, 0.1);
}

// What has been given up is answered at once, not when its queue's turn comes or near its due time.
TEST(StartPath, HopelessRequestsOfEveryQueueAreRefusedAtOnce) {
  Settings s = Site();
  s.cores = 1;
  Host h(s);
  h.runnable = 4;
  h.Arrive(1000);
  Arrival first = h.Come(1);
  Arrival other = h.Come(2, kFind);
  h.Play({first, other});
  EXPECT_EQ(h.refusals[1] + h.refusals[2], 0);
  h.Gate(true);
  h.PassTo(h.now + 50);
  EXPECT_EQ(h.starts[1] + h.starts[2], 0);
  EXPECT_EQ(h.refusals[1], 1);
  EXPECT_EQ(h.refusals[2], 1);
}

// A tenant's surplus waits behind; under the gate it was held until near its deadline by those before it.
TEST(StartPath, SurplusHeldBehindOthersIsRefusedWhenTheGateGoesOn) {
  Settings s = TwoTenants();
  s.classes[kRead].latency_objective_ms = 3900;
  Host h(s);
  h.runnable = 4;
  for (RequestId id = 10; id < 32; ++id) {
    h.Arrive(id);
    h.Finish(id);
  }
  h.Fill();
  h.Arrive(1);
  Arrival small = h.Come(2);
  small.tenant = 1;
  h.Play({small});
  h.Gate(true);
  EXPECT_EQ(h.refusals[2], 0);
  EXPECT_EQ(h.refusals[1], 1);
}

// A further try has waited elsewhere: taken for a fresh one it would be run for an aim that has passed.
TEST(StartPath, WhatACallerStillWaitsTellsAnOldTryFromAFreshOne) {
  Settings s = Site();
  s.callers_send_remaining_wait = true;
  Host h(s);
  h.runnable = 4;
  const auto come = [&](RequestId id, double budget) {
    Arrival a = h.Come(id);
    a.remaining_wait_ms = budget;
    h.Play({a});
  };
  for (RequestId id = 10; id < 110; ++id) {
    come(id, id % 2 == 0 ? 4000 : 1600);  // Some callers wait to the end, some 0.4 of it at each try.
    h.Finish(id);
  }
  h.Fill();
  come(1, 2500);  // Its first try was 1,500 ms ago.
  come(2, 1600);
  h.Finish(1000);
  EXPECT_EQ(h.starts[1], 0);
  EXPECT_EQ(h.starts[2], 1);
}

// Runs whose answer was given at the due time took a tenth of the cores in a storm of tries.
TEST(Stops, ARunIsStoppedWhenItsAnswerIsGivenOrItsCallerLeaves) {
  for (const bool can : {false, true}) {
    Settings s = Site();
    s.can_cancel_runs = can;
    Host h(s);
    h.Arrive(1);
    h.Arrive(2, kOnce);
    h.Play({CallerDisconnected{1}, CallerDisconnected{2}});
    EXPECT_EQ(h.stops[1], can ? 1 : 0);
    EXPECT_EQ(h.stops[2], 0);  // What has an effect is not cut in two.
    h.Finish(1, Outcome::kCancelled);
    h.Arrive(3);
    EXPECT_EQ(h.starts[3], 1);
    h.PassTo(h.now + 4100);
    EXPECT_EQ(h.fails[3], 1);
    EXPECT_EQ(h.stops[3], can ? 1 : 0);
  }
}

// A stop is a wish: the run stays on the books until it is confirmed, once, however often or late that comes.
TEST(Stops, AStopConfirmedLateTwiceOrNeverLeavesTheBooksRight) {
  Settings s = Site();
  s.can_cancel_runs = true;
  Host h(s);
  h.runnable = 4;
  h.Fill();
  h.Play({CallerDisconnected{1000}});
  h.Arrive(1);
  EXPECT_EQ(h.starts[1], 0);
  h.Finish(1000, Outcome::kCancelled);
  EXPECT_EQ(h.starts[1], 1);
  h.Finish(1000, Outcome::kCancelled);
  h.Arrive(2);
  EXPECT_EQ(h.starts[2], 0);
  h.Play({CallerDisconnected{1}});  // Never confirmed: it ends by its own finish.
  h.Finish(1);
  EXPECT_EQ(h.starts[2], 1);
  EXPECT_EQ(h.refusals.size(), 0u);
}

// ---- Reads of one subject ----

Settings FreshSite() {
  Settings s = Site();
  s.read_cache_ttl_ms = 600;
  return s;
}

Arrival ReadOf(const Host& h, RequestId id, RequestId original) {
  Arrival a = h.Come(id, kRead, original);
  a.subject = 77;
  return a;
}

// Without it each read of a hot subject costs a whole run, and its one server refuses most of them.
TEST(SharedReads, FollowTheOneThatRunsAndAreAnsweredFromIt) {
  Host h(FreshSite());
  h.Play({ReadOf(h, 1, 0)});
  h.Play({ReadOf(h, 2, 1), ReadOf(h, 3, 1)});
  EXPECT_EQ(h.replays[2] + h.starts[2], 0);
  EXPECT_EQ(h.kept.count(1), 1u);
  h.Finish(1);
  EXPECT_EQ(h.replays[2], 1);
  EXPECT_EQ(h.replays[3], 1);
  h.Play({ReadOf(h, 4, 1)});
  EXPECT_EQ(h.replays[4], 1);
  EXPECT_EQ(h.starts[4], 0);
}

TEST(SharedReads, OneThatFailsFailsNobodyElse) {
  Host h(FreshSite());
  h.Play({ReadOf(h, 1, 0)});
  h.Play({ReadOf(h, 2, 1), ReadOf(h, 3, 1)});
  h.Finish(1, Outcome::kError);
  EXPECT_EQ(h.starts[2], 1);
  EXPECT_EQ(h.starts[3] + h.replays[3], 0);
  h.Finish(2);
  EXPECT_EQ(h.replays[3], 1);
}

TEST(SharedReads, OneRefusedBeforeItRanIsFollowedByTheNext) {
  Host h(FreshSite());
  h.runnable = 4;
  h.Fill();
  h.Play({ReadOf(h, 1, 0)});
  h.Play({ReadOf(h, 2, 1)});
  h.Play({CallerDisconnected{1}});
  h.Finish(1000);
  EXPECT_EQ(h.starts[2], 1);
}

TEST(SharedReads, EntryIsGivenUpWhenTheAnswerIsNoLongerFresh) {
  Host h(FreshSite());
  h.Play({ReadOf(h, 1, 0)});
  h.Finish(1);
  h.PassTo(h.now + 500);
  EXPECT_EQ(h.kept.count(1), 1u);
  h.PassTo(h.now + 200);
  EXPECT_EQ(h.kept.count(1), 0u);
  h.Play({ReadOf(h, 2, 0)});
  EXPECT_EQ(h.starts[2], 1);
}

TEST(SharedReads, WritesSubjectlessReadsAndUnknownForerunnersRunThemselves) {
  Host h(FreshSite());
  Arrival write = ReadOf(h, 1, 0);
  write.is_write = true;
  h.Play({write, h.Come(2)});
  EXPECT_EQ(h.starts[1], 1);
  EXPECT_EQ(h.starts[2], 1);
  EXPECT_TRUE(h.kept.empty());
  h.Finish(1);
  h.Finish(2);
  h.Play({ReadOf(h, 3, 999)});
  EXPECT_EQ(h.starts[3], 1);
}

// Followers stand outside the hold mark; a subject on all requests must not fill the memory with them.
TEST(SharedReads, AHotSubjectDoesNotFillTheMemory) {
  Host h(FreshSite());
  h.runnable = 4;
  h.Fill();
  h.Play({ReadOf(h, 1, 0)});
  for (RequestId id = 2; id < 900; ++id) h.Play({ReadOf(h, id, 1)});
  EXPECT_GT(h.refusals.size(), 500u);
  h.PassTo(h.now + 4000);
  for (RequestId id = 1; id < 900; ++id) {
    EXPECT_EQ(h.starts[id] + h.refusals[id] + h.fails[id] + h.replays[id], 1) << id;
  }
}

// ---- Rule 1: answers by the due time ----

TEST(Ledger, HeldIsRefusedBeforeDue) {
  Host h;
  h.runnable = 4;
  h.Fill();
  h.Arrive(1);
  h.PassTo(h.now + 3999);
  EXPECT_EQ(h.refusals[1], 1);
}

TEST(Ledger, RunningIsFailedOnceBeforeDueAndNotRefused) {
  Host h;
  h.Arrive(1);
  h.PassTo(h.now + 3999);
  EXPECT_EQ(h.fails[1], 1);
  EXPECT_EQ(h.refusals[1], 0);
  h.PassTo(h.now + 4000);
  EXPECT_EQ(h.fails[1], 1);
}

TEST(Ledger, ReadingLatenessCounts) {
  Host h;
  Arrival a = h.Come(1);
  a.read_delay_ms = 3000;
  h.Play({a});
  h.PassTo(h.now + 999);
  EXPECT_EQ(h.fails[1], 1);
}

TEST(Ledger, FollowerAndReplayAreFailedBeforeDue) {
  Host h;
  h.Arrive(1, kPay);
  h.Arrive(2, kPay, 1);
  EXPECT_EQ(h.replays[2], 1);
  h.PassTo(h.now + 3999);
  EXPECT_EQ(h.fails[2], 1);
}

TEST(Ledger, NothingIsSaidOfWhatIsOver) {
  Host h;
  h.Arrive(1);
  h.Finish(1);
  h.Finish(1);
  h.Play({CallerDisconnected{1}, UpstreamCallRequested{1}, UpstreamCallFinished{1, Outcome::kOk, 5},
          Finished{99, Outcome::kOk, 1}});
  h.PassTo(h.now + 5000);
  EXPECT_EQ(h.fails[1] + h.refusals[1] + h.calls[1] + h.poorer[1], 0);
}

TEST(Ledger, TimeGoingBackIsTakenAsStandingStill) {
  Host h;
  h.Arrive(1);
  h.now -= 1000;
  h.Arrive(2);
  h.Arrive(2);
  h.now += 1000;
  EXPECT_EQ(h.starts[2], 1);
  h.PassTo(h.now + 3999);
  EXPECT_EQ(h.fails[1], 1);
  EXPECT_EQ(h.fails[2], 1);
}

// ---- Rule 2: effects ----

TEST(Effects, KeyIsKeptFromReadingForTheWholeWindow) {
  Host h;
  h.Fill();
  h.Arrive(1, kPay);
  ASSERT_EQ(h.kept.count(1), 1u);
  EXPECT_GE(h.kept[1], h.now + 10000);
}

TEST(Effects, TwoTriesOfOneBatchRunOnce) {
  Host h;
  h.Play({h.Come(1, kPay, 2), h.Come(2, kPay, 1)});
  EXPECT_EQ(h.starts[1] + h.starts[2], 1);
  EXPECT_EQ(h.replays[1] + h.replays[2], 1);
  EXPECT_EQ(h.refusals[1] + h.refusals[2], 0);
}

TEST(Effects, RepeatOfAHeldTryWaitsAndThenReplays) {
  Host h;
  h.Fill();
  h.Arrive(1, kPay);
  h.Arrive(2, kPay, 1);
  EXPECT_EQ(h.replays[2], 0);
  h.Finish(1000);
  EXPECT_EQ(h.starts[1], 1);
  EXPECT_EQ(h.replays[2], 1);
  EXPECT_EQ(h.starts[2], 0);
}

TEST(Effects, RepeatTakesThePlaceOfAHeldTryWhoseCallerLeft) {
  Host h;
  h.Fill();
  h.Arrive(1, kPay);
  h.Arrive(2, kPay, 1);
  h.Play({CallerDisconnected{1}});
  EXPECT_EQ(h.kept.count(1), 0u);
  EXPECT_EQ(h.kept.count(2), 1u);
  h.Finish(1000);
  EXPECT_EQ(h.starts[1], 0);
  EXPECT_EQ(h.starts[2], 1);
}

TEST(Effects, RepeatOfAFinishedOrFailedTryReplays) {
  Host h;
  h.Arrive(1, kPay);
  h.Finish(1, Outcome::kError);
  h.Arrive(2, kPay, 1);
  EXPECT_EQ(h.starts[2], 0);
  EXPECT_EQ(h.replays[2], 1);
  EXPECT_EQ(h.refusals[2], 0);
}

TEST(Effects, RepeatOfARefusedTryMayRun) {
  Settings s = Site();
  s.memory_kb = 1000;
  Host h(s);
  h.Fill();
  RequestId id = 1;
  while (h.refusals.empty()) h.Arrive(id++, kPay);
  const RequestId refused = h.refusals.begin()->first;
  EXPECT_EQ(h.kept.count(refused), 0u);
  h.PassTo(h.now + 6000);
  h.Finish(1000);
  h.Finish(1001);
  h.Arrive(500, kPay);
  EXPECT_EQ(h.starts[500], 1);
}

TEST(Effects, BothTriesOfOneBatchMayBeRefusedAndALaterOneRuns) {
  Settings s = Site();
  s.idempotency_key_kb = 6000;  // No key fits.
  Host h(s);
  h.Play({h.Come(1, kPay, 2), h.Come(2, kPay, 1)});
  EXPECT_EQ(h.refusals[1], 1);
  EXPECT_EQ(h.refusals[2], 1);
  EXPECT_EQ(h.starts[1] + h.starts[2], 0);
}

TEST(Effects, FullTableRefusesNewKeysAndKeepsOldOnes) {
  Settings s = Site();
  s.idempotency_key_kb = 2000;
  Host h(s);
  for (RequestId id = 1; id <= 5; ++id) {
    h.Arrive(id, kPay);
    h.Finish(id);
  }
  EXPECT_EQ(h.starts[1], 1);
  EXPECT_EQ(h.refusals[5], 1);
  EXPECT_EQ(h.kept.count(1), 1u);
  h.Arrive(6, kPay, 1);
  EXPECT_EQ(h.replays[6], 1);
  h.PassTo(h.now + 10100);  // The entries have run out.
  h.Arrive(7, kPay);
  EXPECT_EQ(h.starts[7], 1);
}

TEST(Effects, UnknownForerunnerIsNeverRunAgain) {
  Host h;
  h.Arrive(2, kPay, 1);
  EXPECT_EQ(h.starts[2], 0);
  EXPECT_EQ(h.replays[2], 1);
}

TEST(Effects, UnsafeRequestThatRanIsFailedNotRefused) {
  Host h;
  h.Arrive(1, kOnce);
  h.PassTo(h.now + 4100);
  EXPECT_EQ(h.starts[1], 1);
  EXPECT_EQ(h.refusals[1], 0);
  EXPECT_EQ(h.fails[1], 1);
}

// ---- Calls below ----

TEST(Calls, KeyedCallIsRepeatedOnlyWhereProvenNotToHaveRun) {
  for (const Class c : {kPay, kOnce}) {
    for (const Outcome o : {Outcome::kError, Outcome::kTimeout, Outcome::kReset}) {
      Host h;
      h.Arrive(1, c);
      h.Play({UpstreamCallRequested{1}});
      ASSERT_EQ(h.calls[1], 1);
      h.Play({UpstreamCallFinished{1, o, 50}});
      EXPECT_EQ(h.calls[1], 1);
      EXPECT_EQ(h.fails[1], 1);
      EXPECT_EQ(h.refusals[1], 0);
    }
    Host h;
    h.Arrive(1, c);
    h.Play({UpstreamCallRequested{1}});
    h.Play({UpstreamCallFinished{1, Outcome::kConnectFailed, 1}});
    h.PassTo(h.now + 1000);
    EXPECT_GE(h.calls[1], 2);
    EXPECT_EQ(h.refusals[1], 0);
  }
}

TEST(Calls, CapIsKeptAndCountsCallsWhoseCallerLeft) {
  Settings s = Site();
  s.cores = 20;
  s.memory_kb = 1e6;
  Host h(s);
  for (RequestId id = 1; id <= 12; ++id) {
    h.Arrive(id, kPay);
    h.Play({UpstreamCallRequested{id}});
  }
  const auto out = [&h] {
    int n = 0;
    for (const auto& [id, c] : h.calls) n += c;
    return n;
  };
  const int before = out();
  EXPECT_GE(before, 1);
  EXPECT_LE(before, 4);
  // The call goes on though its caller left: no place is free until its result.
  h.Play({CallerDisconnected{1}});
  h.PassTo(h.now + 300);
  EXPECT_EQ(out(), before);
  h.Play({UpstreamCallFinished{1, Outcome::kOk, 400}});
  EXPECT_EQ(out(), before + 1);
}

TEST(Calls, ACallGivenUpLingers) {
  Settings s = Site();
  s.upstream_call_quota = 1.5;
  Host h(s);
  h.Arrive(1, kPay);
  h.Arrive(2, kPay);
  h.Play({UpstreamCallRequested{1}, UpstreamCallRequested{2}});
  EXPECT_EQ(h.calls[1] + h.calls[2], 1);
  const RequestId first = h.calls[1] == 1 ? 1 : 2;
  h.Play({UpstreamCallFinished{first, Outcome::kTimeout, 50}});
  EXPECT_EQ(h.calls[1] + h.calls[2], 1);
  h.PassTo(h.now + 300);
  EXPECT_EQ(h.calls[1] + h.calls[2], 2);
}

// A dependency that turns calls away does so for a while: a call made again at once burned all its tries
// within a round trip, and a request that only it could serve failed.
TEST(Calls, ACallTurnedAwayIsMadeAgainLaterNotAtOnce) {
  Settings s = Site();
  s.upstream_call_quota = 1.5;  // One place.
  Host h(s);
  h.Arrive(1, kPay);
  h.Play({UpstreamCallRequested{1}});
  for (int tries = 1; tries <= 8; ++tries) {
    ASSERT_EQ(h.calls[1], tries);
    h.Play({UpstreamCallFinished{1, Outcome::kFull, 1}});
    h.PassTo(h.now + s.abandoned_call_ms / 2);
    ASSERT_EQ(h.calls[1], tries);
    h.PassTo(h.now + s.abandoned_call_ms);
  }
  EXPECT_EQ(h.fails[1], 0);
}

// Chance alone must not look like a crowd: lengths of calls spread widely, and the quickest mean of a few is
// far below the true one.
TEST(Calls, CallsOfTheSameKindKeepTheirShareWhateverChanceDoes) {
  Settings s = Site();
  s.upstream_call_quota = 20;
  s.cores = 1000;
  s.memory_kb = 1e6;
  Host h(s);
  constexpr RequestId kAll = 900;
  for (RequestId id = 1; id <= kAll; ++id) h.Arrive(id, kPay);
  for (RequestId id = 1; id <= kAll; ++id) h.Play({UpstreamCallRequested{id}});
  std::mt19937_64 draw(5);
  std::lognormal_distribution<double> length(std::log(30.0), 0.8);
  std::set<RequestId> done;
  double in_hand = 0;
  for (int i = 0; i < 800; ++i) {
    const auto next = std::find_if(h.calls.begin(), h.calls.end(), [&done](const auto& c) {
      return c.second == 1 && done.count(c.first) == 0;
    });
    ASSERT_NE(next, h.calls.end());
    done.insert(next->first);
    h.Play({UpstreamCallFinished{next->first, Outcome::kOk, length(draw)}});
    if (i >= 200) in_hand += static_cast<double>(h.calls.size() - done.size()) / 600;
  }
  EXPECT_GT(in_hand, 11);  // Of 20; 14 is the most that is ever taken.
}

// A slow dependency must see fewer calls at once, not the same number for longer.
TEST(Calls, FewerCallsInHandWhileTheyTakeLonger) {
  Settings s = Site();
  s.upstream_call_quota = 20;
  s.cores = 1000;
  s.memory_kb = 1e6;
  Host h(s);
  constexpr RequestId kAll = 400;
  for (RequestId id = 1; id <= kAll; ++id) h.Arrive(id, kPay);
  for (RequestId id = 1; id <= kAll; ++id) h.Play({UpstreamCallRequested{id}});
  std::set<RequestId> done;
  const auto in_hand = [&h, &done] { return h.calls.size() - done.size(); };
  const auto end_calls = [&](int count, double took) {
    for (const auto& [id, n] : std::map<RequestId, int>(h.calls)) {
      if (n == 1 && count > 0 && done.insert(id).second) {
        h.Play({UpstreamCallFinished{id, Outcome::kOk, took}});
        --count;
      }
    }
  };
  for (int i = 0; i < 20; ++i) end_calls(5, 50);
  const std::size_t quick = in_hand();
  for (int i = 0; i < 20; ++i) end_calls(5, 400);
  EXPECT_GE(quick, 12u);
  EXPECT_LE(in_hand(), 7u);
  EXPECT_GE(in_hand(), 1u);
}

TEST(Calls, ShareUnderOneCallIsKeptAsAMean) {
  Settings s = Site();
  s.upstream_call_quota = 0.5;
  s.cores = 20;
  s.memory_kb = 1e6;
  Host h(s);
  double in_hand_ms = 0;
  RequestId out = 0;
  const double began = h.now;
  for (RequestId id = 1; id <= 400; ++id) {
    h.Arrive(id, kPay);
    h.Play({UpstreamCallRequested{id}});
    for (RequestId i = 1; i <= id && out == 0; ++i) {
      if (h.calls[i] == 1) {
        out = i;
        h.calls[i] = 2;
      }
    }
    h.PassTo(h.now + 50);
    if (out != 0) {
      in_hand_ms += 50;
      h.Play({UpstreamCallFinished{out, Outcome::kOk, 50}});
      out = 0;
    }
  }
  EXPECT_GT(in_hand_ms, 0);
  EXPECT_LE(in_hand_ms / (h.now - began), 0.5);
}

// Many servers with less than one call each, and a dependency that answers nothing: together they must stay
// under the sum of their shares over the told span, from the first second on.
TEST(Calls, FleetWithSharesUnderOneDoesNotCrowdAHungDependency) {
  constexpr int kServers = 60;
  Settings s = Site();
  s.upstream_call_quota = 0.3;
  s.memory_kb = 1e6;
  double spent_ms = 0;
  for (int server = 0; server < kServers; ++server) {
    Host h(s, 100 + server);
    std::map<RequestId, double> ends;  // Calls out, until they are given up.
    const double began = h.now;
    for (RequestId id = 1; h.now < began + s.upstream_call_quota_window_ms; ++id) {
      h.Arrive(id, kPay);
      const auto see = [&](const std::vector<Action>& actions) {
        for (const Action& a : actions) {
          if (const auto* call = std::get_if<StartUpstreamCall>(&a)) {
            const double until = h.now + call->timeout_ms;
            ends[call->id] = until;
            spent_ms +=
                std::min(until + s.abandoned_call_ms, began + s.upstream_call_quota_window_ms) - h.now;
          }
        }
      };
      if (h.starts[id] == 1) see(h.Play({UpstreamCallRequested{id}}));
      h.PassTo(h.now + 50);
      for (auto it = ends.begin(); it != ends.end();) {
        const auto [call, until] = *it;
        if (until > h.now) {
          ++it;
          continue;
        }
        it = ends.erase(it);
        see(h.Play({UpstreamCallFinished{call, Outcome::kTimeout, 1000}}));
        h.Finish(call);
      }
    }
  }
  EXPECT_GT(spent_ms, 0);
  EXPECT_LT(spent_ms / s.upstream_call_quota_window_ms, kServers * s.upstream_call_quota);
}

TEST(Calls, PoorerAnswerLeavesTheCallsToThoseThatGainMost) {
  Settings s = Site();
  s.upstream_call_quota = 1;
  s.cores = 8;
  s.memory_kb = 1e6;
  Host h(s);
  for (RequestId id = 1; id <= 2; ++id) {
    h.Arrive(id, kFind);
    h.Play({UpstreamCallRequested{id}});
  }
  h.Arrive(3, kPay);
  h.Play({UpstreamCallRequested{3}});
  // One call out, one find and one pay in line: a line too long, and the find gives way.
  EXPECT_EQ(h.calls[1], 1);
  EXPECT_EQ(h.poorer[2], 1);
  EXPECT_EQ(h.poorer[3] + h.fails[3], 0);
}

TEST(Calls, PoorerAnswerWhereWorthIsLeft) {
  Host h;
  h.Arrive(1, kFind);
  h.Play({UpstreamCallRequested{1}});
  h.Play({UpstreamCallFinished{1, Outcome::kTimeout, 500}});
  EXPECT_EQ(h.poorer[1], 1);
  EXPECT_EQ(h.fails[1], 0);
}

TEST(Calls, WithoutADependencyTheRunStillGetsItsWord) {
  Settings s = Site();
  s.has_upstream = false;
  s.upstream_call_quota = 0;
  Host h(s);
  h.Arrive(1, kPay);
  h.Play({UpstreamCallRequested{1}});
  EXPECT_EQ(h.calls[1], 1);
}

// ---- Rule 3: drain ----

TEST(Drain, HealthGoesBadAndLateArrivalsAreNotRun) {
  Host h;
  h.Play({DrainNotice{3000}});
  EXPECT_FALSE(h.healthy);
  h.Arrive(1);
  EXPECT_EQ(h.starts[1], 1);
  h.Finish(1);
  h.PassTo(h.now + 501);
  h.Arrive(2);
  EXPECT_EQ(h.starts[2], 0);
  EXPECT_EQ(h.refusals[2], 1);
}

TEST(Drain, ArrivalWithinTheGraceThatWasReadLateMayRun) {
  Host h;
  h.Play({DrainNotice{3000}});
  h.PassTo(h.now + 600);
  Arrival a = h.Come(1);
  a.read_delay_ms = 200;
  h.Play({a});
  EXPECT_EQ(h.starts[1], 1);
}

TEST(Drain, AllIsAnsweredBeforeTheKill) {
  Host h;
  h.Fill();
  h.Arrive(1);
  h.Arrive(2, kPay);
  h.Play({DrainNotice{1500}});
  h.PassTo(h.now + 1499);
  EXPECT_EQ(h.fails[1000] + h.fails[1001], 2);
  EXPECT_EQ(h.refusals[1] + h.fails[1], 1);
  EXPECT_EQ(h.refusals[2] + h.fails[2], 1);
}

TEST(Drain, LateRepeatOfAnEffectThatRanIsReplayedNotRefused) {
  Host h;
  h.Arrive(1, kPay);
  h.Finish(1);
  h.Play({DrainNotice{3000}});
  h.PassTo(h.now + 600);
  h.Arrive(2, kPay, 1);
  EXPECT_EQ(h.replays[2], 1);
  EXPECT_EQ(h.refusals[2] + h.starts[2], 0);
}

// Rule 3: one that came past the grace may follow, but must not take the place of the one it follows.
TEST(Drain, AFollowerThatCamePastTheGraceIsNotRunInPlaceOfAFailedRead) {
  Settings s = Site();
  s.read_cache_ttl_ms = 600;
  Host h(s);
  Arrival first = h.Come(1);
  first.subject = 77;
  h.Play({first});
  h.Play({DrainNotice{5000}});
  h.PassTo(h.now + 600);
  Arrival late = h.Come(2, kRead, 1);
  late.subject = 77;
  h.Play({late});
  h.Finish(1, Outcome::kError);
  EXPECT_EQ(h.starts[2], 0);
  EXPECT_EQ(h.refusals[2], 1);
}

TEST(Drain, AKeyedRepeatThatCamePastTheGraceIsNotRunInPlaceOfOneThatLeft) {
  Host h;
  h.runnable = 4;
  h.Fill();
  h.Arrive(1, kPay);
  h.Play({DrainNotice{5000}});
  h.PassTo(h.now + 600);
  h.Arrive(2, kPay, 1);
  h.Play({CallerDisconnected{1}});
  h.Finish(1000);
  EXPECT_EQ(h.starts[2], 0);
  EXPECT_EQ(h.refusals[2], 1);
}

// ---- Settings and determinism ----

TEST(Settings, ContradictionsAreRefusedByName) {
  const auto fault = [](auto change) {
    Settings s = Site();
    change(s);
    EXPECT_THROW(ServerPolicy(s, 1), std::invalid_argument);
    return s.Validate();
  };
  EXPECT_NE(fault([](Settings& s) { s.cores = 0; }).find("cores"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.memory_kb = 0; }).find("memory_kb"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.warm_up_ms = -1; }).find("warm_up_ms"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.classes[0].deadline_ms = -1; }).find("classes[0].deadline_ms"),
            std::string::npos);
  EXPECT_EQ(Site().Validate(), "");
}

std::string Describe(const std::vector<Action>& actions) {
  std::string text;
  for (const Action& action : actions) {
    text += std::to_string(action.index());
    std::visit(
        [&text](const auto& a) {
          if constexpr (requires { a.id; }) text += ":" + std::to_string(a.id);
        },
        action);
    text += " ";
  }
  return text;
}

std::string PlayMixed(std::uint64_t seed) {
  Host h(Site(), seed);
  std::string text;
  for (RequestId id = 1; id < 200; ++id) {
    text += Describe(h.Play({h.Come(id, static_cast<Class>(id % 4))}));
    if (id % 3 == 0)
      text += Describe(h.Play({UpstreamCallRequested{id - 2}, Finished{id - 1, Outcome::kOk, 40}}));
    if (id % 7 == 0) text += Describe(h.Play({CallerDisconnected{id - 3}}));
    h.PassTo(h.now + 17);
  }
  return text;
}

TEST(Determinism, SameEventsGiveSameActions) { EXPECT_EQ(PlayMixed(3), PlayMixed(3)); }

TEST(Determinism, InstancesShareNothing) {
  const std::string alone = PlayMixed(3);
  Host other;
  for (RequestId id = 1; id < 50; ++id) other.Arrive(id);
  EXPECT_EQ(PlayMixed(3), alone);
}

// ---- Edges: settings at the end of their range; every request is answered once and nothing divides by
// nothing. ----

void PlayAtTheEdge(const Settings& s, double expected_work_ms) {
  Host h(s);
  std::set<RequestId> at_call;
  for (RequestId id = 1; id <= 400; ++id) {
    Arrival a = h.Come(id, static_cast<Class>(id % 4));
    a.expected_work_ms = expected_work_ms;
    a.tenant = id % 3;
    h.Play({a});
    h.busy = 1;
    h.runnable = 3;
    if (id > 3 && h.starts[id - 3] == 1) {
      if (s.classes[(id - 3) % 4].may_call_upstream) {
        h.Play({UpstreamCallRequested{id - 3}});
        if (h.calls[id - 3] == 1) at_call.insert(id - 3);
      }
      if (h.calls[id - 3] == h.poorer[id - 3]) h.Finish(id - 3);
    }
    h.PassTo(h.now + 30);
    if (id % 4 == 0) {
      for (RequestId call : std::exchange(at_call, {})) {
        h.Play({UpstreamCallFinished{call, Outcome::kOk, 50}});
        h.Finish(call);
      }
    }
  }
  h.PassTo(h.now + 20000);
  for (RequestId id = 1; id <= 400; ++id) {
    EXPECT_LE(h.starts[id], 1) << id;
    EXPECT_LE(h.refusals[id] + h.fails[id], 1) << id;
    EXPECT_GE(h.starts[id] + h.refusals[id] + h.fails[id], 1) << id;
    if (h.starts[id] == 1) {
      EXPECT_EQ(h.refusals[id], 0) << id;
    }
  }
  int starts = 0;
  for (const auto& [id, n] : h.starts) starts += n;
  EXPECT_GT(starts, 10);
}

TEST(Edges, OneCoreFleetOfOneNoGaugesNoTenants) {
  Settings s = Site();
  s.cores = 1;
  s.fleet_size = 1;
  s.callers = 1;
  s.gauges.clear();
  s.tenants.clear();
  s.caller_idle_timeout_ms = 30000;
  PlayAtTheEdge(s, 0);
}

TEST(Edges, NoCallShareWithADependency) {
  Settings s = Site();
  s.upstream_call_quota = 0;
  PlayAtTheEdge(s, 0);
  s.upstream_call_quota = 0.001;
  PlayAtTheEdge(s, 0);
}

TEST(Edges, HintsFarOffAndTenantsOfALargeFleet) {
  Settings s = Site();
  s.fleet_size = 1000;
  s.callers = 5000;
  s.over_quota_weight_fraction = 0.1;
  s.tenants = {{"a", 0.9, 900}, {"b", 0.1, 1}};
  for (const double hint : {0.0, 1e-9, 1.0, 1e12}) PlayAtTheEdge(s, hint);
}

// ---- New settings while requests are open ----

// Without it an open request turns into one of the class that has its place now.
TEST(Reconfigure, OpenRequestsKeepTheirClassAlsoADroppedOne) {
  Settings s = Site();
  s.can_cancel_runs = true;
  Host h(s);
  h.Arrive(1);
  h.Arrive(2);
  h.Arrive(3);
  Settings other = s;
  other.classes = {{.name = "store",
                    .latency_objective_ms = 1000,
                    .deadline_ms = 4000,
                    .idempotency = Idempotency::kNotIdempotent}};
  for (int round = 0; round < 3; ++round) h.Reconfigure(other);
  h.Play({CallerDisconnected{1}, CallerDisconnected{2}});
  EXPECT_EQ(h.stops[1], 1);  // Still a read, whose run may be stopped.
  h.Arrive(4);               // A store by now.
  h.Finish(1, Outcome::kCancelled);
  h.Finish(2, Outcome::kCancelled);
  EXPECT_EQ(h.starts[3] + h.starts[4], 2);
  h.Play({CallerDisconnected{4}});
  EXPECT_EQ(h.stops[4], 0);
  h.Arrive(5, kOnce);  // No such place any more.
  EXPECT_EQ(h.starts[5] + h.refusals[5], 0);
  h.Reconfigure(s);
  h.Finish(4);
  h.Finish(3);
  h.Arrive(6, kOnce);
  EXPECT_EQ(h.starts[6], 1);
}

// Without it each retune forgets how long runs take, and good requests are turned away.
TEST(Reconfigure, WhatWasLearnedStaysWithTheName) {
  const auto refused = [](const char* name) {
    Host h;
    for (RequestId id = 1; id <= 60; ++id) {
      h.Arrive(id);
      h.now += 20;
      h.Finish(id, Outcome::kOk, 20);
    }
    Settings s = Site();
    std::swap(s.classes.front(), s.classes.back());
    s.classes.back().name = name;
    h.Reconfigure(s);
    int count = 0;
    for (RequestId id = 100; id < 120; ++id) h.Arrive(id, kOnce);  // The place of the reads by now.
    for (const auto& [id, times] : h.refusals) count += times;
    return count;
  };
  EXPECT_EQ(refused("read"), 0);
  EXPECT_GT(refused("look"), 0);
}

TEST(Reconfigure, BadSettingsChangeNothing) {
  Host h;
  Settings s = Site();
  s.classes.resize(1);
  s.classes[0].deadline_ms = 0;
  EXPECT_THROW(h.Reconfigure(s), std::invalid_argument);
  h.Arrive(1, kOnce);
  EXPECT_EQ(h.starts[1], 1);
}

// Without it two processes that take over from each other each fill the cores and the memory.
TEST(OtherProcess, ItsRunsAndBytesCountInTheLimits) {
  Host h;
  h.Play({SiblingLoad{{.running = 2, .memory_kb = 0, .queued_work_ms = 0}}});
  h.Arrive(1);
  EXPECT_EQ(h.starts[1], 0);
  h.Play({SiblingLoad{{.running = 1, .memory_kb = 9990, .queued_work_ms = 0}}});
  EXPECT_EQ(h.starts[1], 0);
  h.Play({SiblingLoad{}});
  EXPECT_EQ(h.starts[1], 1);
}

// ---- What one life leaves to the next ----

TEST(Learned, WhatRunsTookIsToldAndGuessesAreNot) {
  Host host;
  EXPECT_TRUE(host.Tell().classes.empty());
  for (RequestId id = 1; id <= 40; ++id) {
    host.Arrive(id);
    host.now += 50;
    host.Finish(id, Outcome::kOk, 50);
  }
  const Learned learned = host.Tell();
  ASSERT_EQ(learned.classes.size(), 1u);
  EXPECT_EQ(learned.classes[0].name, "read");
  EXPECT_EQ(learned.classes[0].samples, 41);
  EXPECT_NEAR(learned.classes[0].run_ms, 50, 15);
  EXPECT_NEAR(learned.classes[0].core_time_ms, 50, 15);
}

TEST(Learned, ALifeThatRecallsJudgesByItFromTheFirstRequestOn) {
  // A run takes 900 of the 1,000 ms in which a read is worth its all.
  Learned before;
  before.classes = {{"read", 900, 900, 0, 12}};
  for (const bool recalls : {false, true}) {
    Host host(Site(), 7, recalls ? before : Learned{});
    host.Fill();
    host.Gate(true);
    host.Arrive(1);
    host.now += 400;
    host.Play({});
    // With 600 ms left it cannot be served in time: seen only by who knows how long it takes.
    EXPECT_EQ(host.refusals[1], recalls ? 1 : 0);
  }
}

TEST(Learned, FreshRunsOutweighWhatWasWrong) {
  Learned before;
  before.classes = {{"read", 10, 10, 0, 12}};
  Host host(Site(), 7, before);
  RequestId id = 0;
  const auto serve = [&](int count) {
    for (int i = 0; i < count; ++i) {
      host.Arrive(++id);
      host.now += 40;
      host.Finish(id, Outcome::kOk, 40);
    }
    return host.Tell().classes.at(0).run_ms;
  };
  EXPECT_GT(serve(12), 24);  // Half way and more after as many runs as it counted for.
  EXPECT_GT(serve(40), 34);
}

TEST(Learned, ClassesThatAreNotToldAndWeightlessOnesAreNotTaken) {
  Learned before;
  before.classes = {{"other", 900, 900, 0, 12}, {"read", 900, 900, 0, 0}};
  Host host(Site(), 7, before);
  EXPECT_TRUE(host.Tell().classes.empty());
}

}  // namespace
}  // namespace hingelink
