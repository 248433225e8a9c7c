#include "proto/handover_lines.h"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace hingelink::proto {
namespace {

constexpr std::string_view kLoad = "load ";

// Takes a number that is not negative off the front, and the space behind it.
template <typename T>
bool Take(std::string_view& line, T& value) {
  const auto [end, fault] = std::from_chars(line.data(), line.data() + line.size(), value);
  if (fault != std::errc() || !(value >= 0) || !std::isfinite(static_cast<double>(value))) return false;
  line.remove_prefix(static_cast<std::size_t>(end - line.data()));
  if (!line.empty() && line.front() != ' ') return false;
  if (!line.empty()) line.remove_prefix(1);
  return true;
}

}  // namespace

std::string EncodeLoad(const LoadLine& load) {
  char line[kMostHandoverLine];
  std::snprintf(line, sizeof line, "load %d %.3f %.3f %zu\n", load.running, load.kb, load.work_ms,
                load.connections);
  return line;
}

std::optional<LoadLine> ReadLoad(std::string_view line) {
  LoadLine load;
  if (!line.starts_with(kLoad)) return std::nullopt;
  line.remove_prefix(kLoad.size());
  if (!Take(line, load.running) || !Take(line, load.kb) || !Take(line, load.work_ms) ||
      !Take(line, load.connections) || !line.empty()) {
    return std::nullopt;
  }
  return load;
}

}  // namespace hingelink::proto
