// What is said on a control socket: one JSON object a line, either way. The form of a request is
// deploy/schema/control-request.json; a snapshot's is deploy/schema/control-snapshot.json.
//
//   -> {"v":1,"id":7,"op":"status"}
//   <- {"v":1,"id":7,"ok":true,"result":{...}}
//   <- {"v":1,"id":7,"ok":false,"error":{"code":"bad-request","message":"..."}}
//   -> {"v":1,"id":8,"op":"watch","args":{"every_ms":250}}
//   <- {"v":1,"id":8,"ok":true,"result":{...}}, the same again and again, always the newest
#ifndef HINGELINK_CONTROL_PROTOCOL_H_
#define HINGELINK_CONTROL_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "node/snapshot.h"

namespace hingelink::control {

using Json = nlohmann::ordered_json;

inline constexpr int kVersion = 1;
inline constexpr std::size_t kMaxRequestBytes = 4096;  // Bytes of a line, its end included.
inline constexpr std::size_t kMaxResponseBytes = 262'144;

// A request that is turned down. The codes are listed in docs/operators/appliance.md.
class RequestError : public std::runtime_error {
 public:
  RequestError(std::string code, const std::string& message)
      : std::runtime_error(message), code_(std::move(code)) {}
  const std::string& code() const { return code_; }

 private:
  std::string code_;
};

struct Request {
  std::uint64_t id = 0;
  std::string op;
  nlohmann::json args;
};

// Throws Fault where the line is no request.
Request ReadRequest(std::string_view line);
std::string ResultLine(std::uint64_t id, const Json& result);
std::string ErrorLine(std::uint64_t id, const RequestError& error);

// What the process around the node adds to its snapshot.
struct ProcessInfo {
  std::string version;
  int pid = 0;
  std::uint64_t generation = 0;
};
Json SnapshotJson(const node::Snapshot& seen, const ProcessInfo& process);

}  // namespace hingelink::control

#endif  // HINGELINK_CONTROL_PROTOCOL_H_
