#include "net/log.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <utility>

namespace hingelink::net {

namespace {

void Write(const char* format, std::va_list args) {
  char line[1024];
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const int stamp =
      std::snprintf(line, sizeof line, "%lld ", static_cast<long long>(now.time_since_epoch().count()));
  const int text = std::vsnprintf(line + stamp, sizeof line - stamp - 1, format, args);
  const int end = stamp + std::clamp(text, 0, static_cast<int>(sizeof line) - stamp - 2);
  line[end] = '\n';
  // A log that cannot be written is no reason to stop serving.
  if (write(STDERR_FILENO, line, static_cast<std::size_t>(end) + 1) < 0) return;
}

}  // namespace

void LogLine(const char* format, ...) {
  std::va_list args;
  va_start(args, format);
  Write(format, args);
  va_end(args);
}

// Guards against a flood of connections that fills the log's disk and takes the core.
void LogPeerLine(const char* format, ...) {
  static LogBudget budget;
  if (!budget.Take(std::chrono::steady_clock::now())) return;
  if (const long lines = budget.TakeLeftOut(); lines > 0) LogLine("log-left-out lines=%ld", lines);
  std::va_list args;
  va_start(args, format);
  Write(format, args);
  va_end(args);
}

bool LogBudget::Take(Time now) {
  const double passed = std::chrono::duration<double>(now - last_).count();
  stock_ = std::min<double>(kBurst, stock_ + kEachSecond * passed);
  last_ = now;
  if (stock_ < 1) {
    ++left_out_;
    return false;
  }
  stock_ -= 1;
  return true;
}

long LogBudget::TakeLeftOut() { return std::exchange(left_out_, 0); }

}  // namespace hingelink::net
