#include "proto/handover_lines.h"

#include <charconv>
#include <cmath>
#include <cstdio>

#include "proto/tokenizer.h"

namespace hingelink::proto {
namespace {

constexpr std::string_view kLoad = "load ", kLearned = "learned ";

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

// Names may hold anything; what is no letter, digit, '-', '_' or '.' is written as %XX.
std::string EncodeName(std::string_view name) {
  std::string out;
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
                       (byte >= 'A' && byte <= 'Z') || c == '-' || c == '_' || c == '.';
    char text[4];
    std::snprintf(text, sizeof text, plain ? "%c" : "%%%02X", byte);
    out += text;
  }
  return out;
}
std::optional<std::string> ReadName(std::string_view text) {
  std::string out;
  while (!text.empty()) {
    if (text.front() != '%') {
      out += text.front();
      text.remove_prefix(1);
      continue;
    }
    unsigned byte = 0;
    if (text.size() < 3) return std::nullopt;
    const auto [end, fault] = std::from_chars(text.data() + 1, text.data() + 3, byte, 16);
    if (fault != std::errc() || end != text.data() + 3) return std::nullopt;
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
  if (!line.starts_with(kLoad)) return std::nullopt;
  line.remove_prefix(kLoad.size());
  if (!Take(line, load.running) || !Take(line, load.memory_kb) || !Take(line, load.queued_work_ms) ||
      !Take(line, load.connections) || !line.empty()) {
    return std::nullopt;
  }
  return load;
}

std::string EncodeKeyMessage(const KeyMessage& key) {
  char line[kMaxHandoverLineBytes];
  std::snprintf(line, sizeof line, "key %016llx %016llx %016llx %d %.3f",
                static_cast<unsigned long long>(key.key.high), static_cast<unsigned long long>(key.key.low),
                static_cast<unsigned long long>(key.content_hash), key.state, key.remaining.count());
  return line + (key.has_result ? ' ' + std::to_string(key.size) : std::string()) + '\n';
}

std::optional<KeyMessage> ParseKeyMessage(std::string_view line) {
  Tokenizer words(line);
  if (words.Next() != "key") return std::nullopt;
  const auto high = words.Number<std::uint64_t>(16), low = words.Number<std::uint64_t>(16),
             content = words.Number<std::uint64_t>(16);
  const auto fate = words.Number<int>();
  const auto left = words.Number<double>();
  if (!high || !low || !content || !fate || *fate < 0 || *fate > 3 || !left || *left < 0) return std::nullopt;
  KeyMessage key{{*high, *low}, *content, *fate, std::chrono::duration<double, std::milli>(*left), false, 0};
  const std::string_view last = words.Next();
  if (last.empty()) return key;
  const auto size = Tokenizer(last).Number<std::size_t>();
  if (!size || *size > kMaxKeyResultBytes || !words.Next().empty()) return std::nullopt;
  key.has_result = true;
  key.size = *size;
  return key;
}

std::optional<std::string> EncodeLearnedClassMessage(const LearnedClassMessage& learned) {
  char numbers[160];
  const int size = std::snprintf(numbers, sizeof numbers, " %.4f %.4f %.4f %.4f %.4f %d\n",
                                 learned.latency_objective_ms, learned.deadline_ms, learned.run_ms,
                                 learned.core_time_ms, learned.expected_work_ms, learned.samples);
  std::string line = std::string(kLearned) + EncodeName(learned.name) + numbers;
  if (size < 0 || size >= static_cast<int>(sizeof numbers) || line.size() > kMaxHandoverLineBytes)
    return std::nullopt;
  return line;
}

std::optional<LearnedClassMessage> ParseLearnedClassMessage(std::string_view line) {
  if (!line.starts_with(kLearned)) return std::nullopt;
  line.remove_prefix(kLearned.size());
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos || space == 0) return std::nullopt;
  const auto name = ReadName(line.substr(0, space));
  line.remove_prefix(space + 1);
  LearnedClassMessage learned;
  if (!name || !Take(line, learned.latency_objective_ms) || !Take(line, learned.deadline_ms) ||
      !Take(line, learned.run_ms) || !Take(line, learned.core_time_ms) ||
      !Take(line, learned.expected_work_ms) || !Take(line, learned.samples) || !line.empty()) {
    return std::nullopt;
  }
  learned.name = *name;
  return learned;
}

}  // namespace hingelink::proto
