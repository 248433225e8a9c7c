// An upgrade of a portal node: how often a claim runs that was begun at the old process and comes again at
// the new one.
#include "../common/peers.h"

namespace review {
namespace {

// A small deployment with the second deployment's claims: a window of 27,627 ms and 30 claims a second, about
// a quarter of the first tries that the page gives a portal node at most. Results have the greatest length
// that it allows.
constexpr int kGateways = 3;
constexpr int kClaims = 720;
constexpr int kClaimEveryMs = 33;
constexpr std::size_t kResultBytes = 4096;
constexpr int kWorkMs = 25;
// Of the last claims every second one has a caller that waits briefly, and whose gateway tries again later.
constexpr int kHastyFrom = 640;
constexpr int kHastyWaitMs = 15;
// How long behind the readiness of the new process the old one is told to leave (the page: within 6 s).
constexpr int kSigtermAfterMs = 4000;

std::string KeyOf(int claim) {
  return HexId(0x5c0f6e1a2b3d4c59ULL) + HexId(1000 + static_cast<std::uint64_t>(claim));
}

Request Claim(int claim, int attempt) {
  Request request;
  request.kind = "claim";
  request.id = HexId(0xa000000000000000ULL + static_cast<std::uint64_t>(claim) * 16 +
                     static_cast<std::uint64_t>(attempt));
  request.key = KeyOf(claim);
  request.body = "claim " + std::to_string(claim);
  request.tells_timeout = false;
  request.resent = attempt > 0;
  return request;
}

bool IsHasty(int claim) { return claim >= kHastyFrom && claim % 2 == 0; }

bool Holds(const std::string& run, bool trouble) {
  const Folder folder;
  Registry registry;
  const auto plan = [](const std::string& id, const std::string&, const std::string&) {
    RunPlan of_run;
    of_run.work_ms = kWorkMs;
    of_run.result = id + std::string(kResultBytes - id.size(), 'r');
    return of_run;
  };
  Pool old_pool(plan, "pool of the old process"), new_pool(plan, "pool of the new process");
  NodeSettings settings;
  settings.listen = FreePort();
  settings.registry = registry.port();
  settings.pool = old_pool.port();
  settings.ops = FreePort();
  settings.passes_deadline = false;
  settings.classes = {{"search", 2800, 9200, "safe", 5000, 1}, {"claim", 2300, 9200, "keyed", 27627, 1}};
  const std::string listen_at = "127.0.0.1:" + std::to_string(settings.listen);
  NodeProcess old_process(run, listen_at, NodeConfig(settings), folder.path() + "/old.json", folder.path(),
                          folder.path() + "/old.log");
  AwaitReady(settings.ops);

  std::vector<std::unique_ptr<GatewayConnection>> gateways;
  const auto connect = [&] {
    gateways.push_back(
        std::make_unique<GatewayConnection>(settings.listen, static_cast<int>(gateways.size()) + 1));
    if (!gateways.back()->open()) CannotRun("the portal node takes no connection");
    return gateways.back().get();
  };
  std::vector<GatewayConnection*> connections;
  for (int i = 0; i < kGateways; ++i) {
    connections.push_back(connect());
    connections.back()->Send(Claim(kClaims + i, 0));
  }
  for (int claim = 0; claim < kClaims; ++claim) {
    GatewayConnection& gateway = *connections[static_cast<std::size_t>(claim % kGateways)];
    const std::uint32_t stream = gateway.Send(Claim(claim, 0));
    if (IsHasty(claim)) {
      SleepMs(kHastyWaitMs);
      RECORD("the gateway waits no longer for %s", Claim(claim, 0).id.c_str());
      gateway.GiveUp(stream);
    }
    SleepMs(kClaimEveryMs - (IsHasty(claim) ? kHastyWaitMs : 0));
  }

  // The upgrade, as the page says: the same command with another second address and another address of the
  // worker pool, and the same TMPDIR.
  std::unique_ptr<NodeProcess> new_process;
  if (trouble) {
    NodeSettings changed = settings;
    changed.pool = new_pool.port();
    changed.ops = FreePort();
    new_process =
        std::make_unique<NodeProcess>(run, listen_at, NodeConfig(changed), folder.path() + "/new.json",
                                      folder.path(), folder.path() + "/new.log");
    AwaitReady(changed.ops);
  } else {
    SleepMs(100);
  }

  // The claims whose callers waited briefly come again, within their window, over a new connection.
  const std::int64_t ready_at = UnixMs();
  GatewayConnection& gateway = *connect();
  std::vector<std::pair<int, std::uint32_t>> again;
  for (int claim = kClaims - 1; claim >= kHastyFrom; --claim) {
    if (!IsHasty(claim)) continue;
    again.emplace_back(claim, gateway.Send(Claim(claim, 1)));
    SleepMs(50);
  }
  while (UnixMs() < ready_at + kSigtermAfterMs) SleepMs(20);
  if (trouble) {
    old_process.Signal(SIGTERM);
    if (!old_process.AwaitEnd(3700)) old_process.Signal(SIGKILL);
  }
  SleepMs(500);

  int run_once = 0, run_twice = 0;
  for (const auto& [claim, stream] : again) {
    const std::string first = Claim(claim, 0).id, second = Claim(claim, 1).id;
    const int at_old = old_pool.Begun(first) + old_pool.Begun(second);
    const int at_new = new_pool.Begun(first) + new_pool.Begun(second);
    ++(at_old + at_new > 1 ? run_twice : run_once);
    RECORD("claim %d was begun %d times at the old process and %d times at the new one", claim, at_old,
           at_new);
  }
  RECORD("claims that came again within their window: %zu, run twice: %d", again.size(), run_twice);
  if (run_once + run_twice == 0) CannotRun("no claim came again");
  return run_twice == 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Holds); }
