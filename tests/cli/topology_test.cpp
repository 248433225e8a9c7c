#include "cli/topology.h"

#include <gtest/gtest.h>
#include <pthread.h>
#include <sched.h>

#include <algorithm>

#include "net/event.h"

namespace hingelink::cli {
namespace {

TEST(Topology, GivesTheUnitsThatThisProcessMayUse) {
  const auto all = AllowedUnits();
  cpu_set_t mine;
  ASSERT_EQ(sched_getaffinity(0, sizeof mine, &mine), 0);
  EXPECT_EQ(all.size(), static_cast<std::size_t>(CPU_COUNT(&mine)));
  for (const auto& unit : all) EXPECT_TRUE(CPU_ISSET(unit.os_index, &mine));
  // Started on a part of the machine, as by taskset: that part is all there is.
  const unsigned last = all.back().os_index;
  ASSERT_TRUE(net::PinThreadToCpus(pthread_self(), {last}));
  const auto part = AllowedUnits();
  ASSERT_EQ(part.size(), 1u);
  EXPECT_EQ(part[0].os_index, last);
  EXPECT_TRUE(decide::PlanCorePinning(part, 4).units.empty());
}

TEST(Topology, AThreadThatCannotBeBoundIsTold) {
  EXPECT_FALSE(net::PinThreadToCpus(pthread_self(), {}));
  EXPECT_FALSE(net::PinThreadToCpus(pthread_self(), {100'000}));
}

}  // namespace
}  // namespace hingelink::cli
