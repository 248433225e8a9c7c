// The decisions of a node with several loops: where connections lie, who gets in at the limit, which loops
// hang.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <variant>

#include "decide/connections/connection_admission.h"
#include "decide/connections/connection_balancer.h"
#include "decide/connections/connection_locations.h"
#include "decide/loops/core_pinning.h"
#include "decide/loops/loop_watchdog.h"

namespace hingelink::decide {
namespace {

using namespace std::chrono_literals;

// ---- The book ----

// A model of the loops round the book: queues that keep their order, loops that carry out one message at a
// time. A request is a pair of connection and number; the loops see whether each answer reaches the loop that
// has its connection.
class Loops {
 public:
  struct Answer {
    ConnectionId id = 0;
    int request = 0;
  };

  explicit Loops(std::size_t count) : book_(count), loops_(count) {}

  void Begin(LoopIndex loop) {
    const ConnectionId id = book_.Add(loop);
    loops_[loop].orders.push_back(Take{id, {}});
  }
  // The gateway sends a request, or takes one back, on some connection that stands on the loop.
  void Ask(LoopIndex loop, std::size_t draw) {
    if (auto* c = Pick(loop, draw)) {
      c->second.insert(++last_request_);
      loops_[loop].told.push_back(Request{c->first, last_request_});
      owed_.insert(last_request_);
    }
  }
  void TakeBack(LoopIndex loop, std::size_t draw) {
    auto* c = Pick(loop, draw);
    if (c == nullptr || c->second.empty()) return;
    const int request = *c->second.begin();
    c->second.erase(request);
    owed_.erase(request);
    loops_[loop].told.push_back(Gone{c->first, request});
  }
  void Close(LoopIndex loop, std::size_t draw) {
    auto* c = Pick(loop, draw);
    if (c == nullptr) return;
    for (const int request : c->second) {
      owed_.erase(request);
      loops_[loop].told.push_back(Gone{c->first, request});
    }
    loops_[loop].told.push_back(Ended{c->first});
    loops_[loop].open.erase(c->first);
  }
  void Move(std::size_t draw, LoopIndex to) {
    // By what the node knows, which may be old: any connection it has heard of.
    if (known_.empty()) return;
    const ConnectionId id = *std::next(known_.begin(), static_cast<std::ptrdiff_t>(draw % known_.size()));
    if (const auto from = book_.BeginMove(id, to)) loops_[*from].orders.push_back(Release{id});
  }
  // The loop carries out its next order. `whole`: a connection to be released stands between two frames.
  void Carry(LoopIndex loop, bool whole) {
    Loop& l = loops_[loop];
    if (l.orders.empty()) return;
    const Order order = std::move(l.orders.front());
    l.orders.pop_front();
    if (const auto* take = std::get_if<Take>(&order)) {
      l.open[take->id] = take->open;
    } else if (const auto* release = std::get_if<Release>(&order)) {
      const auto it = l.open.find(release->id);
      if (it == l.open.end() || !whole) {
        l.told.push_back(Released{release->id, false, {}});
      } else {
        l.told.push_back(Released{release->id, true, it->second});
        l.open.erase(it);
      }
    } else {
      const Answer& answer = std::get<Answer>(order);
      const auto it = l.open.find(answer.id);
      if (it == l.open.end()) return;                     // It has ended.
      if (it->second.erase(answer.request) == 0) return;  // Taken back.
      RC_ASSERT(owed_.erase(answer.request) == 1u);
    }
  }
  // The node takes the loop's next message.
  void Hear(LoopIndex loop) {
    Loop& l = loops_[loop];
    if (l.told.empty()) return;
    const Told told = std::move(l.told.front());
    l.told.pop_front();
    if (const auto* request = std::get_if<Request>(&told)) {
      // Nothing is heard of a request behind its end.
      RC_ASSERT(gone_.count(request->number) == 0u);
      RC_ASSERT(in_hand_.emplace(request->number, request->id).second);
    } else if (const auto* gone = std::get_if<Gone>(&told)) {
      gone_.insert(gone->number);
      in_hand_.erase(gone->number);
    } else if (const auto* ended = std::get_if<Ended>(&told)) {
      RC_ASSERT(book_.Remove(ended->id, loop));
      known_.erase(ended->id);
      where_.erase(ended->id);
    } else {
      const auto& released = std::get<Released>(told);
      auto settled = book_.FinishMove(released.id, loop, released.left);
      // The end of a connection that was asked for came first: then nothing is to be settled.
      if (!settled) {
        RC_ASSERT(!released.left);
        return;
      }
      if (released.left) {
        where_[released.id] = settled->loop;
        loops_[settled->loop].orders.push_back(Take{released.id, released.open});
      }
      for (const Answer& answer : settled->held_answers) loops_[settled->loop].orders.push_back(answer);
    }
  }
  // The node answers one of the requests it has.
  void Decide(std::size_t draw) {
    if (in_hand_.empty()) return;
    const auto it = std::next(in_hand_.begin(), static_cast<std::ptrdiff_t>(draw % in_hand_.size()));
    Answer answer{it->second, it->first};
    in_hand_.erase(it);
    if (const auto loop = book_.Route(answer.id, answer)) loops_[*loop].orders.push_back(answer);
  }
  void Known() {
    for (LoopIndex i = 0; i < loops_.size(); ++i) {
      for (const auto& [id, open] : loops_[i].open) {
        if (where_.emplace(id, i).second) known_.insert(id);
      }
    }
  }
  // Lets all that is on its way arrive, and has every request answered.
  void Settle() {
    for (int round = 0; round < 1000; ++round) {
      for (LoopIndex i = 0; i < loops_.size(); ++i) {
        Carry(i, true);
        Hear(i);
      }
      Decide(0);
    }
  }
  void Check() const {
    RC_ASSERT(owed_.empty());
    RC_ASSERT(!book_.has_pending_moves());
    std::size_t sum = 0;
    for (LoopIndex i = 0; i < loops_.size(); ++i) {
      RC_ASSERT(loops_[i].orders.empty() && loops_[i].told.empty());
      RC_ASSERT(book_.count(i) == loops_[i].open.size());
      sum += loops_[i].open.size();
    }
    RC_ASSERT(book_.size() == sum);
    RC_ASSERT(book_.moved_count() <= sum);
  }

