// The supervisor's decisions: each rule by itself, and then any order of events, with the supervisor dying at
// any action, against a world of processes.
#include "decide/supervision/supervisor.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

namespace {

using namespace hingelink::decide;

template <typename A>
std::vector<A> All(const std::vector<SupervisorAction>& actions) {
  std::vector<A> found;
  for (const SupervisorAction& action : actions) {
    if (const auto* a = std::get_if<A>(&action)) found.push_back(*a);
  }
  return found;
}
template <typename A>
bool Has(const std::vector<SupervisorAction>& actions) {
  return !All<A>(actions).empty();
}
bool Reports(const std::vector<SupervisorAction>& actions, const std::string& code) {
  const auto reports = All<LogEvent>(actions);
  return std::any_of(reports.begin(), reports.end(), [&](const LogEvent& r) { return r.code == code; });
}
std::string Codes(const std::vector<SupervisorAction>& actions) {
  std::string codes;
  for (const OperatorReply& a : All<OperatorReply>(actions))
    codes += std::string(a.ok ? "yes:" : "no:") + a.code;
  return codes;
}

// One that has begun with nothing found, whose start 1 is process 101 and ready.
struct Serving {
  explicit Serving(SupervisorOptions l = {}) : options(l), decide(options, 7) {
    decide.OnEvent(0, SupervisorStarted{});
    decide.OnEvent(0, ProcessStarted{1, {101, 11}});
    decide.OnEvent(100, StatusReported{1, true, false});
  }
  std::vector<SupervisorAction> At(TimeMs now, const SupervisorEvent& event) {
    return decide.OnEvent(now, event);
  }
  SupervisorOptions options;
  Supervisor decide;
};

TEST(Supervisor, WritesThePlanDownBeforeAProcessIsMadeAndBeforeItRuns) {
  Supervisor decide({}, 1);
  const auto first = decide.OnEvent(0, SupervisorStarted{});
  ASSERT_GE(first.size(), 2u);
  EXPECT_TRUE(std::holds_alternative<PersistState>(first[0]));
  EXPECT_EQ(All<SpawnProcess>(first).size(), 1u);
  const auto second = decide.OnEvent(1, ProcessStarted{1, {55, 9}});
  ASSERT_GE(second.size(), 2u);
  EXPECT_TRUE(std::holds_alternative<PersistState>(second[0]));
  EXPECT_TRUE(std::holds_alternative<ReleaseProcess>(second[1]));
  EXPECT_EQ(decide.state().current->process, (ProcessId{55, 9}));
}

TEST(Supervisor, StartsAgainAfterACrashLaterEachTimeUpToABound) {
  SupervisorOptions options;
  options.crash_loop_threshold = 1000;
  options.jitter_fraction = 0;
  Serving s(options);
  TimeMs now = 1000, before = 0;
  for (int crash = 0; crash < 12; ++crash) {
    const auto actions = s.At(now, Exited{s.decide.state().last_generation, false});
    ASSERT_TRUE(s.decide.restart_at());
    const TimeMs wait = *s.decide.restart_at() - now;
    EXPECT_TRUE(Reports(actions, "crashed"));
    EXPECT_FALSE(Has<SpawnProcess>(actions));
    EXPECT_DOUBLE_EQ(wait, crash == 0 ? options.initial_backoff : std::min(2 * before, options.max_backoff));
    before = wait;
    EXPECT_FALSE(Has<SpawnProcess>(s.At(now + wait - 1, TimerExpired{})));
    now += wait;
    EXPECT_EQ(All<SpawnProcess>(s.At(now, TimerExpired{})).size(), 1u);
    s.At(now, ProcessStarted{s.decide.state().last_generation, {200 + crash, 1}});
    s.At(now += 10, StatusReported{s.decide.state().last_generation, true, false});
  }
}

TEST(Supervisor, JitterSpreadsTheStartsOfManyAppliances) {
  std::set<TimeMs> starts;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    SupervisorOptions options;
    Supervisor decide(options, seed);
    decide.OnEvent(0, SupervisorStarted{});
    decide.OnEvent(0, ProcessStarted{1, {9, 9}});
    decide.OnEvent(0, Exited{1, false});
    const TimeMs wait = *decide.restart_at();
    EXPECT_GE(wait, options.initial_backoff * (1 - options.jitter_fraction));
    EXPECT_LE(wait, options.initial_backoff * (1 + options.jitter_fraction));
    starts.insert(wait);
  }
  EXPECT_GT(starts.size(), 45u);
}

