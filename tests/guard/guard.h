// What the platform's page refuses, looked for in a run of the node from outside: its processes, the files
// that it maps, its sockets, and each system call that it makes, as strace tells them.
#ifndef HINGELINK_TESTS_GUARD_GUARD_H_
#define HINGELINK_TESTS_GUARD_GUARD_H_

#include <sys/types.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace guard {

// A system call as strace prints it: "socket(AF_UNIX, SOCK_STREAM, 0) = 5", of one thread.
struct Call {
  pid_t thread = 0;
  std::string name;
  std::string text;
};

// What strace is to be told with -e, for Refused() to see all that it looks for.
std::string TraceFilter();

// The calls of a file of `strace -f -o FILE`, in order; one that was interrupted in print counts once.
std::vector<Call> ReadTrace(const std::string& path);

// What is wrong with the calls: one line each, empty where nothing is. The process may start its program (one
// execve that works for each in `programs`, in this order) and threads; beyond that nothing the page refuses.
// `handover`: the sockets of upgrades may be made until the first wait of the loop.
std::vector<std::string> Refused(const std::vector<Call>& calls, const std::vector<std::string>& programs,
                                 bool handover);

// Of a process that runs: the processes that descend from it, the libraries that it maps (without folder and
// minor version), how many threads it has, and its sockets ("tcp 127.0.0.1:80 listens", "udp ...", "unix").
std::vector<pid_t> Descendants(pid_t pid);
std::set<std::string> Libraries(pid_t pid);
std::size_t Threads(pid_t pid);
std::multiset<std::string> Listeners(pid_t pid);

}  // namespace guard

#endif  // HINGELINK_TESTS_GUARD_GUARD_H_
