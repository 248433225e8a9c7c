#include "decide/connections/connection_locations.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <iterator>
#include <map>
#include <set>
#include <variant>

namespace hingelink::decide {
namespace {

// Simulates a node and its event loops. The node sends orders to each loop and receives its reports, over
// queues that keep their order. A loop handles one order at a time. A request is identified by its connection
// and a number. The model checks that each answer reaches the loop that owns the connection.
class LoopsModel {
 public:
  struct Answer {
    ConnectionId id = 0;
    int request = 0;
  };

  explicit LoopsModel(std::size_t count) : locations_(count), loops_(count) {}

  void Connect(LoopIndex loop) {
    const ConnectionId id = locations_.Add(loop);
    loops_[loop].orders.push_back(Adopt{id, {}});
  }
  // The peer of one of the loop's connections sends a request.
  void SendRequest(LoopIndex loop, std::size_t draw) {
    auto* connection = Pick(loop, draw);
    if (connection == nullptr) return;
    connection->second.insert(++last_request_);
    loops_[loop].reports.push_back(RequestRead{connection->first, last_request_});
    unanswered_.insert(last_request_);
  }
  // The peer of one of the loop's connections cancels its oldest request.
  void CancelRequest(LoopIndex loop, std::size_t draw) {
    auto* connection = Pick(loop, draw);
    if (connection == nullptr || connection->second.empty()) return;
    const int request = *connection->second.begin();
    connection->second.erase(request);
    unanswered_.erase(request);
    loops_[loop].reports.push_back(RequestCancelled{connection->first, request});
  }
  // One of the loop's connections is closed, which cancels its requests.
  void Close(LoopIndex loop, std::size_t draw) {
    auto* connection = Pick(loop, draw);
    if (connection == nullptr) return;
    for (const int request : connection->second) {
      unanswered_.erase(request);
      loops_[loop].reports.push_back(RequestCancelled{connection->first, request});
    }
    loops_[loop].reports.push_back(Closed{connection->first});
    loops_[loop].open.erase(connection->first);
  }
  // The node begins to move one of the connections that it knows; that connection may have been closed
  // meanwhile.
  void BeginMove(std::size_t draw, LoopIndex target) {
    LearnConnections();
    if (known_.empty()) return;
    const ConnectionId id = *std::next(known_.begin(), static_cast<std::ptrdiff_t>(draw % known_.size()));
    if (const auto owner = locations_.BeginMove(id, target)) loops_[*owner].orders.push_back(Release{id});
  }
  // The loop handles its next order. `releasable`: whether a connection that the order asks to release can be
  // released, which is so between two frames.
  void HandleOrder(LoopIndex index, bool releasable) {
    Loop& loop = loops_[index];
    if (loop.orders.empty()) return;
    const Order order = std::move(loop.orders.front());
    loop.orders.pop_front();
    if (const auto* adopt = std::get_if<Adopt>(&order)) {
      loop.open[adopt->id] = adopt->open;
    } else if (const auto* release = std::get_if<Release>(&order)) {
      HandleRelease(loop, release->id, releasable);
    } else {
      Deliver(loop, std::get<Answer>(order));
    }
  }
  // The node handles the loop's next report.
  void HandleReport(LoopIndex index) {
    Loop& loop = loops_[index];
    if (loop.reports.empty()) return;
    const Report report = std::move(loop.reports.front());
    loop.reports.pop_front();
    if (const auto* request = std::get_if<RequestRead>(&report)) {
      // A request is never reported after its cancellation.
      RC_ASSERT(cancelled_.count(request->number) == 0u);
      RC_ASSERT(in_flight_.emplace(request->number, request->id).second);
    } else if (const auto* cancelled = std::get_if<RequestCancelled>(&report)) {
      cancelled_.insert(cancelled->number);
      in_flight_.erase(cancelled->number);
    } else if (const auto* closed = std::get_if<Closed>(&report)) {
      RC_ASSERT(locations_.Remove(closed->id, index));
      known_.erase(closed->id);
      location_.erase(closed->id);
    } else {
      HandleReleased(index, std::get<Released>(report));
    }
  }
  // The node answers one of the requests in flight.
  void AnswerRequest(std::size_t draw) {
    if (in_flight_.empty()) return;
    const auto it = std::next(in_flight_.begin(), static_cast<std::ptrdiff_t>(draw % in_flight_.size()));
    Answer answer{it->second, it->first};
    in_flight_.erase(it);
    if (const auto loop = locations_.Route(answer.id, answer)) loops_[*loop].orders.push_back(answer);
  }
  // Handles all orders and reports, and answers every request.
  void Settle() {
    for (int round = 0; round < 1000; ++round) {
      for (LoopIndex i = 0; i < loops_.size(); ++i) {
        HandleOrder(i, true);
        HandleReport(i);
      }
      AnswerRequest(0);
    }
  }
  void CheckSettled() const {
    RC_ASSERT(unanswered_.empty());
    RC_ASSERT(!locations_.has_pending_moves());
    std::size_t total = 0;
    for (LoopIndex i = 0; i < loops_.size(); ++i) {
      RC_ASSERT(loops_[i].orders.empty() && loops_[i].reports.empty());
      RC_ASSERT(locations_.count(i) == loops_[i].open.size());
      total += loops_[i].open.size();
    }
    RC_ASSERT(locations_.size() == total);
    RC_ASSERT(locations_.moved_count() <= total);
  }

