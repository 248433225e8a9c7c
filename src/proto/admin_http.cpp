#include "proto/admin_http.h"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace hingelink::proto {
namespace {

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return std::isalnum(character) != 0 ||
           (character != 0 && std::strchr("!#$%&'*+-.^_`|~", character) != nullptr);
  });
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 503:
      return "Service Unavailable";
    default:
      return "Bad Request";
  }
}

}  // namespace

AdminRequest ParseAdminRequest(std::string_view bytes) {
  AdminRequest request;
  const std::size_t end = bytes.substr(0, kMaxAdminRequestBytes).find("\r\n\r\n");
  if (end == std::string_view::npos) {
    if (bytes.size() >= kMaxAdminRequestBytes) request.state = AdminRequest::State::kMalformed;
    return request;
  }
  request.state = AdminRequest::State::kMalformed;
  std::string_view header = bytes.substr(0, end + 2);
  const std::string_view line = header.substr(0, header.find("\r\n"));
  const std::size_t method_end = line.find(' ');
  const std::size_t target_end = line.rfind(' ');
  if (method_end == std::string_view::npos || target_end == method_end) return request;
  const std::string_view target = line.substr(method_end + 1, target_end - method_end - 1);
  const std::string_view protocol = line.substr(target_end + 1);
  if (!IsToken(line.substr(0, method_end)) || target.empty() || target.front() != '/' ||
      target.find_first_of(" \t") != target.npos || (protocol != "HTTP/1.1" && protocol != "HTTP/1.0")) {
    return request;
  }
  for (header.remove_prefix(line.size() + 2); !header.empty();) {
    const std::string_view field = header.substr(0, header.find("\r\n"));
    header.remove_prefix(field.size() + 2);
    if (!IsToken(field.substr(0, field.find(':'))) || field.find(':') == field.npos) return request;
  }
  request.state = AdminRequest::State::kComplete;
  request.method = line.substr(0, method_end);
  request.path = target.substr(0, target.find('?'));
  return request;
}

std::string EncodeAdminResponse(int status, std::string_view body, std::string_view allow) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + ReasonPhrase(status) + "\r\n";
  if (!allow.empty()) out.append("Allow: ").append(allow).append("\r\n");
  out += "Content-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
  return out.append(body);
}

}  // namespace hingelink::proto