 private:
  struct Take {
    ConnectionId id;
    std::set<int> open;
  };
  struct Release {
    ConnectionId id;
  };
  struct Request {
    ConnectionId id;
    int number;
  };
  struct Gone {
    ConnectionId id;
    int number;
  };
  struct Ended {
    ConnectionId id;
  };
  struct Released {
    ConnectionId id;
    bool left;
    std::set<int> open;
  };
  using Order = std::variant<Take, Release, Answer>;
  using Told = std::variant<Request, Gone, Ended, Released>;
  struct Loop {
    std::map<ConnectionId, std::set<int>> open;
    std::deque<Order> orders;
    std::deque<Told> told;
  };

  std::pair<const ConnectionId, std::set<int>>* Pick(LoopIndex loop, std::size_t draw) {
    auto& open = loops_[loop].open;
    if (open.empty()) return nullptr;
    return &*std::next(open.begin(), static_cast<std::ptrdiff_t>(draw % open.size()));
  }

  ConnectionLocations<Answer> book_;
  std::vector<Loop> loops_;
  std::map<ConnectionId, LoopIndex> where_;  // As the node knows.
  std::set<ConnectionId> known_;
  std::map<int, ConnectionId> in_hand_;
  std::set<int> owed_, gone_;
  int last_request_ = 0;
};

RC_GTEST_PROP(ConnectionLocations, OneAnswerEachHoweverConnectionsMove, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 5);
  Loops loops(count);
  const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::arbitrary<std::uint32_t>()));
  for (const auto& [what, draw] : steps) {
    const LoopIndex loop = draw % count;
    const std::size_t rest = draw / count;
    switch (what) {
      case 0:
        loops.Begin(loop);
        break;
      case 1:
      case 2:
        loops.Ask(loop, rest);
        break;
      case 3:
        loops.TakeBack(loop, rest);
        break;
      case 4:
        if (rest % 4 == 0) loops.Close(loop, rest / 4);
        break;
      case 5:
      case 6:
        loops.Known();
        loops.Move(rest, rest / 7 % count);
        break;
      case 7:
        loops.Decide(rest);
        break;
      case 8:
      case 9:
        loops.Hear(loop);
        break;
      default:
        loops.Carry(loop, rest % 3 != 0);
    }
  }
  loops.Settle();
  loops.Check();
}

