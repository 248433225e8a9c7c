// The registry's HTTP/1.1 calls: encoding a report and reading the response. No sockets.
#ifndef HINGELINK_PROTO_REGISTRY_HTTP_H_
#define HINGELINK_PROTO_REGISTRY_HTTP_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace hingelink::proto {

inline constexpr std::size_t kMaxHttpResponseBytes = 65'536;

std::string EncodeReportRequest(std::string_view name, std::string_view host, bool draining);

struct HttpResponse {
  enum class State { kNeedMore, kComplete, kMalformed } state = State::kNeedMore;
  int status = 0;
  std::size_t total_bytes = 0;     // Bytes it takes, once whole.
  bool closes_connection = false;  // The connection cannot carry another call.
};

HttpResponse ParseHttpResponse(std::string_view bytes);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_REGISTRY_HTTP_H_
