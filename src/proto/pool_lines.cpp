#include "proto/pool_lines.h"

#include <cstdio>
#include <optional>

#include "proto/tokenizer.h"

namespace hingelink::proto {
namespace {

using Millis = std::chrono::duration<double, std::milli>;

std::optional<RunOutcome> ToEnd(std::string_view word) {
  if (word == "complete") return RunOutcome::kComplete;
  if (word == "error") return RunOutcome::kError;
  if (word == "cancelled") return RunOutcome::kCancelled;
  if (word == "unknown") return RunOutcome::kUnknown;
  return std::nullopt;
}

PoolMessage Finished(Tokenizer& words, std::string_view bytes, std::size_t line_size, std::size_t& size) {
  const auto number = words.Number<std::uint64_t>();
  const auto req = words.Number<std::uint64_t>(16);
  const auto end = ToEnd(words.Next());
  const auto elapsed = words.Number<double>();
  const auto length = words.Number<std::size_t>();
  if (!number || !req || !end || !elapsed || !length || *length > kMaxPoolResultBytes)
    return MalformedMessage{"finished"};
  if (bytes.size() < line_size + *length + 2) return IncompleteMessage{};
  if (bytes.substr(line_size + *length, 2) != "\r\n") return MalformedMessage{"result without its CR LF"};
  size = line_size + *length + 2;
  return RunFinished{*number, *req, *end, Millis(*elapsed), bytes.substr(line_size, *length)};
}

PoolMessage Blocked(Tokenizer& words, std::string_view bytes, std::size_t line_size, std::size_t& size) {
  const auto number = words.Number<std::uint64_t>();
  const auto req = words.Number<std::uint64_t>(16);
  const auto length = words.Number<std::size_t>();
  if (!number || !req || !length || *length > kMaxPoolResultBytes) return MalformedMessage{"blocked"};
  if (bytes.size() < line_size + *length + 2) return IncompleteMessage{};
  if (bytes.substr(line_size + *length, 2) != "\r\n") return MalformedMessage{"call without its CR LF"};
  size = line_size + *length + 2;
  return RunBlocked{*number, *req, bytes.substr(line_size, *length)};
}

}  // namespace

PoolMessage ParsePoolMessage(std::string_view bytes, std::size_t& size) {
  const std::size_t eol = bytes.substr(0, kMaxPoolLineBytes).find("\r\n");
  if (eol == std::string_view::npos) {
    if (bytes.size() < kMaxPoolLineBytes) return IncompleteMessage{};
    size = kMaxPoolLineBytes - 1;  // The last byte may be a CR.
    Tokenizer start(bytes.substr(0, size));
    const bool chatter = start.Next() == "chatter";
    if (const auto number = start.Number<std::uint64_t>(); chatter && number)
      return PoolRemark{*number, true};
    return MalformedMessage{"line too long"};
  }
  size = eol + 2;
  Tokenizer words(bytes.substr(0, eol));
  const std::string_view verb = words.Next();
  if (verb == "finished") return Finished(words, bytes, eol + 2, size);
  if (verb == "blocked") return Blocked(words, bytes, eol + 2, size);
  if (verb == "verified") {
    const std::string_view tag = words.Next();
    const std::string_view end = words.Next();
    if (tag.empty() || (end != "complete" && end != "error")) return MalformedMessage{"verified"};
    return RoundTripVerified{tag, end == "complete"};
  }
  if (verb == "polled") {
    GaugesReported polled{words.Next(), {}};
    while (const auto value = words.Number<double>()) polled.gauges.push_back(*value);
    return polled;
  }
  if (verb == "bound") {
    const std::string_view state = words.Next();
    const auto since = words.Number<double>();
    if ((state != "chilly" && state != "hot") || !since) return MalformedMessage{"bound"};
    return BindAcknowledged{state == "chilly", Millis(*since)};
  }
  if (verb == "unknown") {
    UnknownCommand unknown{words.Next(), 0};
    unknown.request_id = words.Number<std::uint64_t>(16).value_or(0);
    return unknown;
  }
  if (verb == "chatter") {
    const auto number = words.Number<std::uint64_t>();
    if (!number) return MalformedMessage{"chatter"};
    return PoolRemark{*number};
  }
  return MalformedMessage{"no notice"};
}

std::string FormatRequestId(std::uint64_t req) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(req));
  return text;
}

std::string EncodeBindCommand(std::uint64_t last_notice) {
  return "bind " + std::to_string(last_notice) + "\r\n";
}

std::string EncodeSpawnHeader(std::uint64_t req, std::string_view kind, std::size_t body_size) {
  std::string line = "spawn " + FormatRequestId(req) + ' ';
  line.append(kind);
  return line + ' ' + std::to_string(body_size) + "\r\n";
}

std::string EncodeSupplyHeader(std::uint64_t req, std::size_t reply_size) {
  return "supply " + FormatRequestId(req) + ' ' + std::to_string(reply_size) + "\r\n";
}

std::string EncodePassCommand(std::uint64_t req, std::uint64_t notice) {
  return "pass " + FormatRequestId(req) + ' ' + std::to_string(notice) + "\r\n";
}

std::string EncodeVerifyCommand(std::string_view tag) {
  std::string line = "verify ";
  line.append(tag);
  return line + "\r\n";
}

std::string EncodePollCommand(std::string_view tag) {
  std::string line = "poll ";
  line.append(tag);
  return line + "\r\n";
}

}  // namespace hingelink::proto
