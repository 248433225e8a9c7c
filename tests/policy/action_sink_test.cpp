// Tests of ActionSink: the actions of a step are kept in order.
#include "policy/action_sink.h"

#include <gtest/gtest.h>

#include <variant>

#include "hingelink/server_policy.h"

namespace hingelink {
namespace {

using policy::ActionSink;

TEST(ActionSink, ActionsKeepTheirOrder) {
  ActionSink sink;
  sink.Emit(Start{1});
  sink.Emit(Fail{2});
  ASSERT_EQ(sink.actions().size(), 2u);
  EXPECT_TRUE(std::holds_alternative<Start>(sink.actions()[0]));
  EXPECT_TRUE(std::holds_alternative<Fail>(sink.actions()[1]));
}

TEST(ActionSink, ClearRemovesAllActions) {
  ActionSink sink;
  sink.Emit(Start{1});
  sink.Clear();
  EXPECT_TRUE(sink.actions().empty());
}

}  // namespace
}  // namespace hingelink
