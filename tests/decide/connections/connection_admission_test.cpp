#include "decide/connections/connection_admission.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <variant>

namespace hingelink::decide {
namespace {

using namespace std::chrono_literals;

// The value of a connection that cannot be evicted.
constexpr int kUnevictable = 9;

// Simulates event loops whose connections have given values. Executes the actions of a ConnectionAdmission,
// and answers its requests when AnswerAll() is called.
class LoopsModel {
 public:
  LoopsModel(std::vector<std::vector<int>> values, std::size_t max_connections)
      : values_(std::move(values)),
        admission_({.loops = values_.size(), .max_connections = max_connections}) {}

  void Accept() { Execute(admission_.OnAccepted(Counts())); }
  void Execute(const ConnectionAdmission::Actions& actions) {
    for (const ConnectionAdmission::Action& action : actions) {
      if (std::holds_alternative<ConnectionAdmission::Admit>(action)) {
        values_[0].push_back(kUnevictable);
        ++admitted;
      } else if (std::holds_alternative<ConnectionAdmission::Reject>(action)) {
        ++rejected;
      } else if (std::holds_alternative<ConnectionAdmission::PauseListener>(action)) {
        is_paused = true;
      } else if (std::holds_alternative<ConnectionAdmission::ResumeListener>(action)) {
        is_paused = false;
      } else {
        unanswered_.push_back(action);
      }
    }
  }
  // Answers all requests, including those that result from the answers.
  void AnswerAll(bool evictions_fail = false) {
    while (!unanswered_.empty()) {
      const ConnectionAdmission::Action action = unanswered_.front();
      unanswered_.pop_front();
      if (const auto* request = std::get_if<ConnectionAdmission::RequestCandidate>(&action)) {
        Execute(admission_.OnCandidate(request->loop, LeastValuable(request->loop), Counts()));
      } else {
        AnswerEviction(std::get<ConnectionAdmission::Evict>(action).loop, evictions_fail);
      }
    }
  }
  std::vector<std::size_t> Counts() const {
    std::vector<std::size_t> counts;
    for (const auto& values : values_) counts.push_back(values.size());
    return counts;
  }
  std::size_t Total() const {
    const std::vector<std::size_t> counts = Counts();
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
  }
  ConnectionAdmission& admission() { return admission_; }
  bool has_unanswered() const { return !unanswered_.empty(); }

  int admitted = 0;
  int rejected = 0;
  bool is_paused = false;
  std::vector<int> evicted;

 private:
  std::optional<ConnectionValue> LeastValuable(std::size_t loop) const {
    const auto& values = values_[loop];
    const auto least = std::min_element(values.begin(), values.end());
    if (least == values.end() || *least == kUnevictable) return std::nullopt;
    return ConnectionValue{*least, 0ns};
  }
  void AnswerEviction(std::size_t loop, bool fails) {
    if (fails) {
      Execute(admission_.OnEvicted(loop, false, Counts()));
      return;
    }
    auto& values = values_[loop];
    const auto least = std::min_element(values.begin(), values.end());
    evicted.push_back(*least);
    values.erase(least);
    Execute(admission_.OnClosed(Counts()));
    Execute(admission_.OnEvicted(loop, true, Counts()));
  }

