#include "decide/membership/tombstones.h"

#include <gtest/gtest.h>

#include "member_records.h"

namespace hingelink::decide::membership {
namespace {

TEST(Tombstones, CoversVersionsUpToTheRemovedOne) {
  Tombstones tombstones(10);
  tombstones.Add(MakeRecord("a", 5, 2));
  EXPECT_TRUE(tombstones.Covers(MakeRecord("a", 5, 2)));
  EXPECT_TRUE(tombstones.Covers(MakeRecord("a", 4, 9)));
  EXPECT_FALSE(tombstones.Covers(MakeRecord("a", 5, 3)));
  EXPECT_FALSE(tombstones.Covers(MakeRecord("b", 1)));
}

TEST(Tombstones, DropsOldestTombstonesBeyondCapacity) {
  Tombstones tombstones(2);
  for (const char* name : {"a", "b", "c"}) tombstones.Add(MakeRecord(name, 5));
  tombstones.EnforceCapacity();
  EXPECT_FALSE(tombstones.Covers(MakeRecord("a", 5)));
  EXPECT_TRUE(tombstones.Covers(MakeRecord("b", 5)));
  EXPECT_TRUE(tombstones.Covers(MakeRecord("c", 5)));
}

}  // namespace
}  // namespace hingelink::decide::membership
