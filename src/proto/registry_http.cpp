#include "proto/registry_http.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace hingelink::proto {
namespace {

bool SameText(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

template <typename T>
bool Whole(std::string_view text, T& value) {
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  return fault == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::string EncodeReportRequest(std::string_view name, std::string_view host, bool draining) {
  const std::string body = draining ? R"({"state":"draining"})" : R"({"state":"ready"})";
  std::string call = "PUT /v1/instances/";
  call.append(name).append(" HTTP/1.1\r\nHost: ").append(host);
  call += "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return call + body;
}

HttpResponse ParseHttpResponse(std::string_view bytes) {
  HttpResponse response;
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    if (bytes.size() > kMaxHttpResponseBytes) response.state = HttpResponse::State::kMalformed;
    return response;
  }
  response.state = HttpResponse::State::kMalformed;
  std::string_view head = bytes.substr(0, end + 2);
  const std::string_view line = head.substr(0, head.find("\r\n"));
  if (line.size() < 12 || !line.starts_with("HTTP/1.") || !Whole(line.substr(9, 3), response.status)) {
    return response;
  }
  response.closes_connection = line[7] == '0';
  // A 1xx, 204 or 304 has no body; any other without a length ends with its connection.
  const bool bodiless = response.status < 200 || response.status == 204 || response.status == 304;
  bool sized = bodiless;
  std::size_t body = 0;
  for (head.remove_prefix(line.size() + 2); !head.empty();) {
    const std::string_view field = head.substr(0, head.find("\r\n"));
    head.remove_prefix(field.size() + 2);
    const std::size_t colon = field.find(':');
    if (colon == std::string_view::npos) return response;
    const std::string_view name = field.substr(0, colon), value = Trim(field.substr(colon + 1));
    if (SameText(name, "connection") && SameText(value, "close")) response.closes_connection = true;
    if (SameText(name, "content-length") && !bodiless) {
      if (!Whole(value, body) || body > kMaxHttpResponseBytes) return response;
      sized = true;
    }
  }
  if (!sized) response.closes_connection = true;
  response.total_bytes = end + 4 + body;
  const bool whole = bytes.size() >= response.total_bytes;
  response.state = whole ? HttpResponse::State::kComplete : HttpResponse::State::kNeedMore;
  return response;
}

}  // namespace hingelink::proto
