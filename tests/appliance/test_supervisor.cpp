// A supervisor that kills itself before a given action. Arguments: state directory, configuration file, the
// node's program, `up` or `resume`, and the number of the action (0: none).
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "appliance/supervisor.h"
#include "log/log.h"

int main(int argc, char** argv) {
  if (argc != 6) return 2;
  try {
    hingelink::log::Options log;
    log.file = std::string(argv[1]) + "/supervisor.log";
    hingelink::log::Configure(log);
    hingelink::appliance::SupervisorOptions options;
    options.folder = argv[1];
    options.config = argv[2];
    options.program = argv[3];
    options.seed = 1;
    options.start_requested = std::string(argv[4]) == "up";
    if (const std::uint64_t step = std::strtoull(argv[5], nullptr, 10); step > 0) {
      options.before_action = [step](const char*, std::uint64_t count) {
        if (count == step) kill(getpid(), SIGKILL);
      };
    }
    hingelink::appliance::Supervisor(std::move(options)).Run();
    hingelink::log::Close();
    return 0;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "%s\n", fault.what());
    return 1;
  }
}
