// Which connection to the store a call goes over, and when a silent one is left and ended.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "decide/upstream/connection_selection.h"
#include "decide/upstream/unresponsive_connection.h"

namespace hingelink::decide {
namespace {

using Span = UnresponsiveConnectionDetector::Span;
using Verdict = UnresponsiveConnectionDetector::Verdict;

TEST(ConnectionCandidate, OneCallForEachConnectionWhileMoreMayBeOpened) {
  std::vector<ConnectionCandidate> places;
  for (int call = 0; call < 100; ++call) {
    const std::size_t at = SelectConnection(places, true);
    if (at == kNewConnection) places.emplace_back();
    ++places[at == kNewConnection ? places.size() - 1 : at].in_flight;
  }
  ASSERT_EQ(places.size(), kMaxUpstreamConnections);
  for (const ConnectionCandidate& place : places)
    EXPECT_LE(place.in_flight, 100 / kMaxUpstreamConnections + 1);
  // Those that are free go first, the first of them: the others run out of use.
  places[5].in_flight = places[9].in_flight = 0;
  EXPECT_EQ(SelectConnection(places, true), 5u);
}

TEST(ConnectionCandidate, AStoreThatHasNotAnsweredSinceItFailedIsMetByOneConnection) {
  const std::vector<ConnectionCandidate> places(1, {.in_flight = 30, .excluded = false});
  EXPECT_EQ(SelectConnection(places, false), 0u);
  EXPECT_EQ(SelectConnection({}, false), kNewConnection);
}

RC_GTEST_PROP(ConnectionCandidate, NeverBarredAndNeverAboveTheBoundAndNeverMoreThanTheLeast, ()) {
  std::vector<ConnectionCandidate> places(*rc::gen::inRange<std::size_t>(0, kMaxUpstreamConnections + 1));
  for (ConnectionCandidate& place : places) {
    place.in_flight = *rc::gen::inRange<std::size_t>(0, 5);
    place.excluded = *rc::gen::arbitrary<bool>();
  }
  const std::size_t at = SelectConnection(places, *rc::gen::arbitrary<bool>());
  const bool all_barred = std::all_of(places.begin(), places.end(), [](const auto& p) { return p.excluded; });
  if (at == kNewConnection) {
    RC_ASSERT(all_barred || places.size() < kMaxUpstreamConnections);
    return;
  }
  RC_ASSERT(!places[at].excluded);
  for (const ConnectionCandidate& other : places)
    RC_ASSERT(other.excluded || other.in_flight >= places[at].in_flight);
}

TEST(UnresponsiveConnectionDetector, OneThatIsOvertakenEndsSoonAndOneOfManySlowOnesDoesNot) {
  UnresponsiveConnectionDetector silence;
  for (int i = 0; i < 50; ++i) silence.OnReply(Span(30));
  const Span patience = silence.timeout();
  EXPECT_NEAR(patience.count(), 8 * 30, 1);
  EXPECT_EQ(silence.Evaluate(patience * 0.9, Span(0), true, 100), Verdict::kWait);
  EXPECT_EQ(silence.Evaluate(patience, Span(0), false, 100), Verdict::kWait);
  EXPECT_EQ(silence.Evaluate(patience, Span(0), true, 100), Verdict::kStopUsing);
  EXPECT_EQ(silence.Evaluate(patience, patience, true, UnresponsiveConnectionDetector::kMinOvertakingReplies),
            Verdict::kClose);
  EXPECT_EQ(silence.Evaluate(patience * 9, patience, true,
                             UnresponsiveConnectionDetector::kMinOvertakingReplies - 1),
            Verdict::kWait);
  EXPECT_EQ(silence.Evaluate(patience * 10, patience, true, 0), Verdict::kClose);
  EXPECT_EQ(silence.Evaluate(UnresponsiveConnectionDetector::kMaxDeadTimeout,
                             UnresponsiveConnectionDetector::kMaxTimeout, true, 0),
            Verdict::kClose);
}

TEST(UnresponsiveConnectionDetector, ConnectionsLeftInVainMakeItPatientAndAReplyForgetsThem) {
  UnresponsiveConnectionDetector silence;
  Span before{0};
  for (int i = 0; i < 10; ++i) {
    const Span patience = silence.timeout();
    EXPECT_GE(patience, before);
    EXPECT_EQ(silence.Evaluate(patience, Span(0), true, 0), Verdict::kStopUsing);
    before = patience;
  }
  EXPECT_EQ(silence.timeout(), UnresponsiveConnectionDetector::kMaxTimeout);
  silence.OnReply(Span(10));
  EXPECT_EQ(silence.timeout(), UnresponsiveConnectionDetector::kMinTimeout);
}

}  // namespace
}  // namespace hingelink::decide
