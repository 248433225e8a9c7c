// The operators' HTTP/1.1 calls: reading the head of one call and encoding its response. No sockets.
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

// The texts are slices of `bytes`.
AdminRequest ParseAdminRequest(std::string_view bytes);

// A response behind which the connection ends. `allow` names the methods, where another was called.
std::string EncodeAdminResponse(int status, std::string_view body, std::string_view allow = {});

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_ADMIN_HTTP_H_
