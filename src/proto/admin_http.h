// HTTP/1.1 of the admin address: parsing the header of a request and encoding its response. No sockets.
#ifndef HINGELINK_PROTO_ADMIN_HTTP_H_
#define HINGELINK_PROTO_ADMIN_HTTP_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace hingelink::proto {

inline constexpr std::size_t kMaxAdminRequestBytes = 8192;

struct AdminRequest {
  enum class State { kNeedMore, kComplete, kMalformed } state = State::kNeedMore;
  std::string_view method;
  std::string_view path;  // Without its query.
};

// Parses the request at the front of `bytes`, of which the texts are slices.
[[nodiscard]] AdminRequest ParseAdminRequest(std::string_view bytes);

// A response after which the connection is closed. `allow`: the allowed methods, for status 405.
[[nodiscard]] std::string EncodeAdminResponse(int status, std::string_view body, std::string_view allow = {});

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_ADMIN_HTTP_H_
