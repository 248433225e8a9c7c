#include "proto/store_lines.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "proto/pool_lines.h"
#include "proto/tokenizer.h"

namespace hingelink::proto {
namespace {

std::optional<StoreReplyStatus> ToKind(std::string_view word) {
  if (word == "OK") return StoreReplyStatus::kOk;
  if (word == "BUSY") return StoreReplyStatus::kBusy;
  if (word == "ERR") return StoreReplyStatus::kError;
  if (word == "LATE") return StoreReplyStatus::kTimedOut;
  if (word == "VOID") return StoreReplyStatus::kNotRun;
  return std::nullopt;
}

}  // namespace

StoreMessage ParseStoreReply(std::string_view bytes, std::size_t& size) {
  const std::size_t eol = bytes.substr(0, kMaxStoreLineBytes).find("\r\n");
  if (eol == std::string_view::npos) {
    if (bytes.size() < kMaxStoreLineBytes) return IncompleteStoreReply{};
    return MalformedStoreReply{"line too long"};
  }
  size = eol + 2;
  Tokenizer words(bytes.substr(0, eol));
  const std::string_view id = words.Next();
  const auto req = Tokenizer(id).Number<std::uint64_t>(16);
  const auto kind = ToKind(words.Next());
  if (!req || id.size() != 16 || !kind) return MalformedStoreReply{"no reply"};
  StoreReply reply{*req, *kind, {}};
  if (const std::string_view length = words.Next(); !length.empty()) {
    const auto bytes_of = Tokenizer(length).Number<std::size_t>();
    if (!bytes_of || *bytes_of > kMaxStoreReplyBytes) return MalformedStoreReply{"length"};
    if (bytes.size() < size + *bytes_of + 2) return IncompleteStoreReply{};
    if (bytes.substr(size + *bytes_of, 2) != "\r\n") return MalformedStoreReply{"reply without its CR LF"};
    reply.body = bytes.substr(size, *bytes_of);
    size += *bytes_of + 2;
  } else if (*kind == StoreReplyStatus::kOk) {
    return MalformedStoreReply{"no length"};
  }
  return reply;
}

std::string EncodeStoreCallHeader(std::uint64_t req, std::chrono::duration<double, std::milli> wait,
                                  std::size_t body_size) {
  const auto ms = static_cast<std::uint64_t>(std::ceil(std::clamp(wait.count(), 1.0, 86'400'000.0)));
  return "CALL " + FormatRequestId(req) + ' ' + std::to_string(ms) + ' ' + std::to_string(body_size) + "\r\n";
}

std::string EncodeStoreDropCommand(std::uint64_t req) { return "DROP " + FormatRequestId(req) + "\r\n"; }

}  // namespace hingelink::proto
