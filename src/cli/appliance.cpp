// The appliance's commands: a node that one person starts, watches, changes and stops.
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <thread>

#include "appliance/config.h"
#include "appliance/supervisor.h"
#include "cli/commands.h"
#include "cli/process.h"
#include "cli/state_folder.h"
#include "console/console.h"
#include "console/text.h"
#include "control/client.h"
#include "log/log.h"

namespace hingelink::cli {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using Steady = std::chrono::steady_clock;

// A supervisor that was just started answers within this.
constexpr auto kSupervisorWithin = 10s;

struct ApplianceOptions {
  std::string state = DefaultStateFolder();
  std::string config;
  bool resume = false;
  bool as_json = false;
  bool follow = false;
  int lines = 40;
  std::string level;
  int wait_s = 30;
};

std::string SupervisorSocket(const ApplianceOptions& options) {
  return options.state + "/" + kSupervisorSocket;
}

std::optional<json> Status(const ApplianceOptions& options) {
  try {
    return control::Client(SupervisorSocket(options)).Call("status");
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Where `up` leaves word for `resume`.
std::string ConfigNote(const ApplianceOptions& options) { return options.state + "/config.path"; }

std::string ConfigPath(const ApplianceOptions& options) {
  if (!options.config.empty()) return std::filesystem::absolute(options.config);
  std::ifstream note(ConfigNote(options));
  std::string path;
  if (std::getline(note, path) && !path.empty()) return path;
  return std::filesystem::absolute("deploy/appliance.json");
}

bool Check(const std::string& path) {
  try {
    const appliance::Config config = appliance::ReadConfig(path);
    std::printf("%s: good\n", path.c_str());
    if (config.pool.size() < 2) {
      std::printf("  note: /node/pool has one address, so that 'appliance upgrade' is not possible\n");
    }
    return true;
  } catch (const appliance::ConfigError& wrong) {
    std::fprintf(stderr, "%s: %zu %s to mend\n", path.c_str(), wrong.faults().size(),
                 wrong.faults().size() == 1 ? "fault" : "faults");
    for (const std::string& fault : wrong.faults()) std::fprintf(stderr, "  %s\n", fault.c_str());
    return false;
  }
}

int Supervise(const ApplianceOptions& options) {
  log::Options log;
  log.file = options.state + "/supervisor.log";
  try {
    const appliance::Config config = appliance::ReadConfig(ConfigPath(options));
    log.json = config.log_format == "json";
    log.rotate_bytes = config.log_bytes;
    log.keep = config.log_keep;
    log::Configure(log);
    appliance::SupervisorOptions run;
    run.folder = options.state;
    run.config = ConfigPath(options);
    run.program = OwnProgram();
    run.seed = std::random_device{}();
    run.start_requested = !options.resume;
    log::Info("supervisor-begins", {{"pid", getpid()}});
    appliance::Supervisor(std::move(run)).Run();
    log::Close();
    return 0;
  } catch (const std::exception& fault) {
    log::Event(log::Level::kError, "supervisor-failed", {{"what", fault.what()}});
    log::Close();
    std::fprintf(stderr, "hingelink: %s\n", fault.what());
    return 1;
  }
}

// Waits until `done` says so of the status, or the supervisor has gone, or the time is over.
template <typename Done>
std::optional<json> Await(const ApplianceOptions& options, Done done) {
  const auto until = Steady::now() + std::chrono::seconds(options.wait_s);
  std::optional<json> seen;
  while (Steady::now() < until) {
    seen = Status(options);
    if (!seen || done(*seen)) return seen;
    std::this_thread::sleep_for(50ms);
  }
  return seen;
}

bool CurrentIs(const json& status, const char* what) {
  return status["current"].is_object() && status["current"].value(what, false);
}

int Up(const ApplianceOptions& options) {
  std::filesystem::create_directories(options.state);
  chmod(options.state.c_str(), 0700);
  const std::string config = ConfigPath(options);
  // Where a start cannot succeed it does not begin.
  if (!Check(config)) return 1;
  if (!Status(options)) {
    std::ofstream(ConfigNote(options)) << config << '\n';
    std::vector<std::string> args = {"appliance", "supervise", "--state", options.state, "--config", config};
    if (options.resume) args.push_back("--resume");
    StartDetached(OwnProgram(), args, {}, options.state + "/supervisor.err");
    for (const auto until = Steady::now() + kSupervisorWithin; !Status(options);) {
      if (Steady::now() > until) {
        std::fprintf(stderr, "hingelink: the supervisor does not answer; see %s/supervisor.log and .err\n",
                     options.state.c_str());
        return 1;
      }
      std::this_thread::sleep_for(20ms);
    }
  } else if (!options.resume) {
    const json result = control::Client(SupervisorSocket(options)).Call("up");
    if (result.value("already", false)) std::printf("it is up already\n");
  }
  if (options.resume) return 0;
  const auto seen = Await(options, [](const json& status) {
    return CurrentIs(status, "ready") || status.value("crashes_in_row", 0) >= 3;
  });
  if (!seen || !(*seen)["current"].is_object()) {
    std::fprintf(stderr, "hingelink: the node does not stay up; see 'hingelink appliance logs'\n");
    return 1;
  }
  const json& current = (*seen)["current"];
  std::printf("node is up: start %lld, process %lld%s\n",
              static_cast<long long>(current.value("generation", 0)),
              static_cast<long long>(current.value("pid", 0)),
              current.value("ready", false) ? ", ready" : "; it waits for its worker pool");
  return 0;
}

// Says `op` to the supervisor. False where nobody answers or it says no; both are told.
bool Say(const ApplianceOptions& options, const char* op, json& result) {
  try {
    result = control::Client(SupervisorSocket(options)).Call(op);
    return true;
  } catch (const control::RequestError& fault) {
    std::fprintf(stderr, "hingelink: %s (%s)\n", fault.what(), fault.code().c_str());
  } catch (const control::UnreachableError&) {
    std::fprintf(stderr, "hingelink: no appliance runs in %s\n", options.state.c_str());
  }
  return false;
}

int Drain(const ApplianceOptions& options) {
  json result;
  if (!Say(options, "drain", result)) return 1;
  const auto seen = Await(options, [](const json& status) { return status.value("phase", "") == "drained"; });
  if (seen && seen->value("phase", "") != "drained") {
    std::fprintf(stderr, "hingelink: the drain goes on; see 'hingelink appliance status'\n");
    return 1;
  }
  std::printf("drained: all that was read is answered, and no node runs. 'up' starts it again\n");
  return 0;
}

int Down(const ApplianceOptions& options) {
  json result;
  if (!Say(options, "down", result)) return 1;
  if (Await(options, [](const json&) { return false; })) {
    std::fprintf(stderr, "hingelink: it goes down, and is not there yet\n");
    return 1;
  }
  std::printf("down\n");
  return 0;
}

int Upgrade(const ApplianceOptions& options) {
  const auto before = Status(options);
  json result;
  if (!Say(options, "upgrade", result)) return 1;
  const auto generation = result.value("generation", std::int64_t{0});
  const auto seen = Await(options, [](const json& status) { return status["successor"].is_null(); });
  if (seen && (*seen)["current"].is_object() && (*seen)["current"].value("generation", 0) == generation) {
    std::printf("upgraded: start %lld serves; the one before answers what it holds and ends\n",
                static_cast<long long>(generation));
    return 0;
  }
  std::fprintf(
      stderr,
      "hingelink: the upgrade went back; the node from before serves on. See 'hingelink appliance logs'\n");
  return 1;
}

int Reload(const ApplianceOptions& options) {
  if (!Check(ConfigPath(options))) return 1;
  json result;
  if (!Say(options, "reload", result)) return 1;
  std::printf("reloaded\n");
  return 0;
}

// Asks the node itself.
int OfNode(const ApplianceOptions& options, const char* op, const json& args, json& result) {
  try {
    result = control::Client(options.state + "/" + kNodeSocket).Call(op, args);
    return 0;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "hingelink: %s\n", fault.what());
    return 1;
  }
}

int Connections(const ApplianceOptions& options) {
  json result;
  if (OfNode(options, "connections", {{"most", 256}}, result) != 0) return 1;
  std::printf("%8s %9s %6s %9s %10s\n", "id", "requests", "open", "unsent", "quiet");
  for (const json& c : result["connections"]) {
    std::printf("%8lld %9lld %6lld %9lld %10s\n", static_cast<long long>(c.value("id", 0)),
                static_cast<long long>(c.value("requests", 0)), static_cast<long long>(c.value("open", 0)),
                static_cast<long long>(c.value("unsent_bytes", 0)),
                console::Span(c.value("quiet_ms", 0.0)).c_str());
  }
  return 0;
}

int LogLevel(const ApplianceOptions& options) {
  json result;
  const json args = options.level.empty() ? json::object() : json{{"level", options.level}};
  if (OfNode(options, "log-level", args, result) != 0) return 1;
  std::printf("%s\n", result.value("level", "").c_str());
  return 0;
}

int ShowStatus(const ApplianceOptions& options) {
  const auto seen = Status(options);
  if (options.as_json) {
    if (seen) std::printf("%s\n", seen->dump(2).c_str());
    if (!seen) std::printf("{\"phase\":\"no-supervisor\"}\n");
  } else if (!seen) {
    std::printf("no appliance runs in %s\n", options.state.c_str());
  } else {
    std::printf("phase %s, last event %s, crashes in a row %d%s\n", seen->value("phase", "").c_str(),
                seen->value("last_report", "").c_str(), seen->value("crashes_in_row", 0),
                seen->value("plan_saved", true) ? "" : "; THE STATE CANNOT BE WRITTEN (disk full?)");
    if (seen->contains("start_in_ms")) {
      std::printf("next start in %s\n", console::Span(seen->value("start_in_ms", 0.0)).c_str());
    }
    for (const char* who : {"current", "successor", "predecessor"}) {
      const json& life = (*seen)[who];
      if (!life.is_object()) continue;
      std::printf("%-11s start %lld, process %lld, %s%s", who,
                  static_cast<long long>(life.value("generation", 0)),
                  static_cast<long long>(life.value("pid", 0)), life.value("state", "no word yet").c_str(),
                  life.value("ready", false) ? ", ready" : "");
      if (life.contains("totals") && life["totals"].is_object()) {
        std::printf(", owed %lld", static_cast<long long>(life["totals"].value("owed", 0)));
      }
      std::printf("\n");
    }
  }
  if (!seen) return 1;
  return CurrentIs(*seen, "ready") ? 0 : 3;
}

// ---- Logs ----

// The Unix time in ms that a line begins with, as text or as JSON; 0 where it has none.
std::int64_t TimeOf(const std::string& line) {
  if (line.starts_with("{\"ts\":")) return std::strtoll(line.c_str() + 6, nullptr, 10);
  return std::strtoll(line.c_str(), nullptr, 10);
}

int Logs(const ApplianceOptions& options) {
  const std::vector<std::string> names = {"supervisor.log", "node-0.log", "node-1.log"};
  std::map<std::string, std::uintmax_t> read;
  // The lines that came to the files since the last call, by time.
  const auto news = [&] {
    std::vector<std::string> lines;
    for (const std::string& name : names) {
      const std::string path = options.state + '/' + name;
      std::error_code none;
      const std::uintmax_t size = std::filesystem::file_size(path, none);
      if (none) continue;
      if (size < read[name]) read[name] = 0;  // Set aside since, and begun anew.
      std::ifstream file(path, std::ios::binary);
      file.seekg(static_cast<std::streamoff>(read[name]));
      for (std::string line; std::getline(file, line);) {
        if (file.eof()) break;  // Not whole yet.
        read[name] += line.size() + 1;
        lines.push_back(std::move(line));
      }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const std::string& a, const std::string& b) { return TimeOf(a) < TimeOf(b); });
    return lines;
  };
  std::vector<std::string> lines = news();
  const std::size_t most = static_cast<std::size_t>(options.lines);
  for (std::size_t i = lines.size() - std::min(most, lines.size()); i < lines.size(); ++i) {
    std::cout << log::Printable(lines[i]) << '\n';
  }
  while (options.follow && std::cout.flush()) {
    std::this_thread::sleep_for(300ms);
    for (const std::string& line : news()) std::cout << log::Printable(line) << '\n';
  }
  return 0;
}

}  // namespace

