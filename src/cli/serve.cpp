#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>

#include "cli/commands.h"
#include "cli/control_of_node.h"
#include "cli/held_signals.h"
#include "cli/topology.h"
#include "decide/loops/core_pinning.h"
#include "log/log.h"
#include "node/config.h"
#include "node/node.h"

namespace hingelink::cli {
namespace {

struct ServeOptions {
  std::string config;
  std::string control;
  std::string learned;
  std::string peers;
  std::string services;
  std::uint64_t generation = 0;
  std::size_t threads = 1;
  bool pin = false;
  std::string log_format = "text";
  std::string log_level = "info";
  std::string log_file;
  std::size_t log_bytes = 1 << 20;
  std::size_t log_keep = 5;
};

void AddConfig(CLI::App* command, std::string& config) {
  command->add_option("--config", config, "The node's configuration, a JSON file")
      ->envname("NODE_CONFIG")
      ->required();
}

void Serve(const ServeOptions& options) {
  HeldSignals held_signals;
  log::Options log;
  log.json = options.log_format == "json";
  log::ParseLevel(options.log_level, log.level);
  log.file = options.log_file;
  log.rotate_bytes = options.log_bytes;
  log.keep = options.log_keep;
  // Only a node that can be watched keeps lines for watchers.
  log.recent = options.control.empty() ? 0 : 32;
  log::Configure(log);
  const auto read = [&options] {
    node::Config fresh = node::ReadConfig(options.config);
    if (const char* ops = std::getenv("NODE_OPS"); fresh.admin_address.empty() && ops != nullptr)
      fresh.admin_address = ops;
    return fresh;
  };
  const char* shared = std::getenv("TMPDIR");
  std::unique_ptr<ServicesOfNode> services;
  if (!options.services.empty()) services = ReadServices(options.services);
  {
    node::Node node(read(), read, shared != nullptr ? shared : "", options.threads,
                    services ? services->Maker() : node::Node::WorkerPoolFactory());
    held_signals.Release();
    if (options.pin) {
      const decide::CorePinningPlan plan = decide::PlanCorePinning(AllowedUnits(), options.threads);
      log::Info("pin", {{"", plan.description}});
      node.BindThreads(plan.units);
    }
    std::unique_ptr<StateOfNode> state;
    if (!options.learned.empty()) state = KeepState(node, options.learned);
    std::unique_ptr<FleetOfNode> fleet;
    if (!options.peers.empty()) fleet = JoinFleet(node, options.peers);
    std::unique_ptr<node::NodeExtension> sharing;
    if (services) sharing = services->Join(node, fleet.get());
    std::unique_ptr<ControlOfNode> control;
    if (!options.control.empty())
      control =
          MakeControl(node, options.control, options.generation, state.get(), fleet.get(), services.get());
    node.Run();
    if (fleet) fleet->Finish();
    if (state) state->Finish();
  }
  // For a supervisor that did not start this process and is not told how it ended.
  if (!options.control.empty()) std::ofstream(options.control + kEndedWell);
  log::Close();
}

}  // namespace

void AddServe(CLI::App& app) {
  const auto options = std::make_shared<ServeOptions>();
  CLI::App* serve = app.add_subcommand("serve", "Serve until told to leave");
  serve->footer(
      "SIGTERM and SIGINT drain the node and end it; SIGHUP makes it read its configuration again.\n"
      "docs/on-call.md explains each line of the log.");
  AddConfig(serve, options->config);
  serve->add_option("--control", options->control, "Answer operators on a UNIX socket at this path");
  serve->add_option(
      "--learned", options->learned,
      "Keep what is learned in this folder, which must last, and begin with it at the next start");
  serve->add_option("--peers", options->peers,
                    "Join the other nodes as this file says (deploy/schema/peers.json)");
  serve->add_option(
      "--services", options->services,
      "Run on services that other nodes share, as this file says (deploy/schema/services.json)");
  serve->add_option("--generation", options->generation, "Which start this is, told to who watches");
  serve
      ->add_option("--threads", options->threads,
                   "Threads in all: one decides, the others carry connections; with 1 it does both")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  serve->add_flag("--pin", options->pin, "Bind each thread to a core, the deciding one to a core of its own");
  serve->add_option("--log-format", options->log_format, "text or json")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  serve->add_option("--log-level", options->log_level, "debug, info, warning or error")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}))
      ->capture_default_str();
  serve->add_option("--log-file", options->log_file, "Log to this file instead of standard error");
  serve->add_option("--log-bytes", options->log_bytes, "Set the file aside at this size")
      ->capture_default_str();
  serve->add_option("--log-keep", options->log_keep, "Keep so many files that were set aside")
      ->capture_default_str();
  serve->callback([options] { Serve(*options); });
}

void AddCheckConfig(CLI::App& app) {
  const auto config = std::make_shared<std::string>();
  CLI::App* check = app.add_subcommand("check-config", "Read the configuration and say what is wrong");
  AddConfig(check, *config);
  check->callback([config] {
    const node::Config read = node::ReadConfig(*config);
    std::printf("%s: good, %zu classes\n", config->c_str(), read.settings.classes.size());
  });
}

}  // namespace hingelink::cli
