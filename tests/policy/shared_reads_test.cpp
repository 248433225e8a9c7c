// Tests of reads of one subject that share one execution.
#include <gtest/gtest.h>

#include "policy_host.h"

namespace hingelink {
namespace {

Settings CachingSettings() {
  Settings settings = TestSettings();
  settings.read_cache_ttl_ms = 600;
  return settings;
}

Arrival MakeRead(const PolicyHost& host, RequestId id, RequestId original) {
  Arrival arrival = host.MakeArrival(id, kRead, original);
  arrival.subject = 77;
  return arrival;
}

TEST(SharedReads, ReadsWaitForTheRunningReadAndAreReplayedItsResult) {
  PolicyHost host(CachingSettings());
  host.Step({MakeRead(host, 1, 0)});
  host.Step({MakeRead(host, 2, 1), MakeRead(host, 3, 1)});
  EXPECT_EQ(host.replays[2] + host.starts[2], 0);
  EXPECT_EQ(host.retained_keys.count(1), 1u);
  host.Finish(1);
  EXPECT_EQ(host.replays[2], 1);
  EXPECT_EQ(host.replays[3], 1);
  host.Step({MakeRead(host, 4, 1)});
  EXPECT_EQ(host.replays[4], 1);
  EXPECT_EQ(host.starts[4], 0);
}

TEST(SharedReads, NextWaiterStartsWhenTheReadFails) {
  PolicyHost host(CachingSettings());
  host.Step({MakeRead(host, 1, 0)});
  host.Step({MakeRead(host, 2, 1), MakeRead(host, 3, 1)});
  host.Finish(1, Outcome::kError);
  EXPECT_EQ(host.starts[2], 1);
  EXPECT_EQ(host.starts[3] + host.replays[3], 0);
  host.Finish(2);
  EXPECT_EQ(host.replays[3], 1);
}

TEST(SharedReads, NextWaiterStartsWhenTheQueuedHolderDisconnects) {
  PolicyHost host(CachingSettings());
  host.runnable = 4;
  host.FillCores();
  host.Step({MakeRead(host, 1, 0)});
  host.Step({MakeRead(host, 2, 1)});
  host.Step({CallerDisconnected{1}});
  host.Finish(1000);
  EXPECT_EQ(host.starts[2], 1);
}

TEST(SharedReads, KeyIsReleasedWhenTheCachedResultExpires) {
  PolicyHost host(CachingSettings());
  host.Step({MakeRead(host, 1, 0)});
  host.Finish(1);
  host.AdvanceTo(host.now + 500);
  EXPECT_EQ(host.retained_keys.count(1), 1u);
  host.AdvanceTo(host.now + 200);
  EXPECT_EQ(host.retained_keys.count(1), 0u);
  host.Step({MakeRead(host, 2, 0)});
  EXPECT_EQ(host.starts[2], 1);
}

TEST(SharedReads, WritesReadsWithoutSubjectAndReadsOfUnknownOriginalsAreNotShared) {
  PolicyHost host(CachingSettings());
  Arrival write = MakeRead(host, 1, 0);
  write.is_write = true;
  host.Step({write, host.MakeArrival(2)});
  EXPECT_EQ(host.starts[1], 1);
  EXPECT_EQ(host.starts[2], 1);
  EXPECT_TRUE(host.retained_keys.empty());
  host.Finish(1);
  host.Finish(2);
  host.Step({MakeRead(host, 3, 999)});
  EXPECT_EQ(host.starts[3], 1);
}

// Waiting reads do not count towards the queue limit, so the memory limit must stop them.
TEST(SharedReads, ReadsOfOneSubjectDoNotFillTheMemory) {
  PolicyHost host(CachingSettings());
  host.runnable = 4;
  host.FillCores();
  host.Step({MakeRead(host, 1, 0)});
  for (RequestId id = 2; id < 900; ++id) host.Step({MakeRead(host, id, 1)});
  EXPECT_GT(host.rejections.size(), 500u);
  host.AdvanceTo(host.now + 4000);
  for (RequestId id = 1; id < 900; ++id) {
    EXPECT_EQ(host.starts[id] + host.rejections[id] + host.failures[id] + host.replays[id], 1) << id;
  }
}

}  // namespace
}  // namespace hingelink