  std::vector<std::vector<int>> values_;  // By loop.
  ConnectionAdmission admission_;
  std::deque<ConnectionAdmission::Action> unanswered_;
};

TEST(ConnectionAdmission, EvictsTheLeastValuableConnectionOfAllLoops) {
  LoopsModel model({{5, 4}, {3, kUnevictable}, {2, 7}}, 6);
  for (int i = 0; i < 5; ++i) {
    model.Accept();
    model.AnswerAll();
  }
  EXPECT_EQ(model.evicted, (std::vector<int>{2, 3, 4, 5, 7}));
  EXPECT_EQ(model.admitted, 5);
}

TEST(ConnectionAdmission, RejectsWhenNoConnectionCanBeEvicted) {
  LoopsModel model({{2}, {kUnevictable}}, 2);
  model.Accept();
  model.AnswerAll();
  ASSERT_EQ(model.admitted, 1);
  model.Accept();
  model.AnswerAll();
  EXPECT_EQ(model.rejected, 1);
}

TEST(ConnectionAdmission, PausesTheListenerAtTheLimitOfPendingConnections) {
  LoopsModel model({{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, {1}}, 11);
  for (int i = 0; i < 7; ++i) model.Accept();
  EXPECT_FALSE(model.is_paused);
  model.Accept();
  EXPECT_TRUE(model.is_paused);
}

TEST(ConnectionAdmission, ResumesTheListenerOnceThePendingConnectionsAreAdmitted) {
  LoopsModel model({{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, {1}}, 11);
  for (int i = 0; i < 8; ++i) model.Accept();
  model.AnswerAll();
  EXPECT_FALSE(model.is_paused);
  EXPECT_EQ(model.admitted, 8);
  EXPECT_EQ(model.evicted.size(), 8u);
}

TEST(ConnectionAdmission, RejectsAfterRepeatedlyFailedEvictions) {
  LoopsModel model({{1, 1}}, 2);
  model.Accept();
  model.AnswerAll(true);
  EXPECT_EQ(model.rejected, 1);
}

TEST(ConnectionAdmission, AStalledLoopReceivesNoRequests) {
  LoopsModel model({{1}, {2}}, 2);
  model.Execute(model.admission().SetStalled(0, true, model.Counts()));
  model.Accept();
  model.AnswerAll();
  EXPECT_EQ(model.evicted, (std::vector<int>{2}));
}

TEST(ConnectionAdmission, ARecoveredLoopReceivesRequests) {
  LoopsModel model({{1}, {2}}, 2);
  model.Execute(model.admission().SetStalled(0, true, model.Counts()));
  model.Execute(model.admission().SetStalled(0, false, model.Counts()));
  model.Accept();
  model.AnswerAll();
  EXPECT_EQ(model.evicted, (std::vector<int>{1}));
}

TEST(ConnectionAdmission, LoopThatStallsBeforeAnsweringCountsAsHavingNoCandidate) {
  LoopsModel model({{1}, {2}}, 2);
  model.Accept();
  ASSERT_TRUE(model.has_unanswered());
  model.Execute(model.admission().SetStalled(1, true, model.Counts()));
  model.Execute(model.admission().OnCandidate(0, std::nullopt, model.Counts()));
  EXPECT_EQ(model.rejected, 1);
}

TEST(ConnectionAdmission, SharedLimitDoesNotPauseTheListenerBeforeItIsReached) {
  LoopsModel model({{kUnevictable}, {kUnevictable}}, 100);
  model.Execute(model.admission().SetMaxConnections(2, true, model.Counts()));
  EXPECT_FALSE(model.is_paused);
}

// A shared limit that has been reached: one connection is pending, and no connection can be evicted.
class SharedLimit : public testing::Test {
 protected:
  void SetUp() override {
    model_.Execute(model_.admission().SetMaxConnections(2, true, model_.Counts()));
    model_.Accept();
    model_.AnswerAll();
  }

  LoopsModel model_{{{kUnevictable}, {kUnevictable}}, 100};
};

TEST_F(SharedLimit, PausesTheListenerInsteadOfRejecting) {
  EXPECT_TRUE(model_.is_paused);
  EXPECT_EQ(model_.rejected, 0);
}

TEST_F(SharedLimit, RetryingAdmitsNothingWhileTheLimitIsReached) {
  model_.Execute(model_.admission().RetryPending(model_.Counts()));
  model_.AnswerAll();
  EXPECT_EQ(model_.admitted, 0);
}

TEST_F(SharedLimit, RaisingTheLimitAdmitsThePendingConnection) {
  model_.Execute(model_.admission().RetryPending(model_.Counts()));
  model_.AnswerAll();
  model_.Execute(model_.admission().SetMaxConnections(10, true, model_.Counts()));
  EXPECT_EQ(model_.admitted, 1);
  EXPECT_FALSE(model_.is_paused);
}

RC_GTEST_PROP(ConnectionAdmission, EachConnectionIsAdmittedOrRejectedAndTheLimitHolds, ()) {
  const auto limit = *rc::gen::inRange<std::size_t>(4, 15);
  LoopsModel model({{1, 2}, {}, {kUnevictable}}, limit);
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
  int accepted = 0;
  for (const int step : steps) {
    if (step < 3 && !model.is_paused) {
      model.Accept();
      ++accepted;
    } else {
      model.AnswerAll(step == 4);
    }
    RC_ASSERT(model.Total() <= limit);
  }
  model.AnswerAll();
  RC_ASSERT(model.admitted + model.rejected == accepted);
  RC_ASSERT(model.admission().pending() == 0u);
}

}  // namespace
}  // namespace hingelink::decide
