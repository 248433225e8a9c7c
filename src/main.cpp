// The command line of the portal node.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "node/config.h"
#include "node/node.h"

int main(int argc, char** argv) {
  CLI::App app("hingelink: the portal node of the customer portal");
  app.require_subcommand(1);
  std::string config;
  const auto with_config = [&config](CLI::App* command) {
    command->add_option("--config", config, "The node's configuration, a JSON file")
        ->envname("NODE_CONFIG")
        ->required();
    return command;
  };
  const CLI::App* serve = with_config(app.add_subcommand("serve", "Serve until told to leave"));
  const CLI::App* check =
      with_config(app.add_subcommand("check-config", "Read the configuration and say what is wrong"));
  const CLI::App* version = app.add_subcommand("version", "Print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*version) {
      std::puts("hingelink " HINGELINK_VERSION);
    } else if (*check) {
      const hingelink::node::Config read = hingelink::node::ReadConfig(config);
      std::printf("%s: good, %zu classes\n", config.c_str(), read.settings.classes.size());
    } else if (*serve) {
      const auto read = [&config] {
        hingelink::node::Config fresh = hingelink::node::ReadConfig(config);
        if (const char* ops = std::getenv("NODE_OPS"); fresh.ops.empty() && ops != nullptr) fresh.ops = ops;
        return fresh;
      };
      const char* shared = std::getenv("TMPDIR");
      hingelink::node::Node(read(), read, shared != nullptr ? shared : "").Run();
    }
    return 0;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "hingelink: %s\n", fault.what());
    return 1;
  }
}
