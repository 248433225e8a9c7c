// Tests of StartQueue: the order in which queued requests start.
#include "policy/start_queue.h"

#include <gtest/gtest.h>

#include <cstddef>

namespace hingelink {
namespace {

using policy::OpenRequest;
using policy::StartQueue;

constexpr auto kNothingBlocked = [](std::size_t) { return false; };

OpenRequest QueuedRequest(std::size_t class_index, double objective, bool low_priority = false) {
  OpenRequest request;
  request.class_index = class_index;
  request.objective = objective;
  request.low_priority = low_priority;
  return request;
}

StartQueue QueueOfTwoClasses() {
  StartQueue queue;
  queue.Resize(2);
  return queue;
}

TEST(StartQueue, EarliestObjectiveOfAllClassesIsNext) {
  StartQueue queue = QueueOfTwoClasses();
  queue.Push(1, QueuedRequest(0, 300));
  queue.Push(2, QueuedRequest(1, 200));
  const auto lane = queue.NextLane(kNothingBlocked);
  ASSERT_TRUE(lane);
  EXPECT_EQ(queue.First(*lane), 2u);
}

TEST(StartQueue, LowPriorityLaneIsNextAfterAllNormalLanes) {
  StartQueue queue = QueueOfTwoClasses();
  const OpenRequest normal = QueuedRequest(1, 900);
  queue.Push(1, QueuedRequest(0, 100, true));
  queue.Push(2, normal);
  EXPECT_EQ(queue.First(queue.NextLane(kNothingBlocked).value()), 2u);
  EXPECT_TRUE(queue.Remove(2, normal));
  EXPECT_EQ(queue.First(queue.NextLane(kNothingBlocked).value()), 1u);
}

TEST(StartQueue, BlockedClassesAreSkipped) {
  StartQueue queue = QueueOfTwoClasses();
  queue.Push(1, QueuedRequest(0, 100));
  queue.Push(2, QueuedRequest(1, 900));
  const auto lane = queue.NextLane([](std::size_t class_index) { return class_index == 0; });
  EXPECT_EQ(queue.First(lane.value()), 2u);
  EXPECT_FALSE(queue.NextLane([](std::size_t) { return true; }));
}

TEST(StartQueue, LaneIsOrderedByObjective) {
  StartQueue queue = QueueOfTwoClasses();
  for (const RequestId id : {2, 3, 1}) queue.Push(id, QueuedRequest(0, 100.0 * static_cast<double>(id)));
  EXPECT_EQ(queue.First({0, false}), 1u);
  EXPECT_EQ(queue.Last({0, false}), 3u);
}

TEST(StartQueue, RemoveReturnsWhetherTheRequestWasQueued) {
  StartQueue queue = QueueOfTwoClasses();
  const OpenRequest request = QueuedRequest(0, 100);
  EXPECT_FALSE(queue.Remove(1, request));
  queue.Push(1, request);
  EXPECT_TRUE(queue.Remove(1, request));
  EXPECT_TRUE(queue.IsEmpty({0, false}));
}

}  // namespace
}  // namespace hingelink
