// The command line: assembles the sub-commands of src/cli.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "cli/commands.h"

namespace {

int Run(int argc, char** argv) {
  CLI::App app(
      "hingelink: a portal node that decides for each request whether it is run, held or turned away");
  app.require_subcommand(1);
  app.footer(
      "Start with 'hingelink demo' to see a node serve, or 'hingelink appliance up' to run one for good.\n"
      "'hingelink COMMAND --help' tells more of each.");
  int status = 0;
#ifdef HINGELINK_TOOLS
  hingelink::cli::AddDemo(app, status);
  hingelink::cli::AddAppliance(app, status);
  hingelink::cli::AddConsole(app, status);
  hingelink::cli::AddStatus(app, status);
  hingelink::cli::AddStandin(app, status);
  hingelink::cli::AddState(app, status);
  hingelink::cli::AddBackground(app, status);
  hingelink::cli::AddFleet(app, status);
  hingelink::cli::AddLab(app, status);
  hingelink::cli::AddCompletion(app);
#endif
  hingelink::cli::AddServe(app);
  hingelink::cli::AddCheckConfig(app);
  app.add_subcommand("version", "Print the version")->callback([] {
    std::puts("hingelink " HINGELINK_VERSION);
  });
  try {
    app.parse(argc, argv);
  } catch (const CLI::Error& stop) {
    return app.exit(stop);
  }
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "hingelink: %s\n", fault.what());
    return 1;
  }
}