 private:
  struct Adopt {
    ConnectionId id;
    std::set<int> open;
  };
  struct Release {
    ConnectionId id;
  };
  struct RequestRead {
    ConnectionId id;
    int number;
  };
  struct RequestCancelled {
    ConnectionId id;
    int number;
  };
  struct Closed {
    ConnectionId id;
  };
  struct Released {
    ConnectionId id;
    bool released;
    std::set<int> open;
  };
  using Order = std::variant<Adopt, Release, Answer>;
  using Report = std::variant<RequestRead, RequestCancelled, Closed, Released>;
  struct Loop {
    std::map<ConnectionId, std::set<int>> open;  // Requests by connection.
    std::deque<Order> orders;
    std::deque<Report> reports;
  };

  std::pair<const ConnectionId, std::set<int>>* Pick(LoopIndex loop, std::size_t draw) {
    auto& open = loops_[loop].open;
    if (open.empty()) return nullptr;
    return &*std::next(open.begin(), static_cast<std::ptrdiff_t>(draw % open.size()));
  }
  static void HandleRelease(Loop& loop, ConnectionId id, bool releasable) {
    const auto it = loop.open.find(id);
    if (it == loop.open.end() || !releasable) {
      loop.reports.push_back(Released{id, false, {}});
      return;
    }
    loop.reports.push_back(Released{id, true, it->second});
    loop.open.erase(it);
  }
  void Deliver(Loop& loop, const Answer& answer) {
    const auto it = loop.open.find(answer.id);
    const bool is_closed = it == loop.open.end();
    if (is_closed) return;
    const bool is_cancelled = it->second.erase(answer.request) == 0;
    if (is_cancelled) return;
    RC_ASSERT(unanswered_.erase(answer.request) == 1u);
  }
  void HandleReleased(LoopIndex index, const Released& released) {
    const auto finished = locations_.FinishMove(released.id, index, released.released);
    if (!finished) {
      // The connection was closed before the loop read the request to release it.
      RC_ASSERT(!released.released);
      return;
    }
    if (released.released) {
      location_[released.id] = finished->loop;
      loops_[finished->loop].orders.push_back(Adopt{released.id, released.open});
    }
    for (const Answer& answer : finished->held_answers) loops_[finished->loop].orders.push_back(answer);
  }
  void LearnConnections() {
    for (LoopIndex i = 0; i < loops_.size(); ++i) {
      for (const auto& [id, open] : loops_[i].open) {
        if (location_.emplace(id, i).second) known_.insert(id);
      }
    }
  }