TEST(ConnectionLocations, AnswersWaitForAMoveAndThenFollowInOrder) {
  ConnectionLocations<int> book(2);
  const ConnectionId id = book.Add(0);
  int first = 1, second = 2, third = 3;
  EXPECT_EQ(book.Route(id, first), LoopIndex{0});
  ASSERT_TRUE(book.BeginMove(id, 1));
  EXPECT_FALSE(book.BeginMove(id, 1));
  EXPECT_FALSE(book.Route(id, second));
  EXPECT_FALSE(book.Route(id, third));
  EXPECT_TRUE(book.has_pending_moves());
  EXPECT_FALSE(book.FinishMove(id, 1, true));  // Not the loop that was asked.
  const auto settled = book.FinishMove(id, 0, true);
  ASSERT_TRUE(settled);
  EXPECT_EQ(settled->loop, 1u);
  EXPECT_EQ(settled->held_answers, (std::vector<int>{2, 3}));
  EXPECT_FALSE(book.has_pending_moves());
  EXPECT_EQ(book.count(0), 0u);
  EXPECT_EQ(book.count(1), 1u);
  EXPECT_EQ(book.moved_count(), 1u);
  ASSERT_TRUE(book.BeginMove(id, 0));
  book.FinishMove(id, 1, true);
  EXPECT_EQ(book.moved_count(), 0u);  // At home again, it takes no room.
}

// ---- Placement ----

TEST(ConnectionBalancer, WithoutLoadsTheCountDecides) {
  ConnectionBalancer placement({.loops = 3});
  std::vector<std::size_t> on(3);
  for (int i = 0; i < 30; ++i) ++on[placement.ChooseLoop(on)];
  EXPECT_EQ(on, (std::vector<std::size_t>{10, 10, 10}));
}

LoopReport Report(LoopIndex loop, double busy, std::vector<std::uint64_t> work) {
  LoopReport report{.loop = loop, .busy = busy, .work = 0, .heaviest_connections = {}};
  for (std::size_t i = 0; i < work.size(); ++i) {
    report.work += work[i];
    report.heaviest_connections.push_back({loop << 56 | (i + 1), work[i]});
  }
  return report;
}

TEST(ConnectionBalancer, ByLoadNotByCount) {
  ConnectionBalancer placement({.loops = 2});
  placement.OnReport(Report(0, 0.9, {900}), 0ms);     // One heavy connection.
  placement.OnReport(Report(1, 0.1, {50, 50}), 0ms);  // Many light ones.
  EXPECT_EQ(placement.ChooseLoop({1, 40}), 1u);
}

