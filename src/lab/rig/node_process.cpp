#include "lab/rig/node_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace hingelink::lab {
namespace {

// Samples of the wait for a core that are kept: of the last 10 s, if they are taken each 200 ms.
constexpr std::size_t kMaxCoreWaitSamples = 50;
// Exit status if the program cannot be executed, as in the shell.
constexpr int kExitNotExecuted = 127;

}  // namespace

void NodeProcess::Start(const std::vector<std::string>& words, const std::string& folder) {
  if (pid_ > 0) return;
  core_waits_.clear();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("rig: no process");
  if (pid_ > 0) return;
  // Guards against nodes that outlive a rig that was killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open((folder + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv("TMPDIR", (folder + "/run").c_str(), 1);
  std::vector<char*> args;
  for (const std::string& word : words) args.push_back(const_cast<char*>(word.c_str()));
  args.push_back(nullptr);
  execv(args[0], args.data());
  _exit(kExitNotExecuted);
}

void NodeProcess::Signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

void NodeProcess::Kill() {
  if (pid_ <= 0) return;
  Gather();
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
  earlier_seconds_ = cpu_seconds_;
}

bool NodeProcess::Ended() {
  if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  earlier_seconds_ = cpu_seconds_;
  return true;
}

void NodeProcess::Gather() {
  if (pid_ <= 0) return;
  GatherCoreWait();
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string line;
  if (!std::getline(file, line)) return;
  // Behind the name, which may hold any bytes. By proc(5): utime, stime and rss are the fields 14, 15 and 24.
  std::istringstream words(line.substr(line.rfind(')') + 2));
  const std::vector<std::string> fields(std::istream_iterator<std::string>(words), {});
  if (fields.size() < 22) return;
  const double seconds =
      (std::stod(fields[11]) + std::stod(fields[12])) / static_cast<double>(sysconf(_SC_CLK_TCK));
  cpu_seconds_ = earlier_seconds_ + seconds;
  rss_mb_ = std::stod(fields[21]) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

void NodeProcess::GatherCoreWait() {
  // Nanoseconds on a core, nanoseconds ready without a core, and the number of time slices.
  std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
  double on_core_ns = 0;
  double waited_ns = 0;
  if (!(file >> on_core_ns >> waited_ns)) return;
  core_waits_.push_back({std::chrono::steady_clock::now(), Millis(waited_ns / 1e6)});
  if (core_waits_.size() > kMaxCoreWaitSamples) core_waits_.pop_front();
}

Millis NodeProcess::CoreWait(Millis window) const {
  if (core_waits_.empty()) return Millis(0);
  const CoreWaitSample& last = core_waits_.back();
  for (const CoreWaitSample& sample : core_waits_) {
    if (last.at - sample.at <= window) return last.waited - sample.waited;
  }
  return Millis(0);
}

}  // namespace hingelink::lab
