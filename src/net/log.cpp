#include "net/log.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>

namespace hingelink::net {

void LogLine(const char* format, ...) {
  char line[1024];
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const int stamp =
      std::snprintf(line, sizeof line, "%lld ", static_cast<long long>(now.time_since_epoch().count()));
  std::va_list args;
  va_start(args, format);
  const int text = std::vsnprintf(line + stamp, sizeof line - stamp - 1, format, args);
  va_end(args);
  const int end = stamp + std::clamp(text, 0, static_cast<int>(sizeof line) - stamp - 2);
  line[end] = '\n';
  // A log that cannot be written is no reason to stop serving.
  if (write(STDERR_FILENO, line, static_cast<std::size_t>(end) + 1) < 0) return;
}

}  // namespace hingelink::net
