// Linked into a node beside its own code: does what the platform refuses, for the guard to find. The
// environment variable PLANTED says which; at SIGUSR2, so that the start is over.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/sendfile.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <string_view>
#include <thread>

namespace {

std::string_view Which() {
  const char* which = std::getenv("PLANTED");
  return which == nullptr ? std::string_view() : which;
}

void Act(int) {
  const std::string_view which = Which();
  if (which == "fork" || which == "program") {
    const pid_t pid = fork();
    if (pid == 0) {
      if (which == "program") execl("/bin/true", "true", static_cast<char*>(nullptr));
      _exit(0);
    }
    waitpid(pid, nullptr, 0);
  } else if (which == "io_uring") {
    syscall(SYS_io_uring_setup, 1, nullptr);
  } else if (which == "splice") {
    syscall(SYS_splice, -1, nullptr, -1, nullptr, 0, 0);
  } else if (which == "sendfile") {
    sendfile(-1, -1, nullptr, 0);
  } else if (which == "unix") {
    close(socket(AF_UNIX, SOCK_STREAM, 0));
  } else if (which == "ipv6") {
    close(socket(AF_INET6, SOCK_STREAM, 0));
  } else if (which == "library") {
    dlopen("libutil.so.1", RTLD_NOW);
  } else if (which == "listener") {
    listen(socket(AF_INET, SOCK_STREAM, 0), 1);
  } else if (which == "thread") {
    std::thread([] { pause(); }).detach();
  } else if (which == "process") {
    if (fork() == 0) {
      pause();
      _exit(0);
    }
  }
}

const bool planted = [] {
  if (!Which().empty()) std::signal(SIGUSR2, Act);
  return true;
}();

}  // namespace
