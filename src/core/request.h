// A request as a front end read it, free of any protocol.
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

// Where an answer goes: a connection of the front end and a stream on it. Connection ids are never reused
// within a process lifetime.
struct StreamAddress {
  std::uint64_t connection = 0;
  std::uint32_t stream = 0;
  bool operator==(const StreamAddress&) const = default;
};

// What all attempts of one request of a keyed class share.
struct IdempotencyKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const IdempotencyKey&) const = default;
};

// The texts are slices of the front end's buffer, valid during the call that hands over the request.
struct IncomingRequest {
  StreamAddress reply_to;
  std::string_view class_name;
  std::uint64_t request_id = 0;          // Of this attempt.
  UnixTime arrived_at{};                 // At the machine.
  std::optional<Millis> remaining_wait;  // Of its caller, from `arrived_at` on; nothing if unknown.
  Millis expected_work{0};               // 0 if unknown.
  double reserved_kb = 0;                // Memory that it uses while it is queued.
  double rank = 0;                       // Priority in [0, 1).
  std::uint64_t subject = 0;             // The entity that it is about; 0 if unknown.
  std::optional<IdempotencyKey> idempotency_key;
  std::string_view tenant;  // Its name; empty if unknown.
  bool is_retry = false;    // Marked by its caller as a retry or a hedged request.
  std::uint32_t caller = 0;
  std::string_view body;
  std::string* movable_body = nullptr;  // If set: the body, which the receiver may move from.
};

}  // namespace hingelink::core

#endif  // HINGELINK_CORE_REQUEST_H_
