// The demo: a node with stand-ins round it, and the console or a table.
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <thread>

#include "cli/commands.h"
#include "cli/process.h"
#include "cli/sample_config.h"
#include "console/console.h"
#include "control/client.h"
#include "standin/gateways.h"
#include "standin/host.h"
#include "standin/own_address.h"
#include "standin/pool.h"
#include "standin/registry.h"

namespace hingelink::cli {
namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

struct DemoOptions {
  double load = 1.1;
  int cores = 4;
  int gateways = 3;
  bool headless = false;
  int seconds = 0;
  std::uint64_t seed = 1;
};

volatile std::sig_atomic_t asked_to_end = 0;

// What the stand-ins make of the run; they live and end on their own loop.
struct Peers {
  explicit Peers(const DemoOptions& options) {
    host.Do([&] {
      standin::PoolOptions pool_options;
      pool_options.cores.count = options.cores;
      pool.emplace(host.base(), pool_options);
      registry.emplace(host.base(), standin::RegistryOptions{});
    });
  }
  ~Peers() {
    host.Do([this] {
      gateways.reset();
      registry.reset();
      pool.reset();
    });
  }
  void Begin(const DemoOptions& options, const std::string& target) {
    host.Do([&] {
      standin::GatewaysOptions load;
      load.targets = {target};
      load.gateways = options.gateways;
      load.classes = SampleLoad();
      load.rate = options.load * SampleCapacity(options.cores);
      load.retries = 1;
      load.seed = options.seed;
      gateways.emplace(host.base(), load);
    });
  }

  standin::Host host;
  std::optional<standin::Pool> pool;
  std::optional<standin::Registry> registry;
  std::optional<standin::Gateways> gateways;
};

// The node as a process of its own.
class NodeProcess {
 public:
  NodeProcess(const std::string& folder, const Peers& peers, const DemoOptions& options)
      : socket_(folder + "/control.sock"), log_(folder + "/node.log") {
    Sample sample;
    sample.pool = peers.pool->address();
    sample.registry = peers.registry->address();
    sample.listen = standin::OwnAddress();
    sample.cores = options.cores;
    sample.gateways = options.gateways;
    sample.seed = options.seed;
    address_ = sample.listen;
    std::ofstream(folder + "/node.json") << SampleConfig(sample).dump(2);
  }
  ~NodeProcess() {
    if (pid_ > 0) kill(pid_, SIGKILL);
    if (pid_ > 0) waitpid(pid_, nullptr, 0);
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Starts it, once the port is free again, and waits until it takes clients.
  void Start(const std::string& folder) {
    pid_ = StartDetached(
        OwnProgram(), {"serve", "--config", folder + "/node.json", "--control", socket_, "--log-file", log_},
        {{"TMPDIR", folder}}, folder + "/node.err");
    for (const auto until = Steady::now() + 15s;;) {
      try {
        if (control::Client(socket_).Call("status").value("ready", false)) return;
      } catch (const control::UnreachableError&) {
      }
      if (ended()) throw std::runtime_error("the node ended at once: see its log");
      if (Steady::now() > until) throw std::runtime_error("the node did not get ready within 15 s");
      std::this_thread::sleep_for(20ms);
    }
  }
  void Drain() const {
    if (pid_ > 0) kill(pid_, SIGTERM);
  }
  // Whether it has ended; its exit status is kept.
  bool ended() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ <= 0;
  }
  int exit_status() const { return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1; }
  const std::string& socket() const { return socket_; }
  const std::string& address() const { return address_; }

