#include "proto/registry_http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace hingelink::proto {
namespace {

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](unsigned char one, unsigned char other) { return std::tolower(one) == std::tolower(other); });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

template <typename T>
bool ParseWhole(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// Returns whether a response with this status never has a body, even if it has a Content-Length.
bool HasNoBody(int status) { return status < 200 || status == 204 || status == 304; }

// Applies one header field to `response`. A Content-Length field sets `body_size`. Returns false if the field
// is malformed.
bool ApplyField(std::string_view field, HttpResponse& response, std::optional<std::size_t>& body_size) {
  const std::size_t colon = field.find(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view name = field.substr(0, colon);
  const std::string_view value = Trim(field.substr(colon + 1));
  if (EqualsIgnoringCase(name, "connection") && EqualsIgnoringCase(value, "close"))
    response.closes_connection = true;
  if (!EqualsIgnoringCase(name, "content-length") || HasNoBody(response.status)) return true;
  std::size_t length = 0;
  if (!ParseWhole(value, length) || length > kMaxHttpResponseBytes) return false;
  body_size = length;
  return true;
}

}  // namespace

std::string EncodeReportRequest(std::string_view name, std::string_view host, bool draining) {
  const std::string body = draining ? R"({"state":"draining"})" : R"({"state":"ready"})";
  std::string request = "PUT /v1/instances/";
  request.append(name).append(" HTTP/1.1\r\nHost: ").append(host);
  request +=
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return request + body;
}

HttpResponse ParseHttpResponse(std::string_view bytes) {
  HttpResponse response;
  const std::size_t end = bytes.find(kHeaderEnd);
  if (end == std::string_view::npos) {
    if (bytes.size() > kMaxHttpResponseBytes) response.state = HttpResponse::State::kMalformed;
    return response;
  }
  response.state = HttpResponse::State::kMalformed;
  std::string_view header = bytes.substr(0, end + 2);
  const std::string_view line = header.substr(0, header.find("\r\n"));
  if (line.size() < 12 || !line.starts_with("HTTP/1.") || !ParseWhole(line.substr(9, 3), response.status)) {
    return response;
  }
  response.closes_connection = line[7] == '0';
  std::optional<std::size_t> body_size;
  for (header.remove_prefix(line.size() + 2); !header.empty();) {
    const std::string_view field = header.substr(0, header.find("\r\n"));
    header.remove_prefix(field.size() + 2);
    if (!ApplyField(field, response, body_size)) return response;
  }
  if (HasNoBody(response.status)) body_size = 0;
  // The end of the connection delimits a body without a Content-Length.
  if (!body_size) response.closes_connection = true;
  response.total_bytes = end + kHeaderEnd.size() + body_size.value_or(0);
  const bool is_complete = bytes.size() >= response.total_bytes;
  response.state = is_complete ? HttpResponse::State::kComplete : HttpResponse::State::kNeedMore;
  return response;
}

}  // namespace hingelink::proto
