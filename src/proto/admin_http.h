// HTTP/1.1 for the admin endpoint: parses request headers and encodes responses. Performs no I/O.
#ifndef HINGELINK_PROTO_ADMIN_HTTP_H_
#define HINGELINK_PROTO_ADMIN_HTTP_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace hingelink::proto {

// A request whose header does not end within this size is malformed.
inline constexpr std::size_t kMaxAdminRequestBytes = 8192;

struct AdminRequest {
  enum class State { kNeedMore, kComplete, kMalformed } state = State::kNeedMore;
  std::string_view method;
  std::string_view path;  // Without the query string.
};

// Parses the request header at the front of `bytes`. The string views of the result refer to `bytes`.
[[nodiscard]] AdminRequest ParseAdminRequest(std::string_view bytes);

// Encodes a response that announces the end of the connection. `allow` lists the allowed methods, for status
// 405.
[[nodiscard]] std::string EncodeAdminResponse(int status, std::string_view body, std::string_view allow = {});

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_ADMIN_HTTP_H_
