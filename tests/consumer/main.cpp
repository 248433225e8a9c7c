// Checks that the installed package is usable: runs a ServerPolicy through arrival, start, disconnect,
// finish, drain and cancellation with the public header only.
#include <hingelink/server_policy.h>

#include <cstdio>
#include <variant>
#include <vector>

namespace ws = hingelink;

namespace {

template <typename A>
int Count(const std::vector<ws::Action>& actions) {
  int count = 0;
  for (const ws::Action& action : actions) count += std::holds_alternative<A>(action) ? 1 : 0;
  return count;
}

int failures = 0;

void Expect(bool condition, const char* expectation) {
  if (!condition) {
    std::printf("FAIL %s\n", expectation);
    ++failures;
  }
}

}  // namespace

int main() {
  ws::Settings settings;
  settings.cores = 1;
  settings.memory_kb = 1000;
  settings.max_running_per_core = 4;
  settings.classes.push_back({.name = "read", .latency_objective_ms = 500, .deadline_ms = 2000});
  ws::ServerPolicy policy(settings, 1);

  std::vector<ws::Event> events{ws::Arrival{.id = 1, .reserved_kb = 1}};
  Expect(Count<ws::Start>(policy.Step(0, events)) == 1, "an idle server starts a request at once");
  events = {ws::Arrival{.id = 2, .reserved_kb = 1}};
  Expect(Count<ws::Start>(policy.Step(1, events)) == 0, "a request is queued while all cores are busy");
  events = {ws::CallerDisconnected{.id = 2}};
  Expect(Count<ws::Reject>(policy.Step(2, events)) == 0, "a disconnected caller gets no rejection");
  events = {ws::Finished{.id = 1, .outcome = ws::Outcome::kOk, .elapsed_ms = 3}};
  Expect(Count<ws::Start>(policy.Step(3, events)) == 0,
         "a queued request of a disconnected caller is not started");
  events = {ws::DrainNotice{.remaining_ms = 1000}};
  Expect(Count<ws::SetHealth>(policy.Step(4, events)) == 1, "a drain changes the health");

  settings.can_cancel_runs = true;
  ws::ServerPolicy cancelling(settings, 1);
  events = {ws::Arrival{.id = 1, .reserved_kb = 1}};
  Expect(Count<ws::Start>(cancelling.Step(0, events)) == 1, "an idle server starts a request at once");
  events = {ws::CallerDisconnected{.id = 1}};
  Expect(Count<ws::CancelRun>(cancelling.Step(1, events)) == 1,
         "an execution whose caller disconnected is cancelled");
  std::printf("%d failed\n", failures);
  return failures == 0 ? 0 : 1;
}
