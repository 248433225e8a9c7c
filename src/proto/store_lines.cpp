#include "proto/store_lines.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "proto/pool_lines.h"
#include "proto/words.h"

namespace hingelink::proto {
namespace {

std::optional<ReplyKind> ToKind(std::string_view word) {
  if (word == "OK") return ReplyKind::kOk;
  if (word == "BUSY") return ReplyKind::kBusy;
  if (word == "ERR") return ReplyKind::kErr;
  if (word == "LATE") return ReplyKind::kLate;
  if (word == "VOID") return ReplyKind::kVoid;
  return std::nullopt;
}

}  // namespace

StoreMessage ParseStoreReply(std::string_view bytes, std::size_t& size) {
  const std::size_t eol = bytes.substr(0, kMostStoreLine).find("\r\n");
  if (eol == std::string_view::npos) {
    if (bytes.size() < kMostStoreLine) return StoreNeedMore{};
    return StoreBadLine{"line too long"};
  }
  size = eol + 2;
  Words words(bytes.substr(0, eol));
  const std::string_view id = words.Next();
  const auto req = Words(id).Number<std::uint64_t>(16);
  const auto kind = ToKind(words.Next());
  if (!req || id.size() != 16 || !kind) return StoreBadLine{"no reply"};
  StoreReply reply{*req, *kind, {}};
  if (const std::string_view length = words.Next(); !length.empty()) {
    const auto bytes_of = Words(length).Number<std::size_t>();
    if (!bytes_of || *bytes_of > kMostReply) return StoreBadLine{"length"};
    if (bytes.size() < size + *bytes_of + 2) return StoreNeedMore{};
    if (bytes.substr(size + *bytes_of, 2) != "\r\n") return StoreBadLine{"reply without its CR LF"};
    reply.body = bytes.substr(size, *bytes_of);
    size += *bytes_of + 2;
  } else if (*kind == ReplyKind::kOk) {
    return StoreBadLine{"no length"};
  }
  return reply;
}

std::string CallLine(std::uint64_t req, std::chrono::duration<double, std::milli> wait,
                     std::size_t body_size) {
  const auto ms = static_cast<std::uint64_t>(std::ceil(std::clamp(wait.count(), 1.0, 86'400'000.0)));
  return "CALL " + ReqText(req) + ' ' + std::to_string(ms) + ' ' + std::to_string(body_size) + "\r\n";
}

std::string DropLine(std::uint64_t req) { return "DROP " + ReqText(req) + "\r\n"; }

}  // namespace hingelink::proto