TEST(Supervisor, CrashLoopRestsAndEndsWhenTheNodeStaysGoodOrTheOperatorAsks) {
  SupervisorOptions options;
  options.jitter_fraction = 0;
  Serving s(options);
  TimeMs now = 1000;
  for (std::uint32_t i = 0; i < options.crash_loop_threshold; ++i) {
    const auto actions = s.At(now, Exited{s.decide.state().last_generation, false});
    const bool last = i + 1 == options.crash_loop_threshold;
    EXPECT_EQ(Reports(actions, "crash-loop"), last);
    if (last) break;
    now = *s.decide.restart_at();
    s.At(now, TimerExpired{});
    s.At(now, ProcessStarted{s.decide.state().last_generation, {300, 1}});
  }
  EXPECT_EQ(s.decide.phase(), SupervisorPhase::kCrashLoop);
  EXPECT_DOUBLE_EQ(*s.decide.restart_at() - now, options.crash_loop_backoff);
  // Who asks has seen to the cause: at once, and the count begins anew.
  EXPECT_EQ(Codes(s.At(now + 5, StartRequested{})), "yes:done");
  EXPECT_TRUE(Has<SpawnProcess>(s.At(now + 5, TimerExpired{})));
  s.At(now + 5, ProcessStarted{s.decide.state().last_generation, {301, 1}});
  s.At(now + 10, Exited{s.decide.state().last_generation, false});
  EXPECT_EQ(s.decide.state().consecutive_crashes, 1u);
  now = *s.decide.restart_at();
  s.At(now, TimerExpired{});
  s.At(now, ProcessStarted{s.decide.state().last_generation, {302, 1}});
  s.At(now, StatusReported{s.decide.state().last_generation, true, false});
  EXPECT_TRUE(Reports(s.At(now + options.stable_after, TimerExpired{}), "crashes-forgotten"));
  EXPECT_EQ(s.decide.state().consecutive_crashes, 0u);
}

TEST(Supervisor, CrashesOfANodeThatIsNeverReadyAreNotForgotten) {
  SupervisorOptions options;
  Serving s(options);
  s.At(1000, Exited{1, false});
  TimeMs now = *s.decide.restart_at();
  s.At(now, TimerExpired{});
  s.At(now, ProcessStarted{2, {9, 9}});
  s.At(now, StatusReported{2, true, false});
  s.At(now + options.stable_after / 2, StatusReported{2, false, false});  // Its worker pool is lost.
  s.At(now + options.stable_after, TimerExpired{});
  EXPECT_EQ(s.decide.state().consecutive_crashes, 1u);
}

TEST(Supervisor, ANodeWithoutItsWorkerPoolIsLeftToWait) {
  SupervisorOptions options;
  Supervisor decide(options, 1);
  decide.OnEvent(0, SupervisorStarted{});
  decide.OnEvent(0, ProcessStarted{1, {9, 9}});
  decide.OnEvent(50, StatusReported{1, false, false});
  for (TimeMs now = 100; now < 1e7; now += 60'000) {
    EXPECT_FALSE(Has<KillProcess>(decide.OnEvent(now, TimerExpired{})));
    decide.OnEvent(now, StatusReported{1, false, false});
  }
}

TEST(Supervisor, EndsAStartThatNeverSaysAWordAndOneThatHangs) {
  SupervisorOptions options;
  Supervisor decide(options, 1);
  decide.OnEvent(0, SupervisorStarted{});
  decide.OnEvent(0, ProcessStarted{1, {9, 9}});
  EXPECT_FALSE(Has<KillProcess>(decide.OnEvent(options.startup_timeout - 1, TimerExpired{})));
  EXPECT_TRUE(Has<KillProcess>(decide.OnEvent(options.startup_timeout, TimerExpired{})));
  EXPECT_FALSE(Has<KillProcess>(decide.OnEvent(options.startup_timeout + 1, TimerExpired{})));  // Once.
  Serving s(options);
  for (std::uint32_t i = 1; i < options.unresponsive_threshold; ++i)
    EXPECT_FALSE(Has<KillProcess>(s.At(1000, Unresponsive{1})));
  s.At(1000, StatusReported{1, true, false});  // A word in between: it did not hang.
  for (std::uint32_t i = 1; i < options.unresponsive_threshold; ++i)
    EXPECT_FALSE(Has<KillProcess>(s.At(1000, Unresponsive{1})));
  EXPECT_TRUE(Has<KillProcess>(s.At(1000, Unresponsive{1})));
}

