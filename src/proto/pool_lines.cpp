#include "proto/pool_lines.h"

#include <cstdio>
#include <optional>

#include "proto/tokenizer.h"

namespace hingelink::proto {
namespace {

using Millis = std::chrono::duration<double, std::milli>;

constexpr std::string_view kLineEnd = "\r\n";

std::optional<RunOutcome> ToOutcome(std::string_view text) {
  if (text == "complete") return RunOutcome::kComplete;
  if (text == "error") return RunOutcome::kError;
  if (text == "cancelled") return RunOutcome::kCancelled;
  if (text == "unknown") return RunOutcome::kUnknown;
  return std::nullopt;
}

// Reads the body of `length` bytes and the CR LF that follow a line of `size` bytes, and adds them to `size`.
// Returns nullopt on success. Otherwise returns IncompleteMessage, or MalformedMessage with `error` if the CR
// LF is missing.
std::optional<PoolMessage> ConsumeBody(std::string_view bytes, std::size_t length, const char* error,
                                       std::size_t& size, std::string_view& body) {
  const std::size_t line_size = size;
  if (bytes.size() < line_size + length + kLineEnd.size()) return IncompleteMessage{};
  if (bytes.substr(line_size + length, kLineEnd.size()) != kLineEnd) return MalformedMessage{error};
  body = bytes.substr(line_size, length);
  size = line_size + length + kLineEnd.size();
  return std::nullopt;
}

PoolMessage ParseFinished(Tokenizer& tokens, std::string_view bytes, std::size_t& size) {
  const auto number = tokens.Number<std::uint64_t>();
  const auto request_id = tokens.Number<std::uint64_t>(16);
  const auto outcome = ToOutcome(tokens.Next());
  const auto elapsed = tokens.Number<double>();
  const auto length = tokens.Number<std::size_t>();
  if (!number || !request_id || !outcome || !elapsed || !length || *length > kMaxPoolResultBytes)
    return MalformedMessage{"malformed finished notice"};
  std::string_view result;
  if (auto error = ConsumeBody(bytes, *length, "no CR LF after the result", size, result)) return *error;
  return RunFinished{*number, *request_id, *outcome, Millis(*elapsed), result};
}

PoolMessage ParseBlocked(Tokenizer& tokens, std::string_view bytes, std::size_t& size) {
  const auto number = tokens.Number<std::uint64_t>();
  const auto request_id = tokens.Number<std::uint64_t>(16);
  const auto length = tokens.Number<std::size_t>();
  if (!number || !request_id || !length || *length > kMaxPoolResultBytes)
    return MalformedMessage{"malformed blocked notice"};
  std::string_view body;
  if (auto error = ConsumeBody(bytes, *length, "no CR LF after the upstream call", size, body)) return *error;
  return RunBlocked{*number, *request_id, body};
}

PoolMessage ParseVerified(Tokenizer& tokens) {
  const std::string_view tag = tokens.Next();
  const std::string_view outcome = tokens.Next();
  if (tag.empty() || (outcome != "complete" && outcome != "error"))
    return MalformedMessage{"malformed verified notice"};
  return RoundTripVerified{tag, outcome == "complete"};
}

PoolMessage ParsePolled(Tokenizer& tokens) {
  GaugesReported polled{tokens.Next(), {}};
  while (const auto value = tokens.Number<double>()) polled.gauges.push_back(*value);
  return polled;
}

PoolMessage ParseBound(Tokenizer& tokens) {
  const std::string_view state = tokens.Next();
  const auto since_start = tokens.Number<double>();
  if ((state != "chilly" && state != "hot") || !since_start)
    return MalformedMessage{"malformed bound notice"};
  return BindAcknowledged{state == "chilly", Millis(*since_start)};
}

PoolMessage ParseUnknown(Tokenizer& tokens) {
  UnknownCommand unknown{tokens.Next(), 0};
  unknown.request_id = tokens.Number<std::uint64_t>(16).value_or(0);
  return unknown;
}

PoolMessage ParseRemark(Tokenizer& tokens) {
  const auto number = tokens.Number<std::uint64_t>();
  if (!number) return MalformedMessage{"malformed chatter notice"};
  return PoolRemark{*number};
}

// Handles a line whose end has not been received. Only a remark may be longer than kMaxPoolLineBytes.
PoolMessage ParseIncompleteLine(std::string_view bytes, std::size_t& size) {
  if (bytes.size() < kMaxPoolLineBytes) return IncompleteMessage{};
  size = kMaxPoolLineBytes - 1;  // The last byte may be the CR of a CR LF, so it is not consumed.
  Tokenizer tokens(bytes.substr(0, size));
  const bool is_remark = tokens.Next() == "chatter";
  const auto number = tokens.Number<std::uint64_t>();
  if (is_remark && number) return PoolRemark{*number, true};
  return MalformedMessage{"line too long"};
}

}  // namespace

PoolMessage ParsePoolMessage(std::string_view bytes, std::size_t& size) {
  const std::size_t line_end = bytes.substr(0, kMaxPoolLineBytes).find(kLineEnd);
  if (line_end == std::string_view::npos) return ParseIncompleteLine(bytes, size);
  size = line_end + kLineEnd.size();
  Tokenizer tokens(bytes.substr(0, line_end));
  const std::string_view notice = tokens.Next();
  if (notice == "finished") return ParseFinished(tokens, bytes, size);
  if (notice == "blocked") return ParseBlocked(tokens, bytes, size);
  if (notice == "verified") return ParseVerified(tokens);
  if (notice == "polled") return ParsePolled(tokens);
  if (notice == "bound") return ParseBound(tokens);
  if (notice == "unknown") return ParseUnknown(tokens);
  if (notice == "chatter") return ParseRemark(tokens);
  return MalformedMessage{"unknown notice"};
}

std::string FormatRequestId(std::uint64_t request_id) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(request_id));
  return text;
}

std::string EncodeBindCommand(std::uint64_t last_notice) {
  return "bind " + std::to_string(last_notice) + "\r\n";
}

std::string EncodeSpawnHeader(std::uint64_t request_id, std::string_view class_name, std::size_t body_size) {
  std::string line = "spawn " + FormatRequestId(request_id) + ' ';
  line.append(class_name);
  return line + ' ' + std::to_string(body_size) + "\r\n";
}

std::string EncodeSupplyHeader(std::uint64_t request_id, std::size_t reply_size) {
  return "supply " + FormatRequestId(request_id) + ' ' + std::to_string(reply_size) + "\r\n";
}

std::string EncodePassCommand(std::uint64_t request_id, std::uint64_t notice_number) {
  return "pass " + FormatRequestId(request_id) + ' ' + std::to_string(notice_number) + "\r\n";
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
