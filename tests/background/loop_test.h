// Helpers for tests that run an event loop and check the log of the test process.
#ifndef HINGELINK_TESTS_BACKGROUND_LOOP_TEST_H_
#define HINGELINK_TESTS_BACKGROUND_LOOP_TEST_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "background/job_runner.h"
#include "log/log.h"
#include "net/event.h"

namespace hingelink::background {

using namespace std::chrono_literals;

// Returns when the condition holds, or after 40 s.
inline void RunLoopUntil(event_base* base, const std::function<bool()>& condition) {
  const auto end = net::Steady::now() + 40s;
  while (!condition() && net::Steady::now() < end) event_base_loop(base, EVLOOP_ONCE);
}
// Returns the number of log lines of this process that contain `text`. Includes lines of tests that ran
// before.
inline std::ptrdiff_t CountLogged(const std::string& text) {
  const std::vector<std::string> lines = log::RecentLines();
  return std::count_if(lines.begin(), lines.end(),
                       [&text](const std::string& line) { return line.find(text) != std::string::npos; });
}
inline bool IsLogged(const std::string& text) { return CountLogged(text) > 0; }

class LoopTest : public testing::Test {
 protected:
  LoopTest() {
    log::Options options;
    options.recent = 256;
    log::Configure(options);
  }
  net::BasePtr base_ = net::MakeBase();
  JobRunner::NodeConditions idle_node_{.overloaded = [] { return false; }, .draining = [] { return false; }};
};

}  // namespace hingelink::background

#endif  // HINGELINK_TESTS_BACKGROUND_LOOP_TEST_H_