TEST(ConnectionBalancer, OneHeavyGatewayOnOneLoopIsSpread) {
  ConnectionBalancer placement({.loops = 4});
  std::vector<std::vector<std::uint64_t>> work(4);
  work[0] = std::vector<std::uint64_t>(100, 32);
  std::map<ConnectionId, LoopIndex> where;
  for (std::size_t i = 0; i < 100; ++i) where[i + 1] = 0;
  std::chrono::milliseconds now{0};
  for (int round = 0; round < 60; ++round, now += 500ms) {
    for (LoopIndex loop = 0; loop < 4; ++loop) {
      LoopReport report{.loop = loop, .busy = 0, .work = 0, .heaviest_connections = {}};
      for (const auto& [id, at] : where) {
        if (at != loop) continue;
        report.work += 32;
        report.heaviest_connections.push_back({id, 32});
      }
      report.busy = static_cast<double>(report.work) / 3200.0;
      if (report.heaviest_connections.size() > 64) report.heaviest_connections.resize(64);
      for (const Move& move : placement.OnReport(report, now)) {
        EXPECT_EQ(where.at(move.id), move.from);
        where[move.id] = move.to;
        placement.OnMoveFinished(move.id, now);
      }
    }
  }
  std::vector<int> counts(4);
  for (const auto& [id, at] : where) ++counts[at];
  for (const int count : counts) {
    EXPECT_GE(count, 15);
    EXPECT_LE(count, 40);
  }
}

TEST(ConnectionBalancer, StaysWhereAMoveWouldOnlyChangeWhichLoopIsBusy) {
  ConnectionBalancer placement({.loops = 2});
  for (int i = 0; i < 20; ++i) {
    placement.OnReport(Report(1, 0.0, {}), i * 500ms);
    EXPECT_TRUE(placement.OnReport(Report(0, 0.9, {1000}), i * 500ms).empty());
  }
}

TEST(ConnectionBalancer, OneOddReportMovesNothing) {
  ConnectionBalancer placement({.loops = 2});
  for (int i = 0; i < 20; ++i) {
    placement.OnReport(Report(1, 0.2, {10, 10}), i * 500ms);
    const double busy = i % 3 == 2 ? 0.8 : 0.2;
    EXPECT_TRUE(placement.OnReport(Report(0, busy, {10, 10, 10, 10}), i * 500ms).empty()) << i;
  }
}

TEST(ConnectionBalancer, ALoopThatHangsGetsNothing) {
  ConnectionBalancer placement({.loops = 2});
  placement.SetStalled(0, true);
  EXPECT_EQ(placement.ChooseLoop({0, 50}), 1u);
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(placement.OnReport(Report(0, 0, {}), i * 500ms).empty());
    EXPECT_TRUE(placement.OnReport(Report(1, 0.9, {10, 10, 10, 10}), i * 500ms).empty());
  }
  placement.SetStalled(0, false);
  EXPECT_EQ(placement.ChooseLoop({0, 50}), 0u);
}

TEST(ConnectionBalancer, AFewAtATimeAndEachRestsAfterwards) {
  ConnectionBalancer placement({.loops = 2, .max_moves_per_report = 4});
  const std::vector<std::uint64_t> work(100, 10);
  std::set<ConnectionId> moved;
  std::chrono::milliseconds now{0};
  // They are asked to move, and stay.
  for (; now < 2000ms; now += 200ms) {
    placement.OnReport(Report(1, 0, {}), now);
    const auto moves = placement.OnReport(Report(0, 1, work), now);
    EXPECT_LE(moves.size(), 4u);
    for (const Move& move : moves) EXPECT_TRUE(moved.insert(move.id).second);
  }
  EXPECT_GT(moved.size(), 8u);
}

// Moves never leave the busiest loop, nor put the other above it.
RC_GTEST_PROP(ConnectionBalancer, MovesNarrowTheGap, ()) {
  const auto work = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 1000));
  const double busy = *rc::gen::inRange(0, 101) / 100.0, other = *rc::gen::inRange(0, 101) / 100.0;
  ConnectionBalancer placement({.loops = 2});
  std::vector<std::uint64_t> sorted = work;
  std::sort(sorted.rbegin(), sorted.rend());
  for (int i = 0; i < 3; ++i) {
    const auto back = placement.OnReport(Report(1, other, {5, 5}), i * 500ms);
    const auto moves = placement.OnReport(Report(0, busy, sorted), i * 500ms);
    if (busy >= other) RC_ASSERT(back.empty());
    if (busy <= other) RC_ASSERT(moves.empty());
    double moved = 0, sum = 0;
    for (const std::uint64_t each : sorted) sum += static_cast<double>(each);
    for (const Move& move : moves) {
      moved += busy * static_cast<double>(sorted[(move.id & 0xffffff) - 1]) / sum;
    }
    RC_ASSERT(moved <= (busy - other) / 2 + 1e-9 || moves.empty());
    if (!moves.empty()) break;
  }
}

