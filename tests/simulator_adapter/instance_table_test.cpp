// The instances of the policy behind the simulator's protocol.
#include "simulator_adapter/instance_table.h"

#include <gtest/gtest.h>

#include <string>

#include "frames.h"
#include "simulator_adapter/codec.h"
#include "simulator_adapter/errors.h"

namespace hingelink::simulator_adapter {
namespace {

TEST(InstanceTable, UnknownInstancesAndContradictorySettingsAreRejected) {
  InstanceTable table;
  EXPECT_THROW(static_cast<void>(table.Answer(DecodeBatch(Frame(0, 1, Hex("07 01000000 0500000000000000"))))),
               InstanceError);
  const std::string contradictory = std::string(kSettings) + "specifics.memoryKb=0\n";
  EXPECT_THROW(static_cast<void>(table.Answer(DecodeBatch(Frame(0, 1, Open(1, contradictory))))),
               InstanceError);
}

TEST(InstanceTable, RetiredInstanceMayBeOpenedAgainInTheSameBatch) {
  InstanceTable table;
  EXPECT_GT(table.Answer(DecodeBatch(Frame(0, 1, Open(1, kSettings)))).size(), 8u);
  const std::string again = table.Answer(DecodeBatch(Frame(5, 2, Hex("09 01000000") + Open(1, kSettings))));
  EXPECT_GT(again.size(), 8u);
  EXPECT_EQ(table.Answer(DecodeBatch(Frame(6, 1, Hex("09 01000000")))).size(), 8u);
  EXPECT_THROW(static_cast<void>(table.Answer(DecodeBatch(Frame(7, 1, Hex("07 01000000 0500000000000000"))))),
               InstanceError);
}

}  // namespace
}  // namespace hingelink::simulator_adapter