TEST(Supervisor, DrainIsToldOnceAndKeepsItsTimeWhoeverElseAsks) {
  Serving s;
  const auto first = s.At(1000, DrainRequested{});
  EXPECT_EQ(Codes(first), "yes:done");
  EXPECT_EQ(All<RequestDrain>(first).size(), 1u);
  EXPECT_EQ(Codes(s.At(1500, DrainRequested{})), "yes:already");
  const auto down = s.At(2000, StopRequested{});
  EXPECT_FALSE(Has<RequestDrain>(down));
  EXPECT_FALSE(Has<KillProcess>(s.At(1000 + s.options.drain_timeout - 1, TimerExpired{})));
  EXPECT_TRUE(Has<KillProcess>(s.At(1000 + s.options.drain_timeout, TimerExpired{})));
  const auto gone = s.At(6000, Exited{1, false});
  EXPECT_TRUE(Reports(gone, "drain-cut-short"));
  EXPECT_TRUE(Has<ExitSupervisor>(gone));
}

TEST(Supervisor, TellsAgainANodeThatDoesNotSayThatItLeaves) {
  Serving s;
  s.At(1000, DrainRequested{});
  EXPECT_FALSE(Has<RequestDrain>(s.At(1100, StatusReported{1, true, false})));
  EXPECT_TRUE(
      Has<RequestDrain>(s.At(1000 + s.options.drain_resend_interval, StatusReported{1, true, false})));
  EXPECT_FALSE(Has<RequestDrain>(s.At(3000, StatusReported{1, false, true})));
}

TEST(Supervisor, ANodeKilledInItsDrainIsNotStartedAgain) {
  Serving s;
  s.At(1000, DrainRequested{});
  const auto gone = s.At(1200, Exited{1, false});
  EXPECT_FALSE(Has<SpawnProcess>(gone));
  EXPECT_FALSE(s.decide.restart_at());
  EXPECT_EQ(s.decide.phase(), SupervisorPhase::kDrained);
  EXPECT_FALSE(Has<ExitSupervisor>(gone));
  EXPECT_TRUE(Has<SpawnProcess>(s.At(1300, StartRequested{})));
}

TEST(Supervisor, UpInADrainStartsTheNextBehindIt) {
  Serving s;
  s.At(1000, DrainRequested{});
  EXPECT_FALSE(Has<SpawnProcess>(s.At(1100, StartRequested{})));
  EXPECT_FALSE(Has<SpawnProcess>(s.At(1200, StatusReported{1, false, true})));
  EXPECT_EQ(All<SpawnProcess>(s.At(1300, Exited{1, true})).size(), 1u);
}

TEST(Supervisor, WhoDrainsTheNodeItselfIsHeard) {
  Serving seen;
  EXPECT_TRUE(Reports(seen.At(1000, StatusReported{1, false, true}), "drained-by-hand"));
  EXPECT_FALSE(Has<SpawnProcess>(seen.At(1500, Exited{1, true})));
  Serving unseen;  // It was over before the next look.
  const auto gone = unseen.At(1000, Exited{1, true});
  EXPECT_TRUE(Reports(gone, "drained-by-hand"));
  EXPECT_FALSE(Has<SpawnProcess>(gone));
  EXPECT_FALSE(unseen.decide.restart_at());
}

TEST(Supervisor, UpgradeTakesOverOnlyWhenTheSuccessorIsReady) {
  Serving s;
  const auto begins = s.At(1000, UpgradeRequested{});
  ASSERT_EQ(All<SpawnProcess>(begins).size(), 1u);
  EXPECT_EQ(All<SpawnProcess>(begins)[0].generation, 2u);
  EXPECT_FALSE(Has<RequestDrain>(begins));
  s.At(1000, ProcessStarted{2, {102, 12}});
  EXPECT_FALSE(Has<RequestDrain>(s.At(1100, StatusReported{2, false, false})));
  EXPECT_EQ(Codes(s.At(1100, UpgradeRequested{})), "no:upgrade-under-way");
  const auto ready = s.At(1200, StatusReported{2, true, false});
  // The plan first, then the word to the old one.
  const auto save = std::find_if(ready.begin(), ready.end(), [](const SupervisorAction& a) {
    return std::holds_alternative<PersistState>(a);
  });
  const auto tell = std::find_if(ready.begin(), ready.end(), [](const SupervisorAction& a) {
    return std::holds_alternative<RequestDrain>(a);
  });
  EXPECT_LT(save - ready.begin(), tell - ready.begin());
  ASSERT_EQ(All<RequestDrain>(ready).size(), 1u);
  EXPECT_EQ(All<RequestDrain>(ready)[0].generation, 1u);
  EXPECT_EQ(All<RedirectControlSocket>(ready)[0].generation, 2u);
  EXPECT_EQ(Codes(s.At(1250, UpgradeRequested{})), "no:upgrade-under-way");
  s.At(1300, Exited{1, true});
  EXPECT_EQ(s.decide.state().current->generation, 2u);
  EXPECT_FALSE(s.decide.state().predecessor);
  s.At(1300, StatusReported{2, true, false});
  EXPECT_EQ(Codes(s.At(1400, UpgradeRequested{})), "yes:done");
}

