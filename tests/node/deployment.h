// Several nodes as processes of their own, each with a worker pool, with keyed requests, tenants and a store
// that all share, and faults between them. What counts is what the stand-ins saw.
#ifndef HINGELINK_TESTS_NODE_DEPLOYMENT_H_
#define HINGELINK_TESTS_NODE_DEPLOYMENT_H_

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cli/process.h"
#include "cli/sample_config.h"
#include "standin/audit.h"
#include "standin/gateways.h"
#include "standin/host.h"
#include "standin/own_address.h"
#include "standin/pool.h"
#include "standin/registry.h"
#include "standin/store.h"

namespace hingelink::standin {

using namespace std::chrono_literals;
using net::Steady;

inline constexpr double kWindow = 20'000;

class Deployment {
 public:
  struct Options {
    int nodes = 3;
    double rate = 90;
    int retries = 3;
    double leaves = 0;
    Millis leaves_within{60};
    double upstream_call_quota = 8;
    StoreOptions store{};
    std::vector<TenantLoad> tenants = {{"north", 3}, {"west", 1}};
    double window = kWindow;
    int gateways = 3;
    Cores cores{.count = 4, .crowd_at = 50};
    int cold_calls = 0;
    double quota = 500;                                       // Requests a second, of each tenant.
    std::function<void(nlohmann::ordered_json&)> tweak = {};  // The settings, before a node gets them.
  };

  explicit Deployment(const Options& options) : options_(options) {
    host_.Do([&] {
      store.emplace(host_.base(), options.store);
      registry_.emplace(host_.base(), RegistryOptions{});
    });
    nodes_.resize(static_cast<std::size_t>(options.nodes));
    for (std::size_t i = 0; i < nodes_.size(); ++i) StartAnew(i);
  }
  ~Deployment() {
    for (Node& node : nodes_) {
      for (const pid_t pid : node.pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
      }
    }
    host_.Do([&] {
      gateways_.reset();
      for (Node& node : nodes_) node.pool.reset();
      store.reset();
      registry_.reset();
    });
  }

  void Load() {
    host_.Do([&] {
      GatewaysOptions load;
      for (const Node& node : nodes_) load.targets.push_back(node.listen);
      load.gateways = options_.gateways;
      const auto cls = [&](const char* name, double share, double work, bool keyed, int calls) {
        ClassLoad c;
        c.name = name;
        c.share = share;
        c.work = Millis(work);
        c.timeout = Millis(4000);
        c.keyed = keyed;
        c.calls = calls;
        load.classes.push_back(c);
      };
      cls("search", 0.4, 15, false, 1);
      cls("match", 0.3, 20, false, 0);
      cls("claim", 0.3, 10, true, 2);
      load.tenants = options_.tenants;
      load.tells_wait = false;
      load.rate = options_.rate;
      load.retries = options_.retries;
      load.leaves = options_.leaves;
      load.leaves_within = options_.leaves_within;
      load.seed = 11;
      load.run = 77;
      gateways_.emplace(host_.base(), load);
    });
  }
  // Until the gateways' account shows it.
  bool Until(const std::function<bool(const Account&)>& done, std::chrono::seconds most = 40s) {
    const auto end = Steady::now() + most;
    for (;;) {
      bool is_done = false;
      host_.Do([&] { is_done = done(gateways_->account()); });
      if (is_done || Steady::now() > end) return is_done;
      std::this_thread::sleep_for(5ms);
    }
  }
  bool Served(std::uint64_t good) {
    return Until([good](const Account& a) { return a.Sum().good >= good; });
  }
  // No further arrivals; all that is open ends.
  bool Finish() {
    host_.Do([&] { gateways_->Stop(); });
    const auto end = Steady::now() + 30s;
    for (bool idle = false; Steady::now() < end; std::this_thread::sleep_for(5ms)) {
      host_.Do([&] { idle = gateways_->idle(); });
      if (idle) return true;
    }
    return false;
  }
  std::string Faults(const AuditOptions& audit = {}) {
    std::string all;
    host_.Do([&] {
      std::vector<PoolCounts> pools = ended_pools_;
      for (const Node& node : nodes_) pools.push_back(node.pool->counts());
      for (const std::string& line : Audit({gateways_->account()}, pools, store->counts(), audit))
        all += line + '\n';
    });
    return all;
  }
  ClassAccount Class(const std::string& name) {
    ClassAccount found;
    host_.Do([&] {
      for (const ClassAccount& c : gateways_->account().classes) {
        if (c.name == name) found = c;
      }
    });
    return found;
  }
  void Do(const std::function<void()>& work) { host_.Do(work); }
  void CausePool(std::size_t i, const PoolFault& fault) {
    host_.Do([&] { nodes_[i].pool->Cause(fault); });
  }
  PoolCounts PoolOf(std::size_t i) {
    PoolCounts counts;
    host_.Do([&] { counts = nodes_[i].pool->counts(); });
    return counts;
  }
  void Signal(std::size_t i, int number) { kill(nodes_[i].pids.back(), number); }
  void SignalFirst(std::size_t i, int number) { kill(nodes_[i].pids.front(), number); }
  // The gateways hear of it at once, and send it nothing more; it is waited for.
  void Drain(std::size_t i) {
    Node& node = nodes_[i];
    kill(node.pids.back(), SIGTERM);
    host_.Do([&] {
      std::vector<std::string> targets;
      // Another one in its place: what keeps to a place in the list keeps to it.
      for (std::size_t k = 0; k < nodes_.size(); ++k)
        targets.push_back(nodes_[k == i ? (i + 1) % nodes_.size() : k].listen);
      if (gateways_) gateways_->SetTargets(targets);
    });
    int status = 0;
    ASSERT_EQ(waitpid(node.pids.back(), &status, 0), node.pids.back());
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    node.pids.pop_back();
  }
  std::string ListenOf(std::size_t i) const { return nodes_[i].listen; }
  Gateways& gateways() { return *gateways_; }
  std::map<std::string, TenantAccount> Tenants() {
    std::map<std::string, TenantAccount> all;
    host_.Do([&] {
      for (const TenantAccount& t : gateways_->account().tenants) all[t.name] = t;
    });
    return all;
  }
  // A second process of the same node, beside one that stands still or serves.
  void StartSecond(std::size_t i) { StartProcess(i, 1, nodes_[i].pids.size(), "handover-overdue"); }
  // With its worker pool, as the platform does; both start from nothing.
  void KillAndRestart(std::size_t i) {
    Node& node = nodes_[i];
    kill(node.pids.back(), SIGKILL);
    waitpid(node.pids.back(), nullptr, 0);
    node.pids.pop_back();
    host_.Do([&] {
      ended_pools_.push_back(node.pool->counts());
      node.pool.reset();
    });
    StartAnew(i);
  }
  // A second process of the same node takes over; the first is told to leave and is waited for.
  void Upgrade(std::size_t i) {
    Node& node = nodes_[i];
    StartProcess(i, 1, node.pids.size());
    kill(node.pids.front(), SIGTERM);
    int status = 0;
    ASSERT_EQ(waitpid(node.pids.front(), &status, 0), node.pids.front());
    node.pids.erase(node.pids.begin());
  }

