#include "proto/handover_lines.h"

#include <charconv>
#include <cmath>
#include <cstdio>

#include "proto/tokenizer.h"

namespace hingelink::proto {
namespace {

constexpr std::string_view kLoadPrefix = "load ";
constexpr std::string_view kLearnedPrefix = "learned ";
constexpr std::string_view kAttemptsToken = "ran";
constexpr std::string_view kStartedToken = "started";
constexpr std::size_t kAttemptIdLength = 16;  // Hexadecimal digits.
// The largest valid KeyMessage::state.
constexpr int kMaxKeyState = 3;
// Buffer size for the six numbers of a LearnedClassMessage, in characters.
constexpr std::size_t kMaxNumbersLength = 160;

// Moves a non-negative number from the front of `line` to `value` and removes the space after the number.
// Returns false if the number is malformed or negative.
template <typename T>
bool ConsumeNumber(std::string_view& line, T& value) {
  const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), value);
  if (error != std::errc() || !(value >= 0) || !std::isfinite(static_cast<double>(value))) return false;
  line.remove_prefix(static_cast<std::size_t>(end - line.data()));
  if (!line.empty() && line.front() != ' ') return false;
  if (!line.empty()) line.remove_prefix(1);
  return true;
}

// Percent-encodes all characters except letters, digits, '-', '_' and '.'.
std::string EncodeName(std::string_view name) {
  std::string out;
  for (const char character : name) {
    const auto byte = static_cast<unsigned char>(character);
    const bool is_unreserved = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
                               (byte >= 'A' && byte <= 'Z') || character == '-' || character == '_' ||
                               character == '.';
    char text[4];
    std::snprintf(text, sizeof text, is_unreserved ? "%c" : "%%%02X", byte);
    out += text;
  }
  return out;
}

// Reverses EncodeName(). Returns nullopt if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> DecodeName(std::string_view text) {
  std::string out;
  while (!text.empty()) {
    if (text.front() != '%') {
      out += text.front();
      text.remove_prefix(1);
      continue;
    }
    unsigned byte = 0;
    if (text.size() < 3) return std::nullopt;
    const auto [end, error] = std::from_chars(text.data() + 1, text.data() + 3, byte, 16);
    if (error != std::errc() || end != text.data() + 3) return std::nullopt;
    out += static_cast<char>(byte);
    text.remove_prefix(3);
  }
  return out;
}

}  // namespace

std::string EncodeLoadMessage(const LoadMessage& load) {
  char line[kMaxHandoverLineBytes];
  std::snprintf(line, sizeof line, "load %d %.3f %.3f %zu\n", load.running, load.memory_kb,
                load.queued_work_ms, load.connections);
  return line;
}

std::optional<LoadMessage> ParseLoadMessage(std::string_view line) {
  LoadMessage load;
  if (!line.starts_with(kLoadPrefix)) return std::nullopt;
  line.remove_prefix(kLoadPrefix.size());
  if (!ConsumeNumber(line, load.running) || !ConsumeNumber(line, load.memory_kb) ||
      !ConsumeNumber(line, load.queued_work_ms) || !ConsumeNumber(line, load.connections) || !line.empty()) {
    return std::nullopt;
  }
  return load;
}

std::string EncodeStartedMessage(std::chrono::nanoseconds started) {
  char line[kMaxHandoverLineBytes];
  std::snprintf(line, sizeof line, "started %lld\n", static_cast<long long>(started.count()));
  return line;
}

std::optional<std::chrono::nanoseconds> ParseStartedMessage(std::string_view line) {
  Tokenizer tokens(line);
  if (tokens.Next() != kStartedToken) return std::nullopt;
  const auto count = tokens.Number<std::chrono::nanoseconds::rep>();
  return count ? std::optional(std::chrono::nanoseconds(*count)) : std::nullopt;
}

