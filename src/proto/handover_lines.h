// The lines that two processes of one node exchange while one takes over from the other. No sockets.
#ifndef HINGELINK_PROTO_HANDOVER_LINES_H_
#define HINGELINK_PROTO_HANDOVER_LINES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/front_end.h"

namespace hingelink::proto {

inline constexpr std::size_t kMaxHandoverLineBytes = 256;

// The first, from the predecessor; the listening socket comes with it.
inline constexpr std::string_view kHandoverListener = "listener\n";
inline constexpr std::string_view kHandoverReady = "ready\n";  // The successor takes clients.
inline constexpr std::string_view kHandoverDraining =
    "leaving\n";  // The predecessor's answer: it takes no more.
inline constexpr std::string_view kHandoverExiting =
    "ends\n";  // The sender ends, and a successor of its own stays.

// From a successor, before `ready`: it takes what is told of keys.
inline constexpr std::string_view kHandoverKeys = "keys\n";

// A key of a keyed request at the sender. Its result, where it has one, follows the line, and a newline that.
struct KeyMessage {
  core::IdempotencyKey key;
  std::uint64_t content_hash = 0;                          // A hash of the request's class and body.
  int state = 0;                                           // 0 held, 1 runs, 2 served, 3 failed.
  std::chrono::duration<double, std::milli> remaining{0};  // Until its window is over; 0: it is free.
  bool has_result = false;
  std::size_t size = 0;
  bool operator==(const KeyMessage&) const = default;
};
inline constexpr std::size_t kMaxKeyResultBytes = 65'536;
std::string EncodeKeyMessage(const KeyMessage& key);
std::optional<KeyMessage> ParseKeyMessage(std::string_view line);

// What the sender has in hand.
struct LoadMessage {
  int running = 0;
  double memory_kb = 0;
  double queued_work_ms = 0;
  std::size_t connections = 0;
  bool operator==(const LoadMessage&) const = default;
};
std::string EncodeLoadMessage(const LoadMessage& load);
// Reads a line, given without its end; nothing where it is none of a load.
std::optional<LoadMessage> ParseLoadMessage(std::string_view line);

// What the sender has learned of one class, for a successor to begin with, and what it was told of that
// class. Times in ms.
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
// Nothing where the name makes it longer than a line may be.
std::optional<std::string> EncodeLearnedClassMessage(const LearnedClassMessage& learned);
std::optional<LearnedClassMessage> ParseLearnedClassMessage(std::string_view line);

}  // namespace hingelink::proto

#endif  // HINGELINK_PROTO_HANDOVER_LINES_H_