  std::optional<Store> store;

 private:
  struct Node {
    std::unique_ptr<Pool> pool;
    std::string listen;
    std::unique_ptr<cli::TemporaryFolder> folder;
    std::vector<pid_t> pids;
  };

  void StartAnew(std::size_t i) {
    Node& node = nodes_[i];
    node.folder = std::make_unique<cli::TemporaryFolder>();
    host_.Do([&] {
      PoolOptions pool;
      pool.listen = {"127.0.0.1:0", "127.0.0.1:0"};
      pool.cores = options_.cores;
      pool.cold_calls = options_.cold_calls;
      pool.call_patience = Millis(6'000);
      node.pool = std::make_unique<Pool>(host_.base(), pool);
    });
    StartProcess(i, 0, 0);
  }
  void StartProcess(std::size_t i, std::size_t place, std::size_t before, std::string sign = {}) {
    Node& node = nodes_[i];
    cli::Sample sample;
    sample.name = "n" + std::to_string(i);
    if (node.listen.empty()) node.listen = OwnAddress();
    sample.listen = node.listen;
    nlohmann::ordered_json config;
    host_.Do([&] {
      sample.pool = node.pool->address(place);
      sample.registry = registry_->address();
      config = cli::SampleConfig(sample);
      config["store"] = store->address();
    });
    config["ops"] = "127.0.0.1:0";
    auto& settings = config["settings"];
    const auto cls = [this](const char* name, const char* repeat) {
      return nlohmann::ordered_json{
          {"name", name}, {"goalTimeMs", 2000.0}, {"hardLimitMs", 4000.0},      {"repeat", repeat},
          {"worth", 1.0}, {"lateShare", 0.2},     {"windowMs", options_.window}};
    };
    settings["requestClasses"] = {cls("search", "safe"), cls("match", "safe"), cls("claim", "keyed")};
    settings["tenants"] = nlohmann::ordered_json::array();
    for (const TenantLoad& t : options_.tenants)
      settings["tenants"].push_back({{"name", t.name}, {"portion", 0.5}, {"quotaRps", options_.quota}});
    settings["overShareWorth"] = 0.05;
    settings["peersTotal"] = options_.nodes;
    auto& specifics = settings["specifics"];
    specifics["passesDeadline"] = false;
    specifics["dependsOn"] = "shared";
    specifics["callShare"] = options_.upstream_call_quota;
    specifics["callsOverMs"] = 5000.0;
    specifics["lingersMs"] = 200.0;
    specifics["classCalls"] = {true, false, true};
    specifics["worthWithout"] = {0.5, 0.0, 0.0};
    if (options_.tweak) options_.tweak(settings);
    const std::string path = node.folder->path() + "/config-" + std::to_string(before) + ".json";
    const std::string log = path + ".log";
    std::ofstream(path) << config;
    node.pids.push_back(cli::StartDetached(HINGELINK_PROGRAM, {"serve", "--config", path},
                                           {{"TMPDIR", node.folder->path()}}, log));
    if (sign.empty()) sign = before == 0 ? "pool-bound" : "handover-done";
    const auto end = Steady::now() + 20s;
    std::string text;
    while (Steady::now() < end) {
      std::ifstream file(log);
      text.assign(std::istreambuf_iterator<char>(file), {});
      if (text.find(sign) != std::string::npos) break;
      std::this_thread::sleep_for(5ms);
    }
    ASSERT_NE(text.find(sign), std::string::npos) << text;
  }

  Options options_;
  Host host_;
  std::optional<Registry> registry_;
  std::vector<Node> nodes_;
  std::optional<Gateways> gateways_;
  std::vector<PoolCounts> ended_pools_;
};

}  // namespace hingelink::standin

#endif  // HINGELINK_TESTS_NODE_DEPLOYMENT_H_
