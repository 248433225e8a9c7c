#include "proto/pool_lines.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>

namespace hingelink::proto {
namespace {

using Millis = std::chrono::duration<double, std::milli>;

class Words {
 public:
  explicit Words(std::string_view line) : rest_(line) {}

  std::string_view Next() {
    const std::size_t start = rest_.find_first_not_of(' ');
    if (start == std::string_view::npos) return {};
    rest_.remove_prefix(start);
    const std::size_t end = rest_.find(' ');
    const std::string_view word = rest_.substr(0, end);
    rest_.remove_prefix(word.size());
    return word;
  }

  template <typename T>
  std::optional<T> Number(int base = 10) {
    const std::string_view word = Next();
    T value{};
    const char* last = word.data() + word.size();
    std::from_chars_result got;
    if constexpr (std::is_floating_point_v<T>) {
      got = std::from_chars(word.data(), last, value);
      if (!std::isfinite(value)) return std::nullopt;
    } else {
      got = std::from_chars(word.data(), last, value, base);
    }
    if (word.empty() || got.ec != std::errc() || got.ptr != last) return std::nullopt;
    return value;
  }

 private:
  std::string_view rest_;
};

std::optional<RunEnd> ToEnd(std::string_view word) {
  if (word == "complete") return RunEnd::kComplete;
  if (word == "error") return RunEnd::kError;
  if (word == "cancelled") return RunEnd::kCancelled;
  if (word == "unknown") return RunEnd::kUnknown;
  return std::nullopt;
}

PoolMessage Finished(Words& words, std::string_view bytes, std::size_t line_size, std::size_t& size) {
  const auto number = words.Number<std::uint64_t>();
  const auto req = words.Number<std::uint64_t>(16);
  const auto end = ToEnd(words.Next());
  const auto elapsed = words.Number<double>();
  const auto length = words.Number<std::size_t>();
  if (!number || !req || !end || !elapsed || !length || *length > kMostResult) return BadLine{"finished"};
  if (bytes.size() < line_size + *length + 2) return NeedMore{};
  if (bytes.substr(line_size + *length, 2) != "\r\n") return BadLine{"result without its CR LF"};
  size = line_size + *length + 2;
  return RunFinished{*number, *req, *end, Millis(*elapsed), bytes.substr(line_size, *length)};
}

}  // namespace

PoolMessage ParsePoolMessage(std::string_view bytes, std::size_t& size) {
  const std::size_t eol = bytes.substr(0, kMostLine).find("\r\n");
  if (eol == std::string_view::npos) {
    if (bytes.size() < kMostLine) return NeedMore{};
    size = kMostLine - 1;  // The last byte may be a CR.
    Words start(bytes.substr(0, size));
    const bool chatter = start.Next() == "chatter";
    if (const auto number = start.Number<std::uint64_t>(); chatter && number)
      return PoolChatter{*number, true};
    return BadLine{"line too long"};
  }
  size = eol + 2;
  Words words(bytes.substr(0, eol));
  const std::string_view verb = words.Next();
  if (verb == "finished") return Finished(words, bytes, eol + 2, size);
  if (verb == "polled") {
    PoolPolled polled{words.Next(), {}};
    while (const auto value = words.Number<double>()) polled.gauges.push_back(*value);
    return polled;
  }
  if (verb == "bound") {
    const std::string_view state = words.Next();
    const auto since = words.Number<double>();
    if ((state != "chilly" && state != "hot") || !since) return BadLine{"bound"};
    return PoolBound{state == "chilly", Millis(*since)};
  }
  if (verb == "unknown") {
    CommandUnknown unknown{words.Next(), 0};
    unknown.req = words.Number<std::uint64_t>(16).value_or(0);
    return unknown;
  }
  if (verb == "chatter") {
    const auto number = words.Number<std::uint64_t>();
    if (!number) return BadLine{"chatter"};
    return PoolChatter{*number};
  }
  return BadLine{"no notice"};
}

std::string ReqText(std::uint64_t req) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(req));
  return text;
}

std::string BindLine(std::uint64_t last_notice) { return "bind " + std::to_string(last_notice) + "\r\n"; }

std::string SpawnLine(std::uint64_t req, std::string_view kind, std::size_t body_size) {
  std::string line = "spawn " + ReqText(req) + ' ';
  line.append(kind);
  return line + ' ' + std::to_string(body_size) + "\r\n";
}

std::string PollLine(std::string_view tag) {
  std::string line = "poll ";
  line.append(tag);
  return line + "\r\n";
}

}  // namespace hingelink::proto