// ---- The door ----

// Plays the loops: each has connections of some use, and answers what it is asked.
class DoorModel {
 public:
  DoorModel(std::vector<std::vector<int>> uses, std::size_t most)
      : uses_(std::move(uses)), door_({.loops = uses_.size(), .max_connections = most}) {}

  void Accept() { Do(door_.OnAccepted(On())); }
  void Do(const ConnectionAdmission::Actions& steps) {
    for (const ConnectionAdmission::Action& step : steps) {
      if (std::holds_alternative<ConnectionAdmission::Admit>(step)) {
        uses_[0].push_back(9);
        ++let_in;
      } else if (std::holds_alternative<ConnectionAdmission::Reject>(step)) {
        ++turned_away;
      } else if (std::holds_alternative<ConnectionAdmission::PauseListener>(step)) {
        paused = true;
      } else if (std::holds_alternative<ConnectionAdmission::ResumeListener>(step)) {
        paused = false;
      } else {
        asked_.push_back(step);
      }
    }
  }
  // Answers all questions, also those that come of the answers.
  void Answer(bool late = false) {
    while (!asked_.empty()) {
      const ConnectionAdmission::Action step = asked_.front();
      asked_.pop_front();
      if (const auto* ask = std::get_if<ConnectionAdmission::RequestCandidate>(&step)) {
        Do(door_.OnCandidate(ask->loop, Least(ask->loop), On()));
      } else {
        const std::size_t loop = std::get<ConnectionAdmission::Evict>(step).loop;
        if (late) {
          Do(door_.OnEvicted(loop, false, On()));
          continue;
        }
        auto& uses = uses_[loop];
        const auto least = std::min_element(uses.begin(), uses.end());
        ended.push_back(*least);
        uses.erase(least);
        Do(door_.OnClosed(On()));
        Do(door_.OnEvicted(loop, true, On()));
      }
    }
  }
  std::vector<std::size_t> On() const {
    std::vector<std::size_t> on;
    for (const auto& uses : uses_) on.push_back(uses.size());
    return on;
  }
  ConnectionAdmission& door() { return door_; }
  bool asks() const { return !asked_.empty(); }

  int let_in = 0, turned_away = 0;
  bool paused = false;
  std::vector<int> ended;

 private:
  // 9 stands for one that cannot be spared.
  std::optional<ConnectionValue> Least(std::size_t loop) const {
    const auto& uses = uses_[loop];
    const auto least = std::min_element(uses.begin(), uses.end());
    if (least == uses.end() || *least == 9) return std::nullopt;
    return ConnectionValue{*least, 0ns};
  }
  std::vector<std::vector<int>> uses_;
  ConnectionAdmission door_;
  std::deque<ConnectionAdmission::Action> asked_;
};

TEST(ConnectionAdmission, TheLeastUsefulOfAllLoopsMakesRoom) {
  DoorModel model({{5, 4}, {3, 9}, {2, 7}}, 6);
  for (int i = 0; i < 5; ++i) {
    model.Accept();
    model.Answer();
  }
  EXPECT_EQ(model.ended, (std::vector<int>{2, 3, 4, 5, 7}));
  EXPECT_EQ(model.let_in, 5);
  model.Accept();
  model.Answer();
  EXPECT_EQ(model.turned_away, 1);  // Nobody can be spared any more.
}

