// The stand-ins as commands of their own, for trials with several processes.
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>

#include "cli/commands.h"
#include "cli/sample_config.h"
#include "standin/faults.h"
#include "standin/gateways.h"
#include "standin/pool.h"
#include "standin/registry.h"
#include "standin/store.h"

namespace hingelink::cli {
namespace {

using namespace std::chrono_literals;

// Runs the loop until SIGINT, SIGTERM or `done`.
void RunUntilEnd(event_base* base, const std::function<bool()>& done) {
  std::vector<net::EventPtr> events;
  for (const int number : {SIGINT, SIGTERM}) {
    events.emplace_back(evsignal_new(
        base, number,
        [](evutil_socket_t, short, void* b) { event_base_loopbreak(static_cast<event_base*>(b)); }, base));
    evsignal_add(events.back().get(), nullptr);
  }
  std::optional<net::Timer> look;
  look.emplace(base, [&] {
    if (done()) {
      event_base_loopbreak(base);
    } else {
      look->Start(20ms);
    }
  });
  look->Start(20ms);
  event_base_dispatch(base);
}

struct StandinOptions {
  standin::PoolOptions pool;
  double warm_up_ms = 0, up_after_ms = 0;
  std::string faults;
  standin::RegistryOptions registry;
  standin::StoreOptions store;
  double store_work_ms = 10;
  standin::GatewaysOptions gateways;
  double seconds = 0;
};

void Pool(StandinOptions& options) {
  options.pool.cores.cold_for = standin::Millis(options.warm_up_ms);
  options.pool.up_after = standin::Millis(options.up_after_ms);
  if (!options.faults.empty()) {
    std::ifstream file(options.faults);
    if (!file) throw std::runtime_error(options.faults + ": cannot be read");
    options.pool.faults = standin::ParseFaults(std::string(std::istreambuf_iterator<char>(file), {}));
  }
  const net::BasePtr base = net::MakeBase();
  standin::Pool pool(base.get(), options.pool);
  for (std::size_t i = 0; i < options.pool.listen.size(); ++i)
    std::printf("pool %s\n", pool.address(i).c_str());
  std::fflush(stdout);
  RunUntilEnd(base.get(), [] { return false; });
  const standin::PoolCounts& c = pool.counts();
  std::printf(
      "runs begun %llu, complete %llu, errors %llu, repeated spawns %llu, swallowed %llu, at once %llu\n",
      static_cast<unsigned long long>(c.started), static_cast<unsigned long long>(c.complete),
      static_cast<unsigned long long>(c.errors), static_cast<unsigned long long>(c.repeated),
      static_cast<unsigned long long>(c.swallowed), static_cast<unsigned long long>(c.most_running));
}

void Registry(const StandinOptions& options) {
  const net::BasePtr base = net::MakeBase();
  standin::Registry registry(base.get(), options.registry);
  std::printf("registry %s\n", registry.address().c_str());
  std::fflush(stdout);
  RunUntilEnd(base.get(), [] { return false; });
  std::printf("reports %llu, bad calls %llu\n", static_cast<unsigned long long>(registry.reports()),
              static_cast<unsigned long long>(registry.bad_calls()));
}

void Store(StandinOptions& options) {
  options.store.work = standin::Millis(options.store_work_ms);
  const net::BasePtr base = net::MakeBase();
  standin::Store store(base.get(), options.store);
  std::printf("store %s\n", store.address().c_str());
  std::fflush(stdout);
  RunUntilEnd(base.get(), [] { return false; });
  const standin::StoreCounts& c = store.counts();
  std::printf(
      "calls %llu, begun %llu, ok %llu, busy %llu, errors %llu, late %llu, dropped %llu, again %llu, deaths "
      "%llu, at once %llu\n",
      static_cast<unsigned long long>(c.calls), static_cast<unsigned long long>(c.begun),
      static_cast<unsigned long long>(c.ok), static_cast<unsigned long long>(c.busy),
      static_cast<unsigned long long>(c.errors), static_cast<unsigned long long>(c.late),
      static_cast<unsigned long long>(c.dropped), static_cast<unsigned long long>(c.twice),
      static_cast<unsigned long long>(c.deaths), static_cast<unsigned long long>(c.most_in_hand));
}

void Gateways(StandinOptions& options) {
  options.gateways.length = standin::Millis(options.seconds * 1000);
  options.gateways.classes = SampleLoad();
  const net::BasePtr base = net::MakeBase();
  standin::Gateways gateways(base.get(), options.gateways);
  RunUntilEnd(base.get(), [&gateways] { return gateways.idle(); });
  const standin::ClassAccount sum = gateways.account().Sum();
  std::printf(
      "requests %llu, tries %llu, served %llu, refused %llu, failed %llu, lost %llu, unanswered %llu, late "
      "%llu, wrong "
      "%llu, twice %llu, in time %llu; median %.1f ms, 99th percentile %.1f ms, schedule lag %.1f ms\n",
      static_cast<unsigned long long>(sum.requests), static_cast<unsigned long long>(sum.tries),
      static_cast<unsigned long long>(sum.served), static_cast<unsigned long long>(sum.refused),
      static_cast<unsigned long long>(sum.failed), static_cast<unsigned long long>(sum.lost),
      static_cast<unsigned long long>(sum.unanswered), static_cast<unsigned long long>(sum.late),
      static_cast<unsigned long long>(sum.wrong), static_cast<unsigned long long>(sum.twice),
      static_cast<unsigned long long>(sum.good), gateways.account().Wait(0.5), gateways.account().Wait(0.99),
      gateways.account().worst_lag.count());
}

}  // namespace

void AddStandin(CLI::App& app, int&) {
  const auto options = std::make_shared<StandinOptions>();
  CLI::App* standin = app.add_subcommand("standin", "Emulated peers of a node, for trials and tests");
  standin->require_subcommand(1);
  CLI::App* pool =
      standin->add_subcommand("pool", "A worker pool; prints its addresses, and counts at the end");
  pool->add_option("--listen", options->pool.listen, "An address for each process of the node; port 0: any")
      ->capture_default_str();
  pool->add_option("--cores", options->pool.cores.count, "Cores")
      ->check(CLI::Range(1, 1024))
      ->capture_default_str();
  pool->add_option("--speed", options->pool.cores.speed, "Of a core, in standard cores")
      ->check(CLI::Range(0.001, 1e6))
      ->capture_default_str();
  pool->add_option("--cold-ms", options->warm_up_ms, "How long it is cold")->capture_default_str();
  pool->add_option("--cold-share", options->pool.cores.warm_up_speed_fraction,
                   "Share of its speed while cold")
      ->capture_default_str();
  pool->add_option("--up-after-ms", options->up_after_ms, "Links wait so long to be bound")
      ->capture_default_str();
  pool->add_option("--faults", options->faults, "A script of faults (JSON; see docs/operators/standins.md)");
  pool->callback([options] { Pool(*options); });
  CLI::App* registry = standin->add_subcommand("registry", "A registry; prints its address");
  registry->add_option("--listen", options->registry.listen, "Its address")->capture_default_str();
  registry->add_option("--mute", options->registry.mute_share, "Share of reports that get no answer")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  registry->callback([options] { Registry(*options); });
  CLI::App* store =
      standin->add_subcommand("store", "A store that nodes share; prints its address, and counts at the end");
  store->add_option("--listen", options->store.listen, "Its address")->capture_default_str();
  store->add_option("--slots", options->store.slots.count, "Calls that it works on at full speed")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  store->add_option("--work-ms", options->store_work_ms, "Of a call, alone")
      ->check(CLI::Range(0.0, 1e6))
      ->capture_default_str();
  store
      ->add_option("--busy-above", options->store.busy_above,
                   "Calls in hand above which more are turned away")
      ->check(CLI::Range(0.0, 1e9))
      ->capture_default_str();
  store
      ->add_option("--falls-above", options->store.falls_above,
                   "Mean calls in hand, over 5 s, of which it dies")
      ->check(CLI::Range(0.0, 1e9))
      ->capture_default_str();
  store->add_option("--errors", options->store.errors, "Share of calls that end with an error, having run")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  store->callback([options] { Store(*options); });
  CLI::App* gateways = standin->add_subcommand("gateways", "Gateways; print an account at the end");
  gateways->add_option("--target", options->gateways.targets, "Nodes, tried in turn")->required();
  gateways->add_option("--gateways", options->gateways.gateways, "How many")->capture_default_str();
  gateways->add_option("--rate", options->gateways.rate, "First tries a second, all together")
      ->capture_default_str();
  gateways->add_option("--seconds", options->seconds, "How long; 0: until told to end")
      ->capture_default_str();
  gateways->add_option("--retries", options->gateways.retries, "Further tries of a request")
      ->capture_default_str();
  gateways->add_option("--leaves", options->gateways.leaves, "Share of requests given up early")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  gateways->add_option("--heeds", options->gateways.heeds, "Share of gateways that heed advice")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  gateways
      ->add_option("--resets", options->gateways.resets, "Share of answers at which the connection is reset")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  gateways->add_option("--seed", options->gateways.seed, "Of all draws")->capture_default_str();
  gateways->callback([options] { Gateways(*options); });
}

}  // namespace hingelink::cli
