// A request as parsed by a front end, independent of the protocol that delivered it.
#ifndef HINGELINK_CORE_REQUEST_H_
#define HINGELINK_CORE_REQUEST_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hingelink::core {

using Millis = std::chrono::duration<double, std::milli>;
using UnixTime = std::chrono::system_clock::time_point;

// The destination of an answer: a connection of the front end and a stream on that connection. Connection ids
// are never reused within a process lifetime.
struct StreamAddress {
  std::uint64_t connection = 0;
  std::uint32_t stream = 0;
  bool operator==(const StreamAddress&) const = default;
};

// Identifies a request of a class that requires idempotency keys. All attempts of the request carry the same
// key.
struct IdempotencyKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const IdempotencyKey&) const = default;
};

// The string views refer to the buffer of the front end and are valid only during the call of
// FrontEndEvents::request.
struct IncomingRequest {
  StreamAddress reply_to;
  std::string_view class_name;
  std::uint64_t request_id = 0;  // Identifies this attempt, not the request.
  UnixTime arrived_at{};         // When the request reached this machine; frames give the sending time.
  std::optional<Millis> remaining_wait;  // How long the caller waits after `arrived_at`; empty if unknown.
  Millis expected_work{0};               // Estimate by the caller; 0 if unknown.
  double reserved_kb = 0;                // Memory that the request uses while it is queued.
  double rank = 0;                       // Priority in [0, 1).
  std::uint64_t subject = 0;             // Id of the entity that the request reads or changes; 0 if unknown.
  std::optional<IdempotencyKey> idempotency_key;
  std::string_view tenant;   // Name of the tenant; empty if unknown.
  bool is_retry = false;     // The caller marked the attempt as a retry or a hedged request.
  std::uint32_t caller = 0;  // Id of the gateway that sent the request; 0 if unknown.
  std::string_view body;
  std::string* movable_body = nullptr;  // If set, holds the body, and the receiver may move from it.
};

}  // namespace hingelink::core

#endif  // HINGELINK_CORE_REQUEST_H_