TEST(Supervisor, UpgradeGoesBackWhenTheSuccessorDiesOrIsNeverReady) {
  Serving dies;
  dies.At(1000, UpgradeRequested{});
  dies.At(1000, ProcessStarted{2, {102, 12}});
  const auto gone = dies.At(1100, Exited{2, false});
  EXPECT_TRUE(Reports(gone, "upgrade-went-back"));
  EXPECT_FALSE(Has<RequestDrain>(gone));
  EXPECT_FALSE(Has<SpawnProcess>(gone));
  EXPECT_EQ(dies.decide.state().current->generation, 1u);
  EXPECT_EQ(dies.decide.state().consecutive_crashes, 0u);
  Serving late;
  late.At(1000, UpgradeRequested{});
  late.At(1000, ProcessStarted{2, {102, 12}});
  EXPECT_FALSE(Has<KillProcess>(late.At(1000 + late.options.upgrade_timeout - 1, TimerExpired{})));
  const auto over = late.At(1000 + late.options.upgrade_timeout, TimerExpired{});
  ASSERT_EQ(All<KillProcess>(over).size(), 1u);
  EXPECT_EQ(All<KillProcess>(over)[0].generation, 2u);
  // Ready in the same moment: it was ended, and must not be trusted with the clients.
  EXPECT_FALSE(
      Has<RequestDrain>(late.At(1000 + late.options.upgrade_timeout, StatusReported{2, true, false})));
  late.At(1000 + late.options.upgrade_timeout + 1, Exited{2, false});
  EXPECT_EQ(late.decide.state().current->generation, 1u);
}

TEST(Supervisor, UpgradeOfANodeThatDiesMeanwhileGoesForward) {
  Serving s;
  s.At(1000, UpgradeRequested{});
  s.At(1000, ProcessStarted{2, {102, 12}});
  const auto gone = s.At(1100, Exited{1, false});
  EXPECT_FALSE(Has<SpawnProcess>(gone));
  EXPECT_EQ(s.decide.state().current->generation, 2u);
  EXPECT_FALSE(s.decide.state().successor);
  EXPECT_EQ(All<RedirectControlSocket>(gone)[0].generation, 2u);
}

TEST(Supervisor, NoUpgradeWithoutANodeThatIsReady) {
  Supervisor decide({}, 1);
  decide.OnEvent(0, SupervisorStarted{});
  EXPECT_EQ(Codes(decide.OnEvent(1, UpgradeRequested{})), "no:not-serving");
  decide.OnEvent(2, ProcessStarted{1, {9, 9}});
  decide.OnEvent(3, StatusReported{1, false, false});
  EXPECT_EQ(Codes(decide.OnEvent(4, UpgradeRequested{})), "no:not-serving");
  decide.OnEvent(5, DrainRequested{});
  EXPECT_EQ(Codes(decide.OnEvent(6, UpgradeRequested{})), "no:not-serving");
}

TEST(Supervisor, DrainInAnUpgradeTellsBoth) {
  Serving s;
  s.At(1000, UpgradeRequested{});
  s.At(1000, ProcessStarted{2, {102, 12}});
  EXPECT_EQ(All<RequestDrain>(s.At(1100, DrainRequested{})).size(), 2u);
  // The successor's readiness, if it comes now, takes nothing over.
  EXPECT_FALSE(Has<RedirectControlSocket>(s.At(1200, StatusReported{2, true, false})));
  s.At(1300, Exited{1, true});
  s.At(1300, Exited{2, true});
  EXPECT_EQ(s.decide.phase(), SupervisorPhase::kDrained);
}

