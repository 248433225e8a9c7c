#include "plan.h"

#include <csignal>

namespace hingelink::soak {
namespace {

constexpr double kCrowdChance = 0.3;
constexpr int kMinDescriptors = 96;

std::vector<DrainSignal> DrawDrainSignals(Draw& draw, milliseconds stop_time) {
  std::vector<DrainSignal> signals;
  const int count = draw.Int(0, 3);
  for (int i = 0; i < count; ++i) {
    const milliseconds after(draw.Int(0, static_cast<int>(stop_time.count()) - 1));
    signals.push_back({after, draw.Chance(0.5) ? SIGHUP : SIGTERM});
  }
  return signals;
}

Operation DrawOperation(Draw& draw, const Plan& plan) {
  static const std::vector<OperationKind> kKinds = {
      OperationKind::kRestart,       OperationKind::kRestart,
      OperationKind::kRestart,       OperationKind::kRestartAll,
      OperationKind::kReload,        OperationKind::kUpgrade,
      OperationKind::kUpgrade,       OperationKind::kTerminateInHandover,
      OperationKind::kKillSuccessor, OperationKind::kTerminateAtStart,
      OperationKind::kPoolFault,     OperationKind::kStoreFault,
      OperationKind::kRegistryFault, OperationKind::kIdleClients};
  Operation operation;
  operation.kind = draw.OneOf(kKinds);
  operation.node = static_cast<std::size_t>(draw.Int(0, plan.nodes - 1));
  operation.pause = milliseconds(draw.Int(0, 800));
  operation.delay = milliseconds(draw.Int(0, 700));
  operation.signals = DrawDrainSignals(draw, plan.profile.stop_time);
  operation.count = draw.Int(2, 6);
  operation.has_burst = draw.Chance(0.3);
  return operation;
}

}  // namespace

Plan DrawPlan(std::uint64_t seed, const std::vector<std::string>& sites) {
  Draw draw(seed);
  Plan plan;
  plan.seed = seed;
  const int source = draw.Int(0, static_cast<int>(sites.size()));
  plan.profile =
      source == 0 ? SampleProfile() : DrawSiteProfile(sites[static_cast<std::size_t>(source - 1)], draw);
  plan.nodes = draw.Int(2, 6);
  plan.gateways = draw.Int(2, 6);
  plan.retries = draw.Int(0, 3);
  plan.max_descriptors = draw.Chance(0.5) ? 1024 : kMinDescriptors + draw.Int(0, 100);
  plan.load = draw.Chance(kCrowdChance) ? draw.Between(2, 4) : draw.Between(0.3, 1.1);
  plan.ignores_no_more = draw.Chance(0.7) ? draw.Between(0.3, 1) : 0;
  plan.abandoned_fraction = draw.Chance(0.5) ? draw.Between(0, 0.2) : 0;
  const int operations = draw.Int(2, 4);
  for (int i = 0; i < operations; ++i) plan.operations.push_back(DrawOperation(draw, plan));
  return plan;
}

}  // namespace hingelink::soak
