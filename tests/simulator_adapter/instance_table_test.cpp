// The instances of the policy behind the simulator's protocol.
#include "simulator_adapter/instance_table.h"

#include <gtest/gtest.h>

#include <string>

#include "frames.h"
#include "simulator_adapter/codec.h"

namespace hingelink::simulator_adapter {
namespace {

TEST(InstanceTable, RefusesUnknownInstancesAndContradictions) {
  InstanceTable table;
  EXPECT_THROW(table.Answer(DecodeBatch(Frame(0, 1, Hex("07 01000000 0500000000000000")))), WireError);
  EXPECT_THROW(
      table.Answer(DecodeBatch(Frame(0, 1, Open(1, std::string(kSettings) + "specifics.memoryKb=0\n")))),
      WireError);
}

TEST(InstanceTable, RetiredInstanceIsGoneAndMayStartAgainInTheSameBatch) {
  InstanceTable table;
  EXPECT_GT(table.Answer(DecodeBatch(Frame(0, 1, Open(1, kSettings)))).size(), 8u);
  const std::string again = table.Answer(DecodeBatch(Frame(5, 2, Hex("09 01000000") + Open(1, kSettings))));
  EXPECT_GT(again.size(), 8u);
  EXPECT_EQ(table.Answer(DecodeBatch(Frame(6, 1, Hex("09 01000000")))).size(), 8u);
  EXPECT_THROW(table.Answer(DecodeBatch(Frame(7, 1, Hex("07 01000000 0500000000000000")))), WireError);
}

}  // namespace
}  // namespace hingelink::simulator_adapter