void AddAppliance(CLI::App& app, int& status) {
  const auto options = std::make_shared<ApplianceOptions>();
  CLI::App* appliance = app.add_subcommand("appliance", "Run a node for good, watched by a supervisor");
  appliance->require_subcommand(1);
  appliance->footer(
      "A first day:\n"
      "  hingelink appliance check --config deploy/appliance.json\n"
      "  hingelink appliance up --config deploy/appliance.json\n"
      "  hingelink appliance console\n"
      "  hingelink appliance drain     (answers all it has read, then stops the node)\n"
      "  hingelink appliance up        (starts it again)\n"
      "  hingelink appliance down      (drains, and ends the supervisor too)");
  const auto add = [&](const char* name, const char* what, int (*run)(const ApplianceOptions&)) {
    CLI::App* command = appliance->add_subcommand(name, what);
    command->add_option("--state", options->state, "The folder of the appliance's state")
        ->envname("HINGELINK_STATE")
        ->capture_default_str();
    command->callback([options, run, &status] { status = run(*options); });
    return command;
  };
  const auto with_config = [&](CLI::App* command) {
    command->add_option("--config", options->config, "The appliance's file; otherwise that of the last 'up'")
        ->envname("HINGELINK_APPLIANCE");
    return command;
  };
  const auto with_wait = [&](CLI::App* command) {
    command->add_option("--wait", options->wait_s, "Seconds to wait for it")
        ->check(CLI::Range(1, 3600))
        ->capture_default_str();
    return command;
  };
  with_wait(with_config(add("up", "Start the node, and a supervisor that keeps it up", Up)));
  CLI::App* resume = appliance->add_subcommand(
      "resume", "Start a supervisor that goes on with what was planned (for cron, or after its death)");
  resume->add_option("--state", options->state, "The folder of the appliance's state")
      ->envname("HINGELINK_STATE")
      ->capture_default_str();
  resume->callback([options, &status] {
    options->resume = true;
    status = Up(*options);
  });
  add("status", "What the supervisor and its node do", ShowStatus)
      ->add_flag("--json", options->as_json, "For scripts");
  CLI::App* console = appliance->add_subcommand("console", "The console of this appliance's node");
  console->add_option("--state", options->state, "The folder of the appliance's state")
      ->envname("HINGELINK_STATE")
      ->capture_default_str();
  console->callback([options, &status] {
    console::Options run;
    run.socket = options->state + "/" + kNodeSocket;
    run.supervisor = SupervisorSocket(*options);
    status = console::Run(run);
  });
  with_wait(add("drain", "Answer all that was read, and stop the node; the supervisor stays", Drain));
  with_wait(add("upgrade", "Put a new process in the node's place; nobody is turned away", Upgrade));
  with_config(add("reload", "Take the changed file without a restart, whole or not at all", Reload));
  add("connections", "The connections of the gateways to the node", Connections);
  add("log-level", "Tell or set how much the node logs, until it ends", LogLevel)
      ->add_option("level", options->level, "debug, info, warning or error")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  CLI::App* logs = add("logs", "The last lines of supervisor and node", Logs);
  logs->add_option("-n,--lines", options->lines, "So many lines")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  logs->add_flag("-f,--follow", options->follow, "And what comes from now on");
  with_wait(add("down", "Drain, and end the supervisor too", Down));
  CLI::App* check =
      appliance->add_subcommand("check", "Read the appliance's file and tell all that is wrong with it");
  with_config(check);
  check->callback([options, &status] { status = Check(ConfigPath(*options)) ? 0 : 1; });
  CLI::App* supervise = with_config(add("supervise", "The supervisor itself, in the foreground", Supervise));
  supervise->add_flag("--resume", options->resume, "Go on with what was planned");
}

}  // namespace hingelink::cli
