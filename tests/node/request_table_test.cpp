// Keyed tries that wait for the word of a predecessor: answered by their due time, and decided by the
// settings that hold when they are told to the module.
#include "node/request_table.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace hingelink::node {
namespace {

using namespace std::chrono_literals;

class RecordingFront : public core::FrontEnd {
 public:
  void Deliver(StreamAddress to, const FinalAnswer& answer) override {
    answers.emplace_back(to.stream, answer.verdict);
  }
  void SetHealth(bool, bool) override {}
  void AnswerHealthCheck(StreamAddress, bool) override {}
  void SetLoadSignal(double) override {}
  void CloseIdle(std::chrono::milliseconds) override {}

  std::vector<std::pair<std::uint32_t, core::Verdict>> answers;
};

class KeptBackTest : public testing::Test {
 protected:
  static hingelink::RequestClass Keyed(const std::string& name, double deadline_ms) {
    hingelink::RequestClass cls;
    cls.name = name;
    cls.deadline_ms = deadline_ms;
    cls.idempotency = hingelink::Idempotency::kKeyed;
    cls.idempotency_window_ms = 5000;
    return cls;
  }
  static hingelink::Settings MakeSettings() {
    hingelink::Settings settings;
    settings.classes = {Keyed("first", 900), Keyed("second", 700)};
    settings.tenants = {{"one", 0.5, 10}, {"two", 0.5, 10}};
    return settings;
  }

  void SetUp() override { table_.SetOthers(RequestTable::Others::kNotYet); }

  void Take(std::uint32_t stream, const std::string& kind, const std::string& owner) {
    core::IncomingRequest request;
    request.reply_to = {1, stream};
    request.class_name = kind;
    request.tenant = owner;
    request.request_id = stream;
    request.arrived_at = began_;
    request.remaining_wait = told_timeout_;
    request.idempotency_key = core::IdempotencyKey{stream, stream};
    request.body = "body";
    table_.Take(request);
  }
  std::vector<hingelink::Arrival> ArrivalsAt(UnixTime now) {
    std::vector<hingelink::Arrival> arrivals;
    for (const hingelink::Event& event : table_.TakeEvents(now)) {
      if (const auto* arrival = std::get_if<hingelink::Arrival>(&event)) arrivals.push_back(*arrival);
    }
    return arrivals;
  }

  const UnixTime began_ = std::chrono::system_clock::now();
  std::optional<Millis> told_timeout_;
  hingelink::Settings settings_ = MakeSettings();
  RecordingFront front_;
  Metrics metrics_{settings_.classes, 1};
  RequestTable table_{settings_,
                      front_,
                      metrics_,
                      [](auto, auto, auto) { return RequestTable::kNeverSent; },
                      Calls::Below{},
                      KeyTable::Limits{},
                      [](const IdempotencyKey&) {}};
};

// With the wait that its caller told, and without one, with its class's.
TEST_F(KeptBackTest, IsAnsweredByItsDueTime) {
  for (const bool told : {true, false}) {
    settings_.callers_send_remaining_wait = told;
    if (told) told_timeout_ = 300ms;
    const auto due = told ? 300ms : 700ms;
    front_.answers.clear();
    Take(told ? 1 : 2, "second", "one");
    EXPECT_TRUE(ArrivalsAt(began_ + 1ms).empty());
    EXPECT_TRUE(ArrivalsAt(began_ + due - 50ms).empty());
    EXPECT_TRUE(front_.answers.empty());
    EXPECT_TRUE(ArrivalsAt(began_ + due - 10ms).empty());
    // Failed: the predecessor may have run it.
    ASSERT_EQ(front_.answers.size(), 1u);
    EXPECT_EQ(front_.answers[0].second, core::Verdict::kFailed);
    EXPECT_EQ(table_.unanswered(), 0u);
  }
  // What came of it later is told to nobody.
  table_.SetOthers(RequestTable::Others::kKnown);
  EXPECT_TRUE(ArrivalsAt(began_ + 1s).empty());
}

TEST_F(KeptBackTest, IsForgottenWhereItsCallerLeaves) {
  Take(1, "first", "one");
  EXPECT_TRUE(ArrivalsAt(began_ + 1ms).empty());
  table_.CallerDisconnected({1, 1});
  table_.SetOthers(RequestTable::Others::kKnown);
  EXPECT_TRUE(ArrivalsAt(began_ + 2ms).empty());
  EXPECT_TRUE(front_.answers.empty());
  EXPECT_TRUE(table_.empty());
}

// New settings in another order, in between: the try is decided as one of its own class and tenant.
TEST_F(KeptBackTest, KeepsItsClassAndTenantThroughAReload) {
  Take(1, "first", "two");
  EXPECT_TRUE(ArrivalsAt(began_ + 1ms).empty());
  settings_.classes = {Keyed("new", 100), Keyed("second", 700), Keyed("first", 900)};
  settings_.tenants = {{"two", 0.5, 10}, {"three", 0.5, 10}};
  table_.Reconfigure();
  table_.SetOthers(RequestTable::Others::kKnown);
  const auto arrivals = ArrivalsAt(began_ + 2ms);
  ASSERT_EQ(arrivals.size(), 1u);
  EXPECT_EQ(arrivals[0].request_class, 2);
  EXPECT_EQ(arrivals[0].tenant, 0);
}

TEST_F(KeptBackTest, FailsWhereItsClassOrTenantIsDropped) {
  Take(1, "second", "one");
  Take(2, "first", "two");
  EXPECT_TRUE(ArrivalsAt(began_ + 1ms).empty());
  settings_.classes = {Keyed("first", 900)};
  settings_.tenants = {{"one", 0.5, 10}};
  table_.Reconfigure();
  table_.SetOthers(RequestTable::Others::kKnown);
  EXPECT_TRUE(ArrivalsAt(began_ + 2ms).empty());
  ASSERT_EQ(front_.answers.size(), 2u);
  for (const auto& [stream, verdict] : front_.answers) EXPECT_EQ(verdict, core::Verdict::kFailed) << stream;
  EXPECT_TRUE(table_.empty());
}

}  // namespace
}  // namespace hingelink::node
