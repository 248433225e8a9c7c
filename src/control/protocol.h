// The protocol of control sockets: one JSON object per line in both directions. The schema of requests is
// deploy/schema/control-request.json, that of snapshots deploy/schema/control-snapshot.json.
//
//   -> {"v":1,"id":7,"op":"status"}
//   <- {"v":1,"id":7,"ok":true,"result":{...}}
//   <- {"v":1,"id":7,"ok":false,"error":{"code":"bad-request","message":"..."}}
//   -> {"v":1,"id":8,"op":"watch","args":{"every_ms":250}}
//   <- {"v":1,"id":8,"ok":true,"result":{...}}, repeated at that interval with the newest snapshot
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
inline constexpr std::size_t kMaxRequestBytes = 4096;  // Including the newline.
inline constexpr std::size_t kMaxResponseBytes = 262'144;

// Thrown when a request is rejected. docs/operators/appliance.md lists the codes.
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

// Parses and validates one request line. Throws RequestError if the line is not a valid request.
Request ReadRequest(std::string_view line);
// The two kinds of response, each with its newline.
std::string ResultLine(std::uint64_t id, const Json& result);
std::string ErrorLine(std::uint64_t id, const RequestError& error);

// What a snapshot reports about the process that runs the node.
struct ProcessInfo {
  std::string version;
  int pid = 0;
  std::uint64_t generation = 0;
};
// Returns the result of `status` and `watch`.
Json SnapshotJson(const node::Snapshot& snapshot, const ProcessInfo& process);

}  // namespace hingelink::control

#endif  // HINGELINK_CONTROL_PROTOCOL_H_
