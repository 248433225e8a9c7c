#include "appliance/processes.h"

#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstring>
#include <fstream>
#include <stdexcept>

namespace hingelink::appliance {

std::optional<std::uint64_t> StartTicks(std::int64_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (pid <= 0 || !std::getline(file, line)) return std::nullopt;
  // The second field is the program's name in parentheses. The name may contain parentheses and spaces.
  std::size_t at = line.rfind(')');
  if (at == std::string::npos || at + 2 >= line.size()) return std::nullopt;
  if (line[at + 2] == 'Z' || line[at + 2] == 'X') return std::nullopt;  // A zombie or dead process.
  // Field 3 follows the closing parenthesis. The start time is field 22.
  at += 2;
  for (int field = 3; field < 22; ++field) {
    at = line.find(' ', at);
    if (at == std::string::npos) return std::nullopt;
    ++at;
  }
  std::uint64_t ticks = 0;
  const auto [end, fault] = std::from_chars(line.data() + at, line.data() + line.size(), ticks);
  if (fault != std::errc() || end == line.data() + at) return std::nullopt;
  return ticks;
}

std::optional<Process> Process::Find(const decide::ProcessId& id) {
  if (id.pid <= 1) return std::nullopt;
  net::Descriptor fd(static_cast<int>(syscall(SYS_pidfd_open, static_cast<pid_t>(id.pid), 0)));
  if (fd.get() < 0) return std::nullopt;
  // The start time is checked after the pidfd is opened: from then on the pidfd refers to this process, even
  // if the pid is reused.
  if (StartTicks(id.pid) != id.start_ticks) return std::nullopt;
  return Process(id, std::move(fd));
}

void Process::Signal(int number) const { syscall(SYS_pidfd_send_signal, fd_.get(), number, nullptr, 0); }

PendingProcess::PendingProcess(const std::string& program, const std::vector<std::string>& args,
                               const std::map<std::string, std::string>& environment,
                               const std::string& output) {
  std::vector<std::string> arguments = {program};
  arguments.insert(arguments.end(), args.begin(), args.end());
  std::vector<char*> argv;
  for (std::string& text : arguments) argv.push_back(text.data());
  argv.push_back(nullptr);
  std::map<std::string, std::string> merged;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    const std::string entry = *variable;
    merged[entry.substr(0, entry.find('='))] = entry.substr(entry.find('=') + 1);
  }
  for (const auto& [name, value] : environment) merged[name] = value;
  std::vector<std::string> entries;
  for (const auto& [name, value] : merged) entries.push_back(name + '=' + value);
  std::vector<char*> env;
  for (std::string& entry : entries) env.push_back(entry.data());
  env.push_back(nullptr);
  int pipe_fds[2];
  if (pipe2(pipe_fds, O_CLOEXEC) != 0) throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
  net::Descriptor read_end(pipe_fds[0]);
  release_pipe_ = net::Descriptor(pipe_fds[1]);
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
  if (pid == 0) {
    // Detaches from the supervisor's terminal and process group, so that a closed terminal or Ctrl-C there
    // does not end the node.
    setsid();
    // While the child holds the write end itself, read() never reports that the supervisor has exited.
    close(pipe_fds[1]);
    char release_byte = 0;
    ssize_t bytes_read;
    while ((bytes_read = read(pipe_fds[0], &release_byte, 1)) < 0 && errno == EINTR) {
    }
    // The supervisor exited before it recorded this process. A node that ran now would be unknown to the next
    // supervisor.
    if (bytes_read != 1) _exit(0);
    const int in = open("/dev/null", O_RDONLY);
    const int out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (in >= 0) dup2(in, STDIN_FILENO);
    if (out >= 0) dup2(out, STDOUT_FILENO);
    if (out >= 0) dup2(out, STDERR_FILENO);
    close_range(3, ~0U, 0);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    for (const int number : {SIGPIPE, SIGHUP, SIGINT, SIGTERM, SIGCHLD}) std::signal(number, SIG_DFL);
    execve(program.c_str(), argv.data(), env.data());
    _exit(127);
  }
  id_.pid = pid;
  const auto ticks = StartTicks(pid);
  if (!ticks) throw std::runtime_error("the new process exited immediately");
  id_.start_ticks = *ticks;
}

void PendingProcess::Release() {
  if (release_pipe_.get() < 0) return;
  const char release_byte = 'g';
  // A write of one byte to an empty pipe never blocks. It fails only if the child has exited.
  if (write(release_pipe_.get(), &release_byte, 1) != 1) return;
  release_pipe_ = net::Descriptor();
}

}  // namespace hingelink::appliance