 private:
  std::string socket_, log_, address_;
  pid_t pid_ = -1;
  int status_ = 0;
};

void PrintTable(const standin::Account& account, const standin::PoolCounts& pool, double seconds) {
  std::printf("%-16s %9s %9s %9s %9s %9s %9s %9s\n", "class", "requests", "tries", "served", "refused",
              "failed", "lost", "in time");
  const auto row = [](const standin::ClassAccount& c) {
    std::printf("%-16s %9llu %9llu %9llu %9llu %9llu %9llu %8.1f%%\n", c.name.c_str(),
                static_cast<unsigned long long>(c.requests), static_cast<unsigned long long>(c.tries),
                static_cast<unsigned long long>(c.served), static_cast<unsigned long long>(c.refused),
                static_cast<unsigned long long>(c.failed),
                static_cast<unsigned long long>(c.lost + c.unanswered),
                c.requests > 0 ? 100.0 * static_cast<double>(c.good) / static_cast<double>(c.requests) : 0.0);
  };
  for (const standin::ClassAccount& c : account.classes) row(c);
  const standin::ClassAccount sum = account.Sum();
  row(sum);
  std::printf(
      "\n%.1f s; answers 'served' after %.0f ms (median), %.0f ms (99th percentile); late %llu, wrong %llu, "
      "twice "
      "%llu\nworker pool: %llu runs begun, %llu complete, %llu at once at most; schedule lag at most %.1f "
      "ms\n",
      seconds, account.Wait(0.5), account.Wait(0.99), static_cast<unsigned long long>(sum.late),
      static_cast<unsigned long long>(sum.wrong), static_cast<unsigned long long>(sum.twice),
      static_cast<unsigned long long>(pool.started), static_cast<unsigned long long>(pool.complete),
      static_cast<unsigned long long>(pool.most_running), account.worst_lag.count());
}

// Whether every rule held, as the stand-ins saw it.
bool Kept(const standin::ClassAccount& sum) {
  return sum.lost == 0 && sum.unanswered == 0 && sum.late == 0 && sum.wrong == 0 && sum.twice == 0;
}

int Demo(const DemoOptions& options) {
  TemporaryFolder folder;
  // Its threads take no signals: those are for this one.
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGINT);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGHUP);
  sigprocmask(SIG_BLOCK, &ends, nullptr);
  Peers peers(options);
  sigprocmask(SIG_UNBLOCK, &ends, nullptr);
  for (const int number : {SIGINT, SIGTERM, SIGHUP}) {
    struct sigaction action {};
    action.sa_handler = [](int) { asked_to_end = 1; };
    sigaction(number, &action, nullptr);
  }
  NodeProcess node(folder.path(), peers, options);
  node.Start(folder.path());
  const Steady::time_point began = Steady::now();
  peers.Begin(options, node.address());
  const auto over = [&] {
    return asked_to_end != 0 || node.ended() ||
           (options.seconds > 0 && Steady::now() - began >= std::chrono::seconds(options.seconds));
  };
  if (options.headless) {
    while (!over()) std::this_thread::sleep_for(20ms);
  } else {
    console::Options console;
    console.socket = node.socket();
    console.ended = over;
    console::Run(console);
  }
  const double seconds = std::chrono::duration<double>(Steady::now() - began).count();
  // The gateways stop first, and the node drains with what is still open.
  peers.host.Do([&] { peers.gateways->Stop(); });
  node.Drain();
  const Steady::time_point until = Steady::now() + 10s;
  bool idle = false;
  while ((!node.ended() || !idle) && Steady::now() < until) {
    peers.host.Do([&] { idle = peers.gateways->idle(); });
    std::this_thread::sleep_for(10ms);
  }
  standin::Account account;
  standin::PoolCounts pool;
  peers.host.Do([&] {
    account = peers.gateways->account();
    pool = peers.pool->counts();
  });
  PrintTable(account, pool, seconds);
  const bool good = Kept(account.Sum()) && node.ended() && node.exit_status() == 0;
  std::printf("%s\n", good ? "All requests that were read got one answer in time; the node drained and ended."
                           : "A RULE WAS BROKEN, or the node did not end well.");
  return good ? 0 : 1;
}

}  // namespace

void AddDemo(CLI::App& app, int& status) {
  const auto options = std::make_shared<DemoOptions>();
  CLI::App* demo =
      app.add_subcommand("demo", "See a node serve: a node, and stand-ins of all that is round it");
  demo->footer(
      "Starts a node with a worker pool, a registry and gateways of its own, all on this machine, and opens "
      "the\n"
      "console. Leave it with q: the node drains, and a table tells what became of each request.");
  demo->add_option("--load", options->load, "Share of the worker pool's capacity that the gateways ask for")
      ->check(CLI::Range(0.01, 20.0))
      ->capture_default_str();
  demo->add_option("--cores", options->cores, "Cores of the worker pool")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  demo->add_option("--gateways", options->gateways, "Gateways")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  demo->add_flag("--headless", options->headless, "No console: only the table at the end");
  demo->add_option("--seconds", options->seconds, "End after so long; 0: when told to")
      ->check(CLI::Range(0, 86'400))
      ->capture_default_str();
  demo->add_option("--seed", options->seed, "Of all random draws")->capture_default_str();
  demo->callback([options, &status] { status = Demo(*options); });
}

}  // namespace hingelink::cli
