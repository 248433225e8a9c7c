// Which connection to the store a call goes over, and when a silent one is left and ended.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "decide/store/place.h"
#include "decide/store/silence.h"

namespace hingelink::decide {
namespace {

using Span = StoreSilence::Span;
using Verdict = StoreSilence::Verdict;

TEST(StorePlace, OneCallForEachConnectionWhileMoreMayBeOpened) {
  std::vector<StorePlace> places;
  for (int call = 0; call < 100; ++call) {
    const std::size_t at = ChooseStorePlace(places, true);
    if (at == kNoPlace) places.emplace_back();
    ++places[at == kNoPlace ? places.size() - 1 : at].calls;
  }
  ASSERT_EQ(places.size(), kStoreConnections);
  for (const StorePlace& place : places) EXPECT_LE(place.calls, 100 / kStoreConnections + 1);
  // Those that are free go first, the first of them: the others run out of use.
  places[5].calls = places[9].calls = 0;
  EXPECT_EQ(ChooseStorePlace(places, true), 5u);
}

TEST(StorePlace, AStoreThatHasNotAnsweredSinceItFailedIsMetByOneConnection) {
  const std::vector<StorePlace> places(1, {.calls = 30, .barred = false});
  EXPECT_EQ(ChooseStorePlace(places, false), 0u);
  EXPECT_EQ(ChooseStorePlace({}, false), kNoPlace);
}

RC_GTEST_PROP(StorePlace, NeverBarredAndNeverAboveTheBoundAndNeverMoreThanTheLeast, ()) {
  std::vector<StorePlace> places(*rc::gen::inRange<std::size_t>(0, kStoreConnections + 1));
  for (StorePlace& place : places) {
    place.calls = *rc::gen::inRange<std::size_t>(0, 5);
    place.barred = *rc::gen::arbitrary<bool>();
  }
  const std::size_t at = ChooseStorePlace(places, *rc::gen::arbitrary<bool>());
  const bool all_barred = std::all_of(places.begin(), places.end(), [](const auto& p) { return p.barred; });
  if (at == kNoPlace) {
    RC_ASSERT(all_barred || places.size() < kStoreConnections);
    return;
  }
  RC_ASSERT(!places[at].barred);
  for (const StorePlace& other : places) RC_ASSERT(other.barred || other.calls >= places[at].calls);
}

TEST(StoreSilence, OneThatIsOvertakenEndsSoonAndOneOfManySlowOnesDoesNot) {
  StoreSilence silence;
  for (int i = 0; i < 50; ++i) silence.Replied(Span(30));
  const Span patience = silence.Patience();
  EXPECT_NEAR(patience.count(), 8 * 30, 1);
  EXPECT_EQ(silence.See(patience * 0.9, Span(0), true, 100), Verdict::kWait);
  EXPECT_EQ(silence.See(patience, Span(0), false, 100), Verdict::kWait);
  EXPECT_EQ(silence.See(patience, Span(0), true, 100), Verdict::kLeave);
  EXPECT_EQ(silence.See(patience, patience, true, StoreSilence::kOvertaken), Verdict::kEnd);
  EXPECT_EQ(silence.See(patience * 9, patience, true, StoreSilence::kOvertaken - 1), Verdict::kWait);
  EXPECT_EQ(silence.See(patience * 10, patience, true, 0), Verdict::kEnd);
  EXPECT_EQ(silence.See(StoreSilence::kDeadMost, StoreSilence::kMost, true, 0), Verdict::kEnd);
}

TEST(StoreSilence, ConnectionsLeftInVainMakeItPatientAndAReplyForgetsThem) {
  StoreSilence silence;
  Span before{0};
  for (int i = 0; i < 10; ++i) {
    const Span patience = silence.Patience();
    EXPECT_GE(patience, before);
    EXPECT_EQ(silence.See(patience, Span(0), true, 0), Verdict::kLeave);
    before = patience;
  }
  EXPECT_EQ(silence.Patience(), StoreSilence::kMost);
  silence.Replied(Span(10));
  EXPECT_EQ(silence.Patience(), StoreSilence::kLeast);
}

}  // namespace
}  // namespace hingelink::decide
