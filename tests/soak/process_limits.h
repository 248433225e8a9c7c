// The memory and the descriptors of a process, as the kernel counts them.
#ifndef HINGELINK_TESTS_SOAK_PROCESS_LIMITS_H_
#define HINGELINK_TESTS_SOAK_PROCESS_LIMITS_H_

#include <sys/types.h>

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>

namespace hingelink::soak {

// The value of a line of /proc/PID/status, without its key; empty if there is none.
inline std::string StatusLine(pid_t pid, const std::string& key) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(key + ':')) return line.substr(key.size() + 1);
  }
  return {};
}

// Resident memory in MB; 0 if the process has ended.
inline double ResidentMb(pid_t pid) {
  const std::string line = StatusLine(pid, "VmRSS");
  constexpr double kKbPerMb = 1024;
  return line.empty() ? 0 : std::stod(line) / kKbPerMb;
}

// Open descriptors; 0 if the process has ended.
inline std::size_t OpenDescriptors(pid_t pid) {
  std::error_code error;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", error), end;
       !error && it != end; it.increment(error)) {
    ++count;
  }
  return count;
}

// Whether the process runs this program, and not yet the one that started it.
inline bool RunsProgram(pid_t pid, const std::string& program) {
  std::error_code error;
  return std::filesystem::equivalent("/proc/" + std::to_string(pid) + "/exe", program, error) && !error;
}

// Whether the process handles the signal or holds it back.
inline bool HandlesSignal(pid_t pid, int number) {
  const std::uint64_t bit = std::uint64_t{1} << (number - 1);
  for (const char* key : {"SigCgt", "SigBlk"}) {
    const std::string line = StatusLine(pid, key);
    if (!line.empty() && (std::stoull(line, nullptr, 16) & bit) != 0) return true;
  }
  return false;
}

}  // namespace hingelink::soak

#endif  // HINGELINK_TESTS_SOAK_PROCESS_LIMITS_H_
