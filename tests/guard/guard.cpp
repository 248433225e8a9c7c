#include "guard.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

namespace guard {
namespace {

namespace fs = std::filesystem;

// Refused on the platform whatever their arguments.
constexpr std::array kNever = {
    "fork",     "vfork", "execveat", "io_uring_setup", "io_uring_enter", "splice", "io_uring_register",
    "vmsplice", "tee",   "sendfile"};
// Looked at more closely.
constexpr std::array kSome = {"execve",     "clone",      "clone3",      "socket",
                              "socketpair", "epoll_wait", "epoll_pwait", "epoll_pwait2"};

std::string Proc(pid_t pid, const char* what) { return "/proc/" + std::to_string(pid) + '/' + what; }

// "0100007F:1F90" of /proc/net as "127.0.0.1:8080".
std::string Address(const std::string& hex) {
  const in_addr at{static_cast<in_addr_t>(std::strtoul(hex.substr(0, 8).c_str(), nullptr, 16))};
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &at, text, sizeof text);
  return std::string(text) + ':' + std::to_string(std::strtoul(hex.substr(9).c_str(), nullptr, 16));
}

}  // namespace

std::string TraceFilter() {
  std::string names = "trace=";
  for (const char* name : kNever) names.append("?").append(name).append(",");
  for (const char* name : kSome) names.append("?").append(name).append(",");
  names.pop_back();
  return names;
}

std::vector<Call> ReadTrace(const std::string& path) {
  std::vector<Call> calls;
  std::map<pid_t, std::string> unfinished;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    std::size_t at = 0;
    const pid_t thread = std::stoi(line, &at);
    std::string text = line.substr(line.find_first_not_of(' ', at));
    if (text.starts_with("---") || text.starts_with("+++")) continue;
    if (const auto cut = text.find(" <unfinished ...>"); cut != std::string::npos) {
      unfinished[thread] = text.substr(0, cut);
      continue;
    }
    if (text.starts_with("<... ")) {
      text = unfinished[thread] + text.substr(text.find(" resumed>") + 9);
      unfinished.erase(thread);
    }
    calls.push_back({thread, text.substr(0, text.find('(')), text});
  }
  // Of a call that never ended what it was is known all the same.
  for (const auto& [thread, text] : unfinished)
    calls.push_back({thread, text.substr(0, text.find('(')), text});
  return calls;
}

std::vector<std::string> Refused(const std::vector<Call>& calls, const std::vector<std::string>& programs,
                                 bool handover) {
  std::vector<std::string> wrong;
  std::size_t started = 0;
  bool waits = false;
  for (const Call& call : calls) {
    const bool good = call.text.rfind(" = -1 ") == std::string::npos;
    if (call.name == "epoll_wait" || call.name == "epoll_pwait" || call.name == "epoll_pwait2") waits = true;
    if (std::find(kNever.begin(), kNever.end(), call.name) != kNever.end()) {
      wrong.push_back("refused on the platform: " + call.text);
    } else if (call.name == "execve" && good) {
      if (started >= programs.size() || call.text.find(programs[started]) == std::string::npos) {
        wrong.push_back("starts another program: " + call.text);
      }
      ++started;
    } else if ((call.name == "clone" || call.name == "clone3") &&
               call.text.find("CLONE_THREAD") == std::string::npos) {
      wrong.push_back("a second process: " + call.text);
    } else if (call.name == "socket" || call.name == "socketpair") {
      const bool unix_socket =
          call.text.find("AF_UNIX") != std::string::npos || call.text.find("AF_LOCAL") != std::string::npos;
      const bool inet = call.text.find("(AF_INET,") != std::string::npos;
      if (!inet && !(unix_socket && handover && !waits)) {
        wrong.push_back("neither TCP nor UDP over IPv4: " + call.text);
      }
    }
  }
  if (started < programs.size()) wrong.push_back("never started " + programs[started]);
  return wrong;
}

std::vector<pid_t> Descendants(pid_t pid) {
  std::multimap<pid_t, pid_t> children;
  for (const auto& entry : fs::directory_iterator("/proc")) {
    const std::string name = entry.path().filename();
    if (name.find_first_not_of("0123456789") != std::string::npos) continue;
    std::ifstream file(entry.path() / "stat");
    std::string line;
    if (!std::getline(file, line)) continue;  // It has ended meanwhile.
    std::istringstream words(line.substr(line.rfind(')') + 1));
    std::string state;
    pid_t parent = 0;
    words >> state >> parent;
    children.emplace(parent, std::stoi(name));
  }
  std::vector<pid_t> found;
  std::vector<pid_t> open = {pid};
  while (!open.empty()) {
    const auto [from, to] = children.equal_range(open.back());
    open.pop_back();
    for (auto it = from; it != to; ++it) {
      found.push_back(it->second);
      open.push_back(it->second);
    }
  }
  return found;
}

std::set<std::string> Libraries(pid_t pid) {
  std::set<std::string> names;
  std::ifstream file(Proc(pid, "maps"));
  std::string line;
  while (std::getline(file, line)) {
    const auto slash = line.find('/');
    if (slash == std::string::npos) continue;
    std::string name = fs::path(line.substr(slash)).filename();
    const auto so = name.find(".so");
    if (so == std::string::npos) continue;
    // Without the version behind the interface's: another one may be installed tomorrow.
    if (const auto minor = name.find('.', so + 4); minor != std::string::npos) name.resize(minor);
    names.insert(name);
  }
  return names;
}

std::size_t Threads(pid_t pid) {
  const fs::directory_iterator tasks(Proc(pid, "task"));
  return static_cast<std::size_t>(std::distance(begin(tasks), end(tasks)));
}

std::multiset<std::string> Listeners(pid_t pid) {
  std::set<std::string> inodes;
  for (const auto& fd : fs::directory_iterator(Proc(pid, "fd"))) {
    std::error_code gone;
    const std::string target = fs::read_symlink(fd, gone);
    if (target.starts_with("socket:[")) inodes.insert(target.substr(8, target.size() - 9));
  }
  std::multiset<std::string> found;
  for (const char* kind : {"tcp", "tcp6", "udp", "udp6", "unix"}) {
    std::ifstream file(Proc(pid, "net/") + kind);
    std::string line;
    std::getline(file, line);  // The heads of the columns.
    while (std::getline(file, line)) {
      std::istringstream words(line);
      const std::vector<std::string> fields(std::istream_iterator<std::string>(words), {});
      if (std::string_view(kind) == "unix") {
        if (fields.size() > 6 && inodes.contains(fields[6])) found.insert("unix");
      } else if (fields.size() > 9 && inodes.contains(fields[9])) {
        const bool listens = fields[3] == "0A";
        if (!std::string_view(kind).starts_with("tcp") || listens)
          found.insert(std::string(kind) + ' ' + (kind[3] == '6' ? fields[1] : Address(fields[1])));
      }
    }
  }
  return found;
}

}  // namespace guard
