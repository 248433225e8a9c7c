// A release follows another: the new process of an upgrade is told to drain while the old one still finishes.
#include <csignal>
#include <cstdio>

#include "../rig/rig.h"

namespace {

constexpr double kGraceMs = 2000;

rig::NodeSettings Settings() {
  rig::NodeSettings settings;
  settings.classes = {{.name = "search", .repeat = "safe", .goal_ms = 2800, .limit_ms = 9200},
                      {.name = "match", .repeat = "safe", .goal_ms = 2300, .limit_ms = 5800}};
  settings.drain_grace_ms = kGraceMs;
  return settings;
}

}  // namespace

int main(int, char** argv) {
  rig::Stage stage(argv[1]);
  rig::Pool second_pool(stage.world, "second pool");
  stage.Configure(Settings());
  const std::size_t old_process = stage.StartNode();
  const auto send = [&](double work) {
    rig::Request request;
    request.id = stage.NextId();
    request.class_name = work > 500 ? "search" : "match";
    request.body = "work=" + std::to_string(static_cast<int>(work)) + " no. " + rig::Hex(request.id);
    request.due_ms = work > 500 ? 9200 : 5800;
    stage.gateway.Send(request);
  };
  // One request runs for some seconds at the old process.
  stage.world.Do([&] { send(7000); });
  rig::SleepMs(200);
  const int ops = rig::FreePort();
  stage.node.Configure(Settings(), stage.listen, second_pool.port(), stage.registry.port(),
                       stage.store.port(), ops);
  const std::size_t new_process = stage.node.Start();
  bool ready = false;
  for (int i = 0; i < 300 && !ready; ++i) {
    ready = rig::OpsStatus(ops, "/ops/readiness") == 200;
    rig::SleepMs(10);
  }
  if (!ready) rig::CannotRun("the new process does not say yes");
  const double yes_at = rig::NowMs();
  rig::SleepMs(300);
  // The notice to drain, to the process that serves.
  double notice_at = 0;
  const auto drain = [&] {
    notice_at = rig::NowMs();
    stage.node.Signal(new_process, SIGTERM);
  };
  if (rig::Trouble()) drain();
  // Gateways learn of it late and go on.
  while (rig::NowMs() < yes_at + 5500) {
    stage.world.Do([&] { send(20); });
    rig::SleepMs(50);
  }
  // SIGTERM reaches the old process within 6 s.
  stage.node.Signal(old_process, SIGTERM);
  rig::SleepMs(4500);
  if (!rig::Trouble()) drain();
  stage.world.Await([&] { return !stage.node.Runs(old_process) && !stage.node.Runs(new_process); }, 4000);
  int late_runs = 0;
  stage.world.Do([&] {
    for (const rig::Request& request : stage.gateway.requests()) {
      constexpr double kSocketSlackMs = 50;
      const double after = request.ts - notice_at;
      if (after <= kGraceMs + kSocketSlackMs) continue;
      for (const rig::Pool* pool : {&stage.pool, &second_pool}) {
        if (!pool->runs().contains(request.id)) continue;
        ++late_runs;
        stage.world.Log("BROKEN " + rig::Hex(request.id) + ": was run, though it came " +
                        std::to_string(static_cast<int>(after)) + " ms after the notice");
      }
    }
  });
  stage.world.Log("log of the old process:\n" + stage.node.LogOf(old_process));
  stage.world.Log("log of the new process:\n" + stage.node.LogOf(new_process));
  std::printf("%d requests were run that came later than the grace after the notice\n", late_runs);
  return late_runs > 0 ? 1 : 0;
}
