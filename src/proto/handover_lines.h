// The line protocol between two processes of one node during a handover. The predecessor passes its listening
// socket to the successor and drains. Performs no I/O. Parse functions take a line without its newline and
// return nullopt if the line is malformed or is another kind of message.
#ifndef HINGELINK_PROTO_HANDOVER_LINES_H_
#define HINGELINK_PROTO_HANDOVER_LINES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/request.h"

namespace hingelink::proto {

inline constexpr std::size_t kMaxHandoverLineBytes = 256;

// The first line, sent by the predecessor together with the listening socket.
inline constexpr std::string_view kHandoverListener = "listener\n";
// The successor accepts connections.
inline constexpr std::string_view kHandoverReady = "ready\n";
// The predecessor's answer to `ready`: it stops accepting connections.
inline constexpr std::string_view kHandoverDraining = "leaving\n";
// The sender has completed a drain or a handover and exits, so the receiver must not treat the end of the
// connection as the loss of its successor.
inline constexpr std::string_view kHandoverExiting = "ends\n";
// Sent by a successor that accepts connections: the node drains. The receiver must never accept connections
// again, however the sender ends.
inline constexpr std::string_view kHandoverNodeDraining = "drains\n";

// Sent by a predecessor whose clients another successor has taken over. The receiver, which is not ready yet,
// must take over from that process.
inline constexpr std::string_view kHandoverSuperseded = "superseded\n";
// Sent by a successor before `ready`: it accepts connections on a listening socket of its own.
inline constexpr std::string_view kHandoverOwnListener = "listens\n";
// Sent by a successor that accepts connections and was told to end, but started before the receiver: the
// receiver must accept the clients again once the sender has ended. The sender's keys and `leaving` follow.
inline constexpr std::string_view kHandoverReturning = "returns\n";
// When the sender started, on the steady clock of the machine.
[[nodiscard]] std::string EncodeStartedMessage(std::chrono::nanoseconds started);
[[nodiscard]] std::optional<std::chrono::nanoseconds> ParseStartedMessage(std::string_view line);

// Sent by a successor before `ready`: it understands KeyMessage lines.
inline constexpr std::string_view kHandoverKeys = "keys\n";

// The state of an idempotency key in the sending process. If `has_result` is true, the line is followed by
// the result and a newline.
struct KeyMessage {
  core::IdempotencyKey key;
  std::uint64_t content_hash = 0;  // Hash of the class and body of the request.
  int state = 0;                   // 0: reserved, 1: running, 2: served, 3: failed.
  // Rest of the key's window; 0 if the key is released.
  std::chrono::duration<double, std::milli> remaining{0};
  bool has_result = false;
  std::size_t size = 0;  // Of the result, in bytes.
  bool operator==(const KeyMessage&) const = default;
};
inline constexpr std::size_t kMaxKeyResultBytes = 65'536;
[[nodiscard]] std::string EncodeKeyMessage(const KeyMessage& key);
[[nodiscard]] std::optional<KeyMessage> ParseKeyMessage(std::string_view line);

// Attempts whose execution the sending process has handed to the worker pool, by id.
inline constexpr std::size_t kMaxAttemptsPerLine = 14;
// `ids`: at most kMaxAttemptsPerLine.
[[nodiscard]] std::string EncodeAttemptsMessage(std::span<const std::uint64_t> ids);
[[nodiscard]] std::optional<std::vector<std::uint64_t>> ParseAttemptsMessage(std::string_view line);

// The load that the sending process has in flight.
struct LoadMessage {
  int running = 0;
  double memory_kb = 0;
  double queued_work_ms = 0;
  std::size_t connections = 0;
  bool operator==(const LoadMessage&) const = default;
};
[[nodiscard]] std::string EncodeLoadMessage(const LoadMessage& load);
[[nodiscard]] std::optional<LoadMessage> ParseLoadMessage(std::string_view line);

// The means that the sender has measured for one class, with the objectives configured for the class. The
// successor starts from these values.
struct LearnedClassMessage {
  std::string name;
  double latency_objective_ms = 0;
  double deadline_ms = 0;
  double run_ms = 0;            // Mean duration of an execution, upstream calls included.
  double core_time_ms = 0;      // Mean duration of an execution without its upstream calls.
  double expected_work_ms = 0;  // Mean of the callers' estimates; 0 if there are none.
  int samples = 0;              // Executions in the means.
  bool operator==(const LearnedClassMessage&) const = default;
};
// Returns nullopt if the line would be longer than kMaxHandoverLineBytes.
[[nodiscard]] std::optional<std::string> EncodeLearnedClassMessage(const LearnedClassMessage& learned);
[[nodiscard]] std::optional<LearnedClassMessage> ParseLearnedClassMessage(std::string_view line);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_HANDOVER_LINES_H_