  ConnectionLocations<Answer> locations_;
  std::vector<Loop> loops_;
  std::map<ConnectionId, LoopIndex> location_;  // According to the node.
  std::set<ConnectionId> known_;
  std::map<int, ConnectionId> in_flight_;
  std::set<int> unanswered_, cancelled_;
  int last_request_ = 0;
};

// Executes a random step of the model. `draw`: a random number that selects the loop and the connection.
void ExecuteStep(LoopsModel& model, std::size_t count, int step, std::uint32_t draw) {
  const LoopIndex loop = draw % count;
  const std::size_t rest = draw / count;
  switch (step) {
    case 0:
      model.Connect(loop);
      break;
    case 1:
    case 2:
      model.SendRequest(loop, rest);
      break;
    case 3:
      model.CancelRequest(loop, rest);
      break;
    case 4:
      if (rest % 4 == 0) model.Close(loop, rest / 4);
      break;
    case 5:
    case 6:
      model.BeginMove(rest, rest / 7 % count);
      break;
    case 7:
      model.AnswerRequest(rest);
      break;
    case 8:
    case 9:
      model.HandleReport(loop);
      break;
    default:
      model.HandleOrder(loop, rest % 3 != 0);
  }
}

RC_GTEST_PROP(ConnectionLocations, EachRequestIsAnsweredOnceWhileConnectionsMove, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 5);
  LoopsModel model(count);
  const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::arbitrary<std::uint32_t>()));
  for (const auto& [step, draw] : steps) ExecuteStep(model, count, step, draw);
  model.Settle();
  model.CheckSettled();
}

// A connection that is being moved from loop 0 to loop 1. One answer was sent to it before the move.
class MovingConnection : public testing::Test {
 protected:
  void SetUp() override {
    EXPECT_EQ(locations_.Route(id_, first_answer_), LoopIndex{0});
    ASSERT_EQ(locations_.BeginMove(id_, 1), LoopIndex{0});
  }

  ConnectionLocations<int> locations_{2};
  const ConnectionId id_ = locations_.Add(0);
  int first_answer_ = 1, second_answer_ = 2, third_answer_ = 3;
};

TEST_F(MovingConnection, CannotBeMovedAgainBeforeTheMoveIsFinished) {
  EXPECT_TRUE(locations_.has_pending_moves());
  EXPECT_FALSE(locations_.BeginMove(id_, 1));
}

TEST_F(MovingConnection, AnswersAreHeldAndReleasedInOrder) {
  EXPECT_FALSE(locations_.Route(id_, second_answer_));
  EXPECT_FALSE(locations_.Route(id_, third_answer_));
  const auto finished = locations_.FinishMove(id_, 0, true);
  ASSERT_TRUE(finished);
  EXPECT_EQ(finished->loop, 1u);
  EXPECT_EQ(finished->held_answers, (std::vector<int>{2, 3}));
}

TEST_F(MovingConnection, MoveCannotBeFinishedByALoopThatIsNotTheOwner) {
  EXPECT_FALSE(locations_.FinishMove(id_, 1, true));
  EXPECT_TRUE(locations_.has_pending_moves());
}

TEST_F(MovingConnection, IsCountedOnTheTargetLoopOnceReleased) {
  ASSERT_TRUE(locations_.FinishMove(id_, 0, true));
  EXPECT_FALSE(locations_.has_pending_moves());
  EXPECT_EQ(locations_.count(0), 0u);
  EXPECT_EQ(locations_.count(1), 1u);
  EXPECT_EQ(locations_.moved_count(), 1u);
}

TEST_F(MovingConnection, EntryIsRemovedWhenItReturnsToItsFirstLoop) {
  ASSERT_TRUE(locations_.FinishMove(id_, 0, true));
  ASSERT_TRUE(locations_.BeginMove(id_, 0));
  ASSERT_TRUE(locations_.FinishMove(id_, 1, true));
  EXPECT_EQ(locations_.moved_count(), 0u);
}

}  // namespace
}  // namespace hingelink::decide
