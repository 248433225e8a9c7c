#include "proto/store_lines.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "proto/pool_lines.h"
#include "proto/tokenizer.h"

namespace hingelink::proto {
namespace {

constexpr double kMaxWaitMs = 86'400'000;  // One day.

std::optional<StoreReplyStatus> ToStatus(std::string_view text) {
  if (text == "OK") return StoreReplyStatus::kOk;
  if (text == "BUSY") return StoreReplyStatus::kBusy;
  if (text == "ERR") return StoreReplyStatus::kError;
  if (text == "LATE") return StoreReplyStatus::kTimedOut;
  if (text == "VOID") return StoreReplyStatus::kNotRun;
  return std::nullopt;
}

}  // namespace

StoreMessage ParseStoreReply(std::string_view bytes, std::size_t& size) {
  const std::size_t line_end = bytes.substr(0, kMaxStoreLineBytes).find("\r\n");
  if (line_end == std::string_view::npos) {
    if (bytes.size() < kMaxStoreLineBytes) return IncompleteStoreReply{};
    return MalformedStoreReply{"line too long"};
  }
  size = line_end + 2;
  Tokenizer tokens(bytes.substr(0, line_end));
  const std::string_view id = tokens.Next();
  const auto request_id = Tokenizer(id).Number<std::uint64_t>(16);
  const auto status = ToStatus(tokens.Next());
  if (!request_id || id.size() != 16 || !status) return MalformedStoreReply{"malformed reply line"};
  StoreReply reply{*request_id, *status, {}};
  if (const std::string_view length = tokens.Next(); !length.empty()) {
    const auto body_size = Tokenizer(length).Number<std::size_t>();
    if (!body_size || *body_size > kMaxStoreReplyBytes) return MalformedStoreReply{"invalid body length"};
    if (bytes.size() < size + *body_size + 2) return IncompleteStoreReply{};
    if (bytes.substr(size + *body_size, 2) != "\r\n") return MalformedStoreReply{"no CR LF after the body"};
    reply.body = bytes.substr(size, *body_size);
    size += *body_size + 2;
  } else if (*status == StoreReplyStatus::kOk) {
    return MalformedStoreReply{"no body length"};
  }
  return reply;
}

std::string EncodeStoreCallHeader(std::uint64_t request_id, std::chrono::duration<double, std::milli> wait,
                                  std::size_t body_size) {
  const auto wait_ms = static_cast<std::uint64_t>(std::ceil(std::clamp(wait.count(), 1.0, kMaxWaitMs)));
  return "CALL " + FormatRequestId(request_id) + ' ' + std::to_string(wait_ms) + ' ' +
         std::to_string(body_size) + "\r\n";
}

std::string EncodeStoreDropCommand(std::uint64_t request_id) {
  return "DROP " + FormatRequestId(request_id) + "\r\n";
}

}  // namespace hingelink::proto
