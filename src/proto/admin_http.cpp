#include "proto/admin_http.h"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace hingelink::proto {
namespace {

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || (c != 0 && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr);
  });
}

const char* Reason(int status) {
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
  AdminRequest call;
  const std::size_t end = bytes.substr(0, kMaxAdminRequestBytes).find("\r\n\r\n");
  if (end == std::string_view::npos) {
    // Guards against a head without end.
    if (bytes.size() >= kMaxAdminRequestBytes) call.state = AdminRequest::State::kMalformed;
    return call;
  }
  call.state = AdminRequest::State::kMalformed;
  std::string_view head = bytes.substr(0, end + 2);
  const std::string_view line = head.substr(0, head.find("\r\n"));
  const std::size_t method = line.find(' '), version = line.rfind(' ');
  if (method == std::string_view::npos || version == method) return call;
  const std::string_view target = line.substr(method + 1, version - method - 1);
  const std::string_view protocol = line.substr(version + 1);
  if (!IsToken(line.substr(0, method)) || target.empty() || target.front() != '/' ||
      target.find_first_of(" \t") != target.npos || (protocol != "HTTP/1.1" && protocol != "HTTP/1.0")) {
    return call;
  }
  for (head.remove_prefix(line.size() + 2); !head.empty();) {
    const std::string_view field = head.substr(0, head.find("\r\n"));
    head.remove_prefix(field.size() + 2);
    if (!IsToken(field.substr(0, field.find(':'))) || field.find(':') == field.npos) return call;
  }
  call.state = AdminRequest::State::kComplete;
  call.method = line.substr(0, method);
  call.path = target.substr(0, target.find('?'));
  return call;
}

std::string EncodeAdminResponse(int status, std::string_view body, std::string_view allow) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + Reason(status) + "\r\n";
  if (!allow.empty()) out.append("Allow: ").append(allow).append("\r\n");
  out += "Content-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
  return out.append(body);
}

}  // namespace hingelink::proto
