// The sub-commands, each in a file of its own. Each Add...() adds its sub-command to the program; what it
// does runs while the command line is parsed, and sets the exit status where that is not 0.
#ifndef HINGELINK_CLI_COMMANDS_H_
#define HINGELINK_CLI_COMMANDS_H_

#include <CLI/CLI.hpp>

namespace hingelink::cli {

void AddServe(CLI::App& app);
void AddCheckConfig(CLI::App& app);

// Those below are left out of a build without HINGELINK_TOOLS.
void AddAppliance(CLI::App& app, int& status);
void AddConsole(CLI::App& app, int& status);
void AddStatus(CLI::App& app, int& status);
void AddStandin(CLI::App& app, int& status);
void AddDemo(CLI::App& app, int& status);
void AddState(CLI::App& app, int& status);
void AddBackground(CLI::App& app, int& status);
void AddFleet(CLI::App& app, int& status);
void AddLab(CLI::App& app, int& status);
void AddLabCrowd(CLI::App& lab, int& status);
void AddLabSeries(CLI::App& lab, int& status);
void AddCompletion(CLI::App& app);

}  // namespace hingelink::cli

#endif  // HINGELINK_CLI_COMMANDS_H_