TEST(Supervisor, AdoptsWhatItFindsAndGoesOnWithADrainHalfDone) {
  SupervisorState state;
  state.desired = DesiredState::kDrained;
  state.last_generation = 4;
  state.current = Incarnation{.generation = 4, .process = {77, 7}, .ready = false, .draining = true};
  Supervisor decide({}, 1);
  const auto actions = decide.OnEvent(0, SupervisorStarted{state});
  EXPECT_EQ(All<RequestDrain>(actions).size(), 1u);
  EXPECT_FALSE(Has<SpawnProcess>(actions));
  decide.OnEvent(100, Exited{4, true});
  EXPECT_EQ(decide.phase(), SupervisorPhase::kDrained);
  // One that served is left alone.
  state.desired = DesiredState::kServing;
  state.current->draining = false;
  Supervisor other({}, 1);
  const auto serves = other.OnEvent(0, SupervisorStarted{state});
  EXPECT_FALSE(Has<RequestDrain>(serves));
  EXPECT_FALSE(Has<SpawnProcess>(serves));
  EXPECT_FALSE(Has<KillProcess>(serves));
}

TEST(Supervisor, AStartThatFailsCountsAsACrash) {
  Supervisor decide({}, 1);
  decide.OnEvent(0, SupervisorStarted{});
  decide.OnEvent(0, ProcessStartFailed{1});
  EXPECT_EQ(decide.state().consecutive_crashes, 1u);
  EXPECT_TRUE(decide.restart_at());
}

// ---- Any order of events ----

// A world of processes that carries out what is decided, and a supervisor that dies at any action.
class World {
 public:
  explicit World(std::uint64_t seed) : draws_(seed) { Begin(SupervisorState{}); }

  void Steps() {
    for (int step = 0; step < 200; ++step) {
      now_ += Draw(400);
      switch (Draw(14)) {
        case 0:
          Give(DrainRequested{});
          break;
        case 1:
        case 2:
          Give(StartRequested{});
          break;
        case 3:
        case 4:
          Give(UpgradeRequested{});
          break;
        case 5:
          if (Draw(4) == 0) Give(StopRequested{});
          break;
        case 6:
          End(Draw(8), false);
          break;
        case 7:
        case 8:
          if (due_ && now_ < *due_) now_ = *due_;
          TimerExpired();
          break;
        case 9:
          die_in_ = Draw(10);
          break;
        default:
          Look();
      }
      if (dead_) Again();
      Check();
      if (exited_) {
        RC_ASSERT(Living() == 0u);
        return;
      }
    }
    // Left in peace, with nodes that do as they are told, it comes to what was wanted.
    die_in_.reset();
    peace_ = true;
    const DesiredState desired = decide_->state().desired;
    for (int i = 0; i < 400 && !exited_; ++i) {
      now_ += 100;
      TimerExpired();
      Look();
      for (std::size_t p = 0; p < processes_.size(); ++p) {
        if (processes_[p].alive && processes_[p].told) End(p, true);
      }
      if (due_ && *due_ > now_ && !AnyAlive()) now_ = *due_;
    }
    if (desired == DesiredState::kServing) {
      RC_ASSERT(decide_->phase() == SupervisorPhase::kServing);
      RC_ASSERT(Living() == 1u);
    } else {
      RC_ASSERT(Living() == 0u);
      RC_ASSERT(exited_ == (desired == DesiredState::kStopped));
    }
  }

 private:
  struct Process {
    std::uint64_t generation = 0;
    bool alive = true;
    bool released = false;
    bool told = false;
    TimeMs told_at = 0;
  };

