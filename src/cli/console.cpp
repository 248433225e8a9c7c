#include "console/console.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>

#include "cli/commands.h"
#include "cli/state_folder.h"
#include "control/client.h"

namespace hingelink::cli {
namespace {

struct WatchOptions {
  std::string socket;
  std::string state = DefaultStateFolder();
  int every_ms = 500;
  bool once = false;
  bool json = false;
};

void AddWhere(CLI::App* command, WatchOptions& options) {
  command->add_option("--state", options.state, "The appliance's state folder")
      ->envname("HINGELINK_STATE")
      ->capture_default_str();
  command->add_option("--socket", options.socket, "A node's control socket, instead of an appliance's");
}

std::string SocketOf(const WatchOptions& options) {
  return options.socket.empty() ? options.state + "/" + kNodeSocket : options.socket;
}

}  // namespace

void AddConsole(CLI::App& app, int& status) {
  const auto options = std::make_shared<WatchOptions>();
  CLI::App* console = app.add_subcommand("console", "Watch a node at the terminal, and drain it");
  console->footer(
      "Keys: q quit, d drain, p pause, f filter, h help. Whatever becomes of the console, the node goes on.");
  AddWhere(console, *options);
  console->add_option("--every-ms", options->every_ms, "Between two pictures")
      ->check(CLI::Range(100, 60'000))
      ->capture_default_str();
  console->add_flag("--once", options->once, "Print one picture as text and end");
  console->callback([options, &status] {
    console::Options run;
    run.socket = SocketOf(*options);
    if (options->socket.empty()) run.supervisor = options->state + "/" + kSupervisorSocket;
    run.every = std::chrono::milliseconds(options->every_ms);
    run.once = options->once;
    status = console::Run(run);
  });
}

void AddStatus(CLI::App& app, int& status) {
  const auto options = std::make_shared<WatchOptions>();
  CLI::App* command = app.add_subcommand("status", "One picture of a node: as text, or as JSON for scripts");
  command->footer(
      "Exit status: 0 the node answers and is ready, 3 it answers and is not ready, 1 nobody answers.");
  AddWhere(command, *options);
  command->add_flag("--json", options->json,
                    "The snapshot as deploy/schema/control-snapshot.json describes it");
  command->callback([options, &status] {
    if (!options->json) {
      console::Options run;
      run.socket = SocketOf(*options);
      run.once = true;
      status = console::Run(run);
      return;
    }
    try {
      const nlohmann::json seen = control::Client(SocketOf(*options)).Call("status");
      std::printf("%s\n", seen.dump(2).c_str());
      status = seen.value("ready", false) ? 0 : 3;
    } catch (const std::exception& fault) {
      std::fprintf(stderr, "hingelink: %s\n", fault.what());
      status = 1;
    }
  });
}

}  // namespace hingelink::cli