std::string EncodeAttemptsMessage(std::span<const std::uint64_t> ids) {
  std::string line(kAttemptsToken);
  for (const std::uint64_t id : ids) {
    char text[kAttemptIdLength + 2];  // With the space before it.
    std::snprintf(text, sizeof text, " %016llx", static_cast<unsigned long long>(id));
    line.append(text);
  }
  line.push_back('\n');
  return line;
}

std::optional<std::vector<std::uint64_t>> ParseAttemptsMessage(std::string_view line) {
  Tokenizer tokens(line);
  if (tokens.Next() != kAttemptsToken) return std::nullopt;
  std::vector<std::uint64_t> ids;
  for (std::string_view token = tokens.Next(); !token.empty(); token = tokens.Next()) {
    const auto id = Tokenizer(token).Number<std::uint64_t>(16);
    if (!id) return std::nullopt;
    ids.push_back(*id);
  }
  return ids;
}

std::string EncodeKeyMessage(const KeyMessage& key) {
  char line[kMaxHandoverLineBytes];
  std::snprintf(line, sizeof line, "key %016llx %016llx %016llx %d %.3f",
                static_cast<unsigned long long>(key.key.high), static_cast<unsigned long long>(key.key.low),
                static_cast<unsigned long long>(key.content_hash), key.state, key.remaining.count());
  return line + (key.has_result ? ' ' + std::to_string(key.size) : std::string()) + '\n';
}

std::optional<KeyMessage> ParseKeyMessage(std::string_view line) {
  Tokenizer tokens(line);
  if (tokens.Next() != "key") return std::nullopt;
  const auto high = tokens.Number<std::uint64_t>(16);
  const auto low = tokens.Number<std::uint64_t>(16);
  const auto content_hash = tokens.Number<std::uint64_t>(16);
  const auto state = tokens.Number<int>();
  const auto remaining = tokens.Number<double>();
  if (!high || !low || !content_hash || !state || *state < 0 || *state > kMaxKeyState || !remaining ||
      *remaining < 0)
    return std::nullopt;
  KeyMessage key{
      {*high, *low}, *content_hash, *state, std::chrono::duration<double, std::milli>(*remaining), false, 0};
  const std::string_view last = tokens.Next();
  if (last.empty()) return key;
  const auto size = Tokenizer(last).Number<std::size_t>();
  if (!size || *size > kMaxKeyResultBytes || !tokens.Next().empty()) return std::nullopt;
  key.has_result = true;
  key.size = *size;
  return key;
}

std::optional<std::string> EncodeLearnedClassMessage(const LearnedClassMessage& learned) {
  char numbers[kMaxNumbersLength];
  const int size = std::snprintf(numbers, sizeof numbers, " %.4f %.4f %.4f %.4f %.4f %d\n",
                                 learned.latency_objective_ms, learned.deadline_ms, learned.run_ms,
                                 learned.core_time_ms, learned.expected_work_ms, learned.samples);
  std::string line = std::string(kLearnedPrefix) + EncodeName(learned.name) + numbers;
  if (size < 0 || size >= static_cast<int>(sizeof numbers) || line.size() > kMaxHandoverLineBytes)
    return std::nullopt;
  return line;
}

std::optional<LearnedClassMessage> ParseLearnedClassMessage(std::string_view line) {
  if (!line.starts_with(kLearnedPrefix)) return std::nullopt;
  line.remove_prefix(kLearnedPrefix.size());
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos || space == 0) return std::nullopt;
  const auto name = DecodeName(line.substr(0, space));
  line.remove_prefix(space + 1);
  LearnedClassMessage learned;
  if (!name || !ConsumeNumber(line, learned.latency_objective_ms) ||
      !ConsumeNumber(line, learned.deadline_ms) || !ConsumeNumber(line, learned.run_ms) ||
      !ConsumeNumber(line, learned.core_time_ms) || !ConsumeNumber(line, learned.expected_work_ms) ||
      !ConsumeNumber(line, learned.samples) || !line.empty()) {
    return std::nullopt;
  }
  learned.name = *name;
  return learned;
}

}  // namespace hingelink::proto
