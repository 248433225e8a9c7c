// A fleet in three zones, named by the test that asks.
#ifndef HINGELINK_TESTS_LAB_FLEET_OF_H_
#define HINGELINK_TESTS_LAB_FLEET_OF_H_

#include <gtest/gtest.h>

#include "lab/scenario/scenario.h"

namespace hingelink::lab {

inline Scenario FleetOf(std::size_t nodes, double seconds) {
  Scenario scenario;
  scenario.name = testing::UnitTest::GetInstance()->current_test_info()->name();
  scenario.length = Millis(seconds * 1000);
  scenario.fleet.nodes = nodes;
  scenario.fleet.zones = {"a", "b", "c"};
  return scenario;
}

}  // namespace hingelink::lab

#endif  // HINGELINK_TESTS_LAB_FLEET_OF_H_
