// The lines that two processes of one node exchange during a handover. No sockets. Functions that parse a
// line take it without its end, and return nothing if it is not of their kind.
#ifndef HINGELINK_PROTO_HANDOVER_LINES_H_
#define HINGELINK_PROTO_HANDOVER_LINES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/request.h"

namespace hingelink::proto {

inline constexpr std::size_t kMaxHandoverLineBytes = 256;

// The first line, from the predecessor; it accompanies the listening socket.
inline constexpr std::string_view kHandoverListener = "listener\n";
inline constexpr std::string_view kHandoverReady = "ready\n";  // The successor accepts callers.
inline constexpr std::string_view kHandoverDraining =
    "leaving\n";  // The predecessor answers that it accepts no more.
inline constexpr std::string_view kHandoverExiting =
    "ends\n";  // The sender exits, and a successor of its own stays.

// From a successor, before `ready`: it accepts KeyMessages.
inline constexpr std::string_view kHandoverKeys = "keys\n";

// An idempotency key at the sender. Its result, if there is one, follows the line and is followed by a
// newline.
struct KeyMessage {
  core::IdempotencyKey key;
  std::uint64_t content_hash = 0;                          // A hash of the request's class and body.
  int state = 0;                                           // 0 queued, 1 running, 2 served, 3 failed.
  std::chrono::duration<double, std::milli> remaining{0};  // Of its window; 0: released.
  bool has_result = false;
  std::size_t size = 0;
  bool operator==(const KeyMessage&) const = default;
};
inline constexpr std::size_t kMaxKeyResultBytes = 65'536;
[[nodiscard]] std::string EncodeKeyMessage(const KeyMessage& key);
[[nodiscard]] std::optional<KeyMessage> ParseKeyMessage(std::string_view line);

// What the sender has in flight.
struct LoadMessage {
  int running = 0;
  double memory_kb = 0;
  double queued_work_ms = 0;
  std::size_t connections = 0;
  bool operator==(const LoadMessage&) const = default;
};
[[nodiscard]] std::string EncodeLoadMessage(const LoadMessage& load);
[[nodiscard]] std::optional<LoadMessage> ParseLoadMessage(std::string_view line);

// What the sender has learned about one class and how that is configured, for a successor to start from.
struct LearnedClassMessage {
  std::string name;
  double latency_objective_ms = 0;
  double deadline_ms = 0;
  double run_ms = 0;
  double core_time_ms = 0;
  double expected_work_ms = 0;
  int samples = 0;
  bool operator==(const LearnedClassMessage&) const = default;
};
// Nothing if the line would be longer than kMaxHandoverLineBytes.
[[nodiscard]] std::optional<std::string> EncodeLearnedClassMessage(const LearnedClassMessage& learned);
[[nodiscard]] std::optional<LearnedClassMessage> ParseLearnedClassMessage(std::string_view line);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_HANDOVER_LINES_H_