  std::uint32_t Draw(std::uint32_t below) { return static_cast<std::uint32_t>(draws_() % below); }
  void Begin(const SupervisorState& state) {
    decide_.emplace(SupervisorOptions{}, 1);
    due_.reset();
    dead_ = false;
    std::vector<SupervisorEvent> events = {SupervisorStarted{state}};
    for (const auto* incarnation : {&state.current, &state.successor, &state.predecessor}) {
      if (!*incarnation) continue;
      const Process* found = Find((*incarnation)->generation);
      if (found == nullptr || !found->alive || (*incarnation)->process.pid == 0) {
        events.push_back(Exited{(*incarnation)->generation, false});
      }
    }
    for (const SupervisorEvent& event : events) Give(event);
  }
  // A new supervisor, with the plan that was written last. What waited to be let go ends with the old one.
  void Again() {
    for (Process& p : processes_) {
      if (!p.released) p.alive = false;
    }
    queue_.clear();
    Begin(saved_);
  }
  void Give(const SupervisorEvent& event) {
    if (dead_ || exited_) return;
    queue_.push_back(event);
    while (!queue_.empty() && !dead_) {
      const SupervisorEvent next = queue_.front();
      queue_.erase(queue_.begin());
      for (const SupervisorAction& action : decide_->OnEvent(now_, next)) {
        if (die_in_ && (*die_in_)-- == 0) {
          die_in_.reset();
          dead_ = true;
          return;
        }
        std::visit([this](const auto& a) { Emit(a); }, action);
      }
    }
  }
  void TimerExpired() {
    if (due_ && *due_ <= now_) {
      due_.reset();
      Give(hingelink::decide::TimerExpired{});
    }
  }
  void Look() {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      const Process p = processes_[i];
      if (p.alive && p.released)
        Give(StatusReported{p.generation, !p.told && (peace_ || Draw(3) > 0), p.told});
    }
  }
  void End(std::size_t place, bool clean) {
    if (place >= processes_.size() || !processes_[place].alive) return;
    processes_[place].alive = false;
    Give(Exited{processes_[place].generation, clean && processes_[place].told});
  }
  Process* Find(std::uint64_t generation) {
    for (Process& p : processes_) {
      if (p.generation == generation) return &p;
    }
    return nullptr;
  }
  std::size_t Living() const {
    return static_cast<std::size_t>(
        std::count_if(processes_.begin(), processes_.end(), [](const Process& p) { return p.alive; }));
  }
  bool AnyAlive() const { return Living() > 0; }

  void Emit(const PersistState&) { saved_ = decide_->state(); }
  void Emit(const SpawnProcess& a) {
    RC_ASSERT(Find(a.generation) == nullptr);  // No generation twice.
    RC_ASSERT(saved_.last_generation == a.generation);
    Process p;
    p.generation = a.generation;
    processes_.push_back(p);
    queue_.push_back(
        ProcessStarted{a.generation, {static_cast<std::int64_t>(1000 + a.generation), a.generation}});
  }
  void Emit(const ReleaseProcess& a) {
    // It is known before it runs.
    const auto knows = [&a](const std::optional<Incarnation>& l) {
      return l && l->generation == a.generation && l->process.pid != 0;
    };
    RC_ASSERT(knows(saved_.current) || knows(saved_.successor));
    if (Process* p = Find(a.generation); p != nullptr && p->alive) p->released = true;
  }
  void Emit(const RequestDrain& a) {
    Process* p = Find(a.generation);
    if (p == nullptr || p->told) return;
    p->told = true;
    p->told_at = now_;
  }
  void Emit(const KillProcess& a) {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (processes_[i].generation != a.generation || !processes_[i].alive) continue;
      processes_[i].alive = false;
      queue_.push_back(Exited{a.generation, false});
    }
  }
  void Emit(const SetTimer& a) { due_ = a.at; }
  void Emit(const ExitSupervisor&) { exited_ = true; }
  void Emit(const RedirectControlSocket&) {}
  void Emit(const LogEvent&) {}
  void Emit(const OperatorReply&) {}

  void Check() {
    std::size_t serving = 0;
    for (const Process& p : processes_) {
      if (!p.alive) continue;
      serving += p.released && !p.told ? 1 : 0;
      // Every process that lives is one that the plan knows.
      const SupervisorState& state = decide_->state();
      const auto is = [&p](const std::optional<Incarnation>& l) {
        return l && l->generation == p.generation;
      };
      RC_ASSERT(is(state.current) || is(state.successor) || is(state.predecessor));
    }
    RC_ASSERT(serving <= (decide_->state().successor ? 2u : 1u));
    RC_ASSERT(Living() <= 3u);
  }

  std::mt19937_64 draws_;
  TimeMs now_ = 0;
  std::optional<Supervisor> decide_;
  SupervisorState saved_;
  std::vector<Process> processes_;
  std::vector<SupervisorEvent> queue_;
  std::optional<TimeMs> due_;
  std::optional<std::uint32_t> die_in_;
  bool dead_ = false, exited_ = false, peace_ = false;
};

TEST(Supervisor, AnyOrderOfEventsAndDeathsKeepsOneNodeAndComesToWhatWasWanted) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) { World(seed).Steps(); }));
}

}  // namespace
