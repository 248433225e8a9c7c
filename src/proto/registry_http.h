// The HTTP/1.1 client side of the registry protocol: encodes reports and parses responses. Performs no I/O.
#ifndef HINGELINK_PROTO_REGISTRY_HTTP_H_
#define HINGELINK_PROTO_REGISTRY_HTTP_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace hingelink::proto {

inline constexpr std::size_t kMaxHttpResponseBytes = 65'536;

// Encodes the request that reports the instance `name` as ready or draining. `host` is the address of the
// registry.
[[nodiscard]] std::string EncodeReportRequest(std::string_view name, std::string_view host, bool draining);

struct HttpResponse {
  enum class State { kNeedMore, kComplete, kMalformed } state = State::kNeedMore;
  int status = 0;
  std::size_t total_bytes = 0;     // Header and body; valid when the state is kComplete.
  bool closes_connection = false;  // The connection cannot be reused.
};

// Parses the response at the front of `bytes`.
[[nodiscard]] HttpResponse ParseHttpResponse(std::string_view bytes);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_REGISTRY_HTTP_H_
