// Tests the table of policy instances on batches of the simulator.
#include "simulator_adapter/instance_table.h"

#include <gtest/gtest.h>

#include <string>

#include "frames.h"
#include "simulator_adapter/codec.h"
#include "simulator_adapter/errors.h"

namespace hingelink::simulator_adapter {
namespace {

TEST(InstanceTable, RejectsUnknownInstancesAndInconsistentSettings) {
  InstanceTable table;
  EXPECT_THROW(
      static_cast<void>(table.ProcessBatch(DecodeBatch(Frame(0, 1, Hex("07 01000000 0500000000000000"))))),
      InstanceError);
  const std::string inconsistent = std::string(kSettings) + "specifics.memoryKb=0\n";
  EXPECT_THROW(
      static_cast<void>(table.ProcessBatch(DecodeBatch(Frame(0, 1, OpenInstanceRecord(1, inconsistent))))),
      InstanceError);
}

TEST(InstanceTable, RetiredInstanceCanBeReopenedInSameBatch) {
  InstanceTable table;
  EXPECT_GT(table.ProcessBatch(DecodeBatch(Frame(0, 1, OpenInstanceRecord(1, kSettings)))).size(), 8u);
  const std::string reopened_reply =
      table.ProcessBatch(DecodeBatch(Frame(5, 2, Hex("09 01000000") + OpenInstanceRecord(1, kSettings))));
  EXPECT_GT(reopened_reply.size(), 8u);
  EXPECT_EQ(table.ProcessBatch(DecodeBatch(Frame(6, 1, Hex("09 01000000")))).size(), 8u);
  EXPECT_THROW(
      static_cast<void>(table.ProcessBatch(DecodeBatch(Frame(7, 1, Hex("07 01000000 0500000000000000"))))),
      InstanceError);
}

}  // namespace
}  // namespace hingelink::simulator_adapter
