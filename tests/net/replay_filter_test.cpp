#include "net/replay_filter.h"

#include <gtest/gtest.h>

namespace hingelink::net {
namespace {

constexpr std::uint64_t kSender = 7;

TEST(ReplayFilter, AcceptsEachCounterOnce) {
  ReplayFilter filter(4);
  for (const std::uint64_t counter : {3, 1, 2, 5}) EXPECT_TRUE(filter.Accept(kSender, counter));
  for (const std::uint64_t counter : {3, 1, 2, 5}) EXPECT_FALSE(filter.Accept(kSender, counter));
  EXPECT_TRUE(filter.Accept(kSender, 4));
}

TEST(ReplayFilter, RejectsCounterZero) {
  ReplayFilter filter(4);
  EXPECT_FALSE(filter.Accept(kSender, 0));
  EXPECT_EQ(filter.senders(), 0U);
}

TEST(ReplayFilter, RejectsCountersBehindTheWindow) {
  ReplayFilter filter(4);
  EXPECT_TRUE(filter.Accept(kSender, ReplayFilter::kWindow + 1));
  EXPECT_FALSE(filter.Accept(kSender, 1));
  EXPECT_TRUE(filter.Accept(kSender, 2));
}

TEST(ReplayFilter, ResetsTheWindowWhenTheCounterJumpsPastIt) {
  ReplayFilter filter(4);
  EXPECT_TRUE(filter.Accept(kSender, 5));
  EXPECT_TRUE(filter.Accept(kSender, 5 + 3 * ReplayFilter::kWindow));
  // Every counter in the window was skipped. The jump must have cleared the bits that earlier counters set.
  EXPECT_TRUE(filter.Accept(kSender, 4 + 3 * ReplayFilter::kWindow));
  EXPECT_FALSE(filter.Accept(kSender, 4 + 3 * ReplayFilter::kWindow));
}

TEST(ReplayFilter, KeepsASeparateWindowForEachSender) {
  ReplayFilter filter(4);
  EXPECT_TRUE(filter.Accept(1, 1));
  EXPECT_TRUE(filter.Accept(2, 1));
  EXPECT_FALSE(filter.Accept(1, 1));
}

TEST(ReplayFilter, EvictsTheLongestInactiveSender) {
  ReplayFilter filter(2);
  EXPECT_TRUE(filter.Accept(1, 1));
  EXPECT_TRUE(filter.Accept(2, 1));
  EXPECT_TRUE(filter.Accept(1, 2));
  EXPECT_TRUE(filter.Accept(3, 1));
  EXPECT_EQ(filter.senders(), 2U);
  EXPECT_FALSE(filter.Accept(1, 2));
  EXPECT_TRUE(filter.Accept(2, 1));  // Its window was evicted.
}

}  // namespace
}  // namespace hingelink::net
