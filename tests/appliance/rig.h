// An appliance with its supervisor and node as separate processes, and stand-ins for the gateways, the worker
// pool and the registry. For tests that kill some of the processes.
#ifndef HINGELINK_TESTS_APPLIANCE_RIG_H_
#define HINGELINK_TESTS_APPLIANCE_RIG_H_

#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "appliance/processes.h"
#include "cli/process.h"
#include "cli/sample_config.h"
#include "control/client.h"
#include "standin/gateways.h"
#include "standin/host.h"
#include "standin/own_address.h"
#include "standin/pool.h"
#include "standin/registry.h"

namespace rig {

using namespace std::chrono_literals;
using nlohmann::json;
namespace standin = hingelink::standin;

// Long enough for a slow machine under sanitizers. Only a failing test waits for this long.
constexpr auto kAwaitTimeout = 40s;

// Polls the condition. Returns false if it does not hold within kAwaitTimeout.
inline bool Await(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kAwaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

// Returns the live processes of this machine whose command line contains all of these words.
inline std::vector<pid_t> ProcessesWith(const std::vector<std::string>& words) {
  std::vector<pid_t> found;
  for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
    const std::string name = entry.path().filename();
    if (name.find_first_not_of("0123456789") != std::string::npos) continue;
    std::ifstream file(entry.path() / "cmdline", std::ios::binary);
    std::stringstream line;
    line << file.rdbuf();
    const std::string text = line.str();
    bool all = true;
    for (const std::string& word : words) all = all && text.find(word) != std::string::npos;
    if (all && hingelink::appliance::StartTicks(std::stol(name))) found.push_back(std::stoi(name));
  }
  return found;
}

class Rig {
 public:
  explicit Rig(int cores = 4, double warm_up_ms = 0) {
    host.Do([&] {
      standin::PoolOptions options;
      options.listen = {"127.0.0.1:0", "127.0.0.1:0"};
      options.cores.count = cores;
      options.cores.cold_for = standin::Millis(warm_up_ms);
      pool.emplace(host.base(), options);
      registry.emplace(host.base(), standin::RegistryOptions{});
    });
    listen = standin::OwnAddress();
    hingelink::cli::Sample sample;
    sample.name = "shire-1";
    sample.listen = listen;
    sample.registry = registry->address();
    sample.cores = cores;
    sample.stop_ms = 1500;
    config = {{"node", hingelink::cli::SampleConfig(sample)}, {"supervisor", {{"backoff_first_ms", 50}}}};
    config["node"].erase("seed");
    config["node"]["pool"] = {pool->address(0), pool->address(1)};
    WriteConfig();
  }
  ~Rig() {
    for (const pid_t pid : ProcessesWith({folder()})) kill(pid, SIGKILL);
    if (supervisor_ > 0) waitpid(supervisor_, nullptr, 0);
    host.Do([this] {
      gateways.reset();
      registry.reset();
      pool.reset();
    });
  }

  const std::string& folder() const { return folder_.path(); }
  std::string config_path() const { return folder() + "/appliance.json"; }
  void WriteConfig() const { std::ofstream(config_path()) << config.dump(2); }

  // Starts a supervisor that is killed before its action number `die_at`; 0 means never.
  void StartSupervisor(bool resume, int die_at = 0) {
    std::vector<std::string> args = {folder(), config_path(), HINGELINK_PROGRAM, resume ? "resume" : "up",
                                     std::to_string(die_at)};
    supervisor_ =
        hingelink::cli::StartDetached(HINGELINK_TEST_SUPERVISOR, args, {}, folder() + "/supervisor.err");
  }
  bool SupervisorLives() {
    if (supervisor_ > 0 && waitpid(supervisor_, nullptr, WNOHANG) == supervisor_) supervisor_ = -1;
    return supervisor_ > 0;
  }
  void KillSupervisor() {
    kill(supervisor_, SIGKILL);
    waitpid(supervisor_, nullptr, 0);
    supervisor_ = -1;
  }
  // Returns nothing if no supervisor responds.
  std::optional<json> Status() const {
    try {
      return hingelink::control::Client(folder() + "/supervisor.sock").Call("status");
    } catch (const std::exception&) {
      return std::nullopt;
    }
  }
  // Sends an operator's request to the supervisor. Returns "done", "already" or the error code; empty if no
  // supervisor responds.
  std::string SendCommand(const std::string& op) const {
    try {
      const json result = hingelink::control::Client(folder() + "/supervisor.sock").Call(op);
      return result.value("already", false) ? "already" : "done";
    } catch (const hingelink::control::RequestError& fault) {
      return fault.code();
    } catch (const std::exception&) {
      return {};
    }
  }
  bool AwaitStatus(const std::function<bool(const json&)>& condition) const {
    return Await([&] {
      const auto status = Status();
      return status && condition(*status);
    });
  }
  bool AwaitReady() const {
    return AwaitStatus(
        [](const json& s) { return s["current"].is_object() && s["current"].value("ready", false); });
  }
  bool AwaitPhase(const std::string& phase) const {
    return AwaitStatus([&](const json& s) { return s.value("phase", "") == phase; });
  }
  // Returns the pid of the current node, or 0 if there is none.
  pid_t NodePid() const {
    const auto status = Status();
    return status && (*status)["current"].is_object() ? (*status)["current"].value("pid", 0) : 0;
  }
  std::vector<pid_t> Nodes() const { return ProcessesWith({folder(), "serve", "--generation"}); }
  std::string LogOf(const std::string& name) const {
    std::ifstream file(folder() + '/' + name, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  // Starts gateways that send this share of the node's capacity, until StopLoad().
  void StartLoad(double share, int retries = 0) {
    host.Do([&] {
      standin::GatewaysOptions options;
      options.targets = {listen};
      options.classes = hingelink::cli::SampleLoad();
      options.rate = share * hingelink::cli::SampleCapacity(config["node"]["settings"]["specifics"]["cpus"]);
      options.retries = retries;
      options.seed = 20261201;
      gateways.emplace(host.base(), options);
    });
  }
  void StopLoad() {
    host.Do([&] { gateways->Stop(); });
    Await([&] {
      bool idle = false;
      host.Do([&] { idle = gateways->idle(); });
      return idle;
    });
  }
  standin::Account Account() {
    standin::Account account;
    host.Do([&] { account = gateways->account(); });
    return account;
  }
  standin::PoolCounts PoolCounts() {
    standin::PoolCounts counts;
    host.Do([&] { counts = pool->counts(); });
    return counts;
  }

  standin::Host host;
  std::optional<standin::Pool> pool;
  std::optional<standin::Registry> registry;
  std::optional<standin::Gateways> gateways;
  std::string listen;
  nlohmann::ordered_json config;

 private:
  hingelink::cli::TemporaryFolder folder_;
  pid_t supervisor_ = -1;
};

}  // namespace rig

#endif  // HINGELINK_TESTS_APPLIANCE_RIG_H_