TEST(ConnectionAdmission, TooManyThatWaitRestTheListener) {
  DoorModel model({{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, {1}}, 11);
  for (int i = 0; i < 7; ++i) model.Accept();
  EXPECT_FALSE(model.paused);
  model.Accept();
  EXPECT_TRUE(model.paused);
  model.Answer();
  EXPECT_FALSE(model.paused);
  EXPECT_EQ(model.let_in, 8);
  EXPECT_EQ(model.ended.size(), 8u);
}

TEST(ConnectionAdmission, OffersThatAreAlwaysTakenBackEndTheWait) {
  DoorModel model({{1, 1}}, 2);
  model.Accept();
  model.Answer(true);
  EXPECT_EQ(model.turned_away, 1);
}

TEST(ConnectionAdmission, ALoopThatHangsHoldsUpNobody) {
  DoorModel model({{1}, {2}}, 2);
  model.Do(model.door().SetStalled(0, true, model.On()));
  model.Accept();
  model.Answer();
  EXPECT_EQ(model.ended, (std::vector<int>{2}));
  // It hangs with a question unanswered.
  model.Do(model.door().SetStalled(0, false, model.On()));
  model.Accept();
  ASSERT_TRUE(model.asks());
  model.Do(model.door().SetStalled(1, true, model.On()));
  model.Do(model.door().OnCandidate(0, std::nullopt, model.On()));
  EXPECT_EQ(model.turned_away, 1);
}

TEST(ConnectionAdmission, BesideAnotherProcessNewcomersWaitForItsDescriptors) {
  DoorModel model({{9}, {9}}, 100);
  model.Do(model.door().SetMaxConnections(2, true, model.On()));
  EXPECT_FALSE(model.paused);  // Nobody has come.
  model.Accept();
  model.Answer();
  EXPECT_TRUE(model.paused);
  EXPECT_EQ(model.turned_away, 0);
  model.Do(model.door().RetryPending(model.On()));
  model.Answer();
  EXPECT_EQ(model.let_in, 0);
  model.Do(model.door().SetMaxConnections(10, true, model.On()));
  EXPECT_EQ(model.let_in, 1);
  EXPECT_FALSE(model.paused);
}

// Each newcomer is let in or turned away, and the limit holds, whatever the loops say.
RC_GTEST_PROP(ConnectionAdmission, NobodyIsForgottenAndTheLimitHolds, ()) {
  const auto most = *rc::gen::inRange<std::size_t>(1, 12);
  DoorModel model({{1, 2}, {}, {9}}, most + 3);
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
  int came = 0;
  for (const int step : steps) {
    if (step < 3 && !model.paused) {
      model.Accept();
      ++came;
    } else {
      model.Answer(step == 4);
    }
    std::size_t sum = 0;
    for (const std::size_t on : model.On()) sum += on;
    RC_ASSERT(sum <= most + 3);
  }
  model.Answer();
  RC_ASSERT(model.let_in + model.turned_away == came);
  RC_ASSERT(model.door().pending() == 0u);
}

// ---- Cores ----

// Cores of two units each, which the system numbers as most machines do: first one of each core, then the
// others.
std::vector<ProcessingUnit> Units(unsigned cores, unsigned on_first_node) {
  std::vector<ProcessingUnit> units;
  for (unsigned i = 0; i < 2 * cores; ++i) {
    units.push_back({.os_index = i, .core = i % cores, .numa_node = i % cores < on_first_node ? 0u : 1u});
  }
  return units;
}

TEST(CorePinning, HyperThreadsAreNoCores) {
  const CorePinningPlan plan = PlanCorePinning(Units(4, 4), 4);
  EXPECT_EQ(plan.units, (std::vector<std::vector<unsigned>>{{0, 4}, {1, 5}, {2, 6}, {3, 7}}));
  EXPECT_EQ(plan.description, "4 threads on 4 cores");
}

TEST(CorePinning, WithTooFewTheDecidingThreadKeepsItsOwn) {
  const CorePinningPlan plan = PlanCorePinning(Units(3, 3), 6);
  EXPECT_EQ(plan.units, (std::vector<std::vector<unsigned>>{{0, 3}, {1, 4}, {2, 5}, {1, 4}, {2, 5}, {1, 4}}));
  EXPECT_NE(plan.description.find("loops share cores"), std::string::npos);
  EXPECT_TRUE(PlanCorePinning(Units(1, 1), 2).units.empty());
  EXPECT_TRUE(PlanCorePinning({}, 2).units.empty());
  EXPECT_TRUE(PlanCorePinning(Units(4, 4), 1).units.empty());
}

TEST(CorePinning, ThreadsStayNearEachOther) {
  // The second node of memory has more cores: all four fit there.
  const CorePinningPlan plan = PlanCorePinning(Units(6, 2), 4);
  EXPECT_EQ(plan.units, (std::vector<std::vector<unsigned>>{{2, 8}, {3, 9}, {4, 10}, {5, 11}}));
  EXPECT_EQ(plan.description.find("far"), std::string::npos);
  EXPECT_NE(PlanCorePinning(Units(6, 2), 5).description.find("far"), std::string::npos);
}

// Whatever the machine: only units that are allowed, the deciding thread alone on its core, loops spread
// evenly.
RC_GTEST_PROP(CorePinning, AnyMachine, ()) {
  const auto cores = *rc::gen::inRange(1u, 20u);
  const auto threads = *rc::gen::inRange<std::size_t>(1, 65);
  std::vector<ProcessingUnit> allowed;
  for (const ProcessingUnit& unit : Units(cores, *rc::gen::inRange(0u, 20u))) {
    if (*rc::gen::arbitrary<bool>()) allowed.push_back(unit);
  }
  const CorePinningPlan plan = PlanCorePinning(allowed, threads);
  RC_ASSERT(!plan.description.empty());
  if (plan.units.empty()) return;
  RC_ASSERT(plan.units.size() == threads);
  std::map<std::vector<unsigned>, std::size_t> used;
  for (const auto& units : plan.units) {
    RC_ASSERT(!units.empty());
    ++used[units];
    for (const unsigned unit : units) {
      RC_ASSERT(
          std::any_of(allowed.begin(), allowed.end(), [unit](const auto& a) { return a.os_index == unit; }));
    }
  }
  RC_ASSERT(used[plan.units[0]] == 1u);
  used.erase(plan.units[0]);
  std::size_t least = threads, most = 0;
  for (const auto& [units, count] : used) {
    least = std::min(least, count);
    most = std::max(most, count);
  }
  RC_ASSERT(most - least <= 1u);
}

// ---- The watchdog ----

TEST(LoopWatchdog, NamesALoopOnceAndAgainWhenItGoesOn) {
  using Change = LoopWatchdog::Transition;
  LoopWatchdog watchdog(2, 3);
  EXPECT_EQ(watchdog.Observe(0, 1), Change::kNone);
  EXPECT_EQ(watchdog.Observe(0, 1), Change::kNone);
  EXPECT_EQ(watchdog.Observe(0, 2), Change::kNone);
  EXPECT_EQ(watchdog.Observe(0, 2), Change::kNone);
  EXPECT_EQ(watchdog.Observe(0, 2), Change::kNone);
  EXPECT_EQ(watchdog.Observe(0, 2), Change::kStalled);
  EXPECT_EQ(watchdog.Observe(0, 2), Change::kNone);
  EXPECT_TRUE(watchdog.is_stalled(0));
  EXPECT_FALSE(watchdog.is_stalled(1));
  EXPECT_EQ(watchdog.Observe(0, 3), Change::kRecovered);
  EXPECT_FALSE(watchdog.is_stalled(0));
}

}  // namespace
}  // namespace hingelink::decide
