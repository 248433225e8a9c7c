// What the decisions see of the callers' side: requests and final answers, free of any protocol. The
// gateways' frames are one front; another protocol stands before the same decisions by implementing these.
#ifndef HINGELINK_CORE_FRONT_H_
#define HINGELINK_CORE_FRONT_H_

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hingelink::core {

using Millis = std::chrono::duration<double, std::milli>;
using UnixTime = std::chrono::system_clock::time_point;

// Where an answer goes: a connection of the front, never named twice, and a stream on it.
struct ReplyTo {
  std::uint64_t connection = 0;
  std::uint32_t stream = 0;
  bool operator==(const ReplyTo&) const = default;
};

// What the tries of one request share in a keyed class.
struct OperationKey {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(const OperationKey&) const = default;
};

// A request as a front read it. The texts are slices of its buffer, good during the call only.
struct IncomingRequest {
  ReplyTo reply_to;
  std::string_view kind;          // The name of its class.
  std::uint64_t req = 0;          // The try's id.
  UnixTime arrived{};             // When it came to the machine.
  std::optional<Millis> timeout;  // How long its caller waits, from `arrived` on; nothing where not told.
  Millis work{0};                 // Expected; 0 where not told.
  double reserved_kb = 0;         // Memory booked while it is held.
  double rank = 0;                // From 0 to under 1.
  std::uint64_t subject = 0;
  std::optional<OperationKey> key;
  std::string_view owner;  // The name of its tenant; empty where not told.
  bool is_retry = false;
  std::uint32_t caller = 0;
  std::string_view body;
  std::string* own_body = nullptr;  // Where set: the body, which may be moved away.
};

enum class Verdict {
  kServed,   // Carries the result of the request's own run, unchanged.
  kRefused,  // Promises that this try never ran.
  kFailed,   // Promises nothing.
};

struct FinalAnswer {
  Verdict verdict = Verdict::kFailed;
  std::optional<std::chrono::milliseconds> stay_away;  // Advice on a refusal.
  bool try_no_other = false;                           // A wish on a refusal.
  std::string_view result;
};

// A count that one thread makes and any may read. No more than an addition for the one that counts.
class Counter {
 public:
  Counter() = default;
  Counter(std::uint64_t value) : value_(value) {}
  Counter(const Counter& other) : value_(other) {}
  Counter& operator=(const Counter& other) {
    value_.store(other, std::memory_order_relaxed);
    return *this;
  }
  operator std::uint64_t() const { return value_.load(std::memory_order_relaxed); }
  Counter& operator++() { return *this += 1; }
  Counter& operator+=(std::uint64_t more) {
    value_.store(*this + more, std::memory_order_relaxed);
    return *this;
  }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// The final answers given to requests of one class, by one thread. Shared: a request open at a front keeps
// its class's.
struct ClassCounts {
  std::string name;
  Counter served{}, refused{}, failed{};

  void Count(Verdict verdict) {
    ++(verdict == Verdict::kServed ? served : verdict == Verdict::kRefused ? refused : failed);
  }
};
using ClassCountsPtr = std::shared_ptr<ClassCounts>;

inline FinalAnswer Served(std::string_view result) {
  FinalAnswer answer;
  answer.verdict = Verdict::kServed;
  answer.result = result;
  return answer;
}
inline FinalAnswer Refused(bool try_no_other = false) {
  FinalAnswer answer;
  answer.verdict = Verdict::kRefused;
  answer.try_no_other = try_no_other;
  return answer;
}
inline FinalAnswer Failed() { return {}; }

class Front {
 public:
  virtual ~Front() = default;
  // Delivers the one final answer of a request. Does nothing where its connection has ended.
  virtual void Deliver(ReplyTo to, const FinalAnswer& answer) = 0;
  // From now on: the answer to health checks, and the value that rides on answers and checks. `from_store`:
  // deep checks get that answer too; else each is told by `check`, and waits for AnswerCheck().
  virtual void SetHealth(bool good, bool shallow) = 0;
  virtual void AnswerCheck(ReplyTo to, bool good) = 0;
  virtual void SetSignal(double value) = 0;
  virtual void CloseIdle(std::chrono::milliseconds after) = 0;
};

// What a front tells.
struct FrontEvents {
  std::function<void(const IncomingRequest&)> request;
  std::function<void(ReplyTo)> gone;   // Nobody waits for this answer any more, or for that of a check.
  std::function<void(ReplyTo)> check;  // A deep check, which asks whether work gets done.
  // The counts of a class by its name, or null. The front counts each answer there as it writes it.
  std::function<ClassCountsPtr(std::string_view kind)> counts;
};

}  // namespace hingelink::core

#endif  // HINGELINK_CORE_FRONT_H_
