// HTTP/1.1 towards the registry: encoding a report and parsing the response. No sockets.
#ifndef HINGELINK_PROTO_REGISTRY_HTTP_H_
#define HINGELINK_PROTO_REGISTRY_HTTP_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace hingelink::proto {

inline constexpr std::size_t kMaxHttpResponseBytes = 65'536;

// Reports this instance, under its name, as ready or draining. `host`: the registry's address.
[[nodiscard]] std::string EncodeReportRequest(std::string_view name, std::string_view host, bool draining);

struct HttpResponse {
  enum class State { kNeedMore, kComplete, kMalformed } state = State::kNeedMore;
  int status = 0;
  std::size_t total_bytes = 0;     // Once complete.
  bool closes_connection = false;  // The connection cannot be used for another request.
};

// Parses the response at the front of `bytes`.
[[nodiscard]] HttpResponse ParseHttpResponse(std::string_view bytes);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_REGISTRY_HTTP_H_
