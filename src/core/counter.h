// Counters that one thread updates and any thread may read.
#ifndef HINGELINK_CORE_COUNTER_H_
#define HINGELINK_CORE_COUNTER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "core/answer.h"

namespace hingelink::core {

// A statistics counter with one writer. Only one thread may call the operators that change the counter,
// because an update is a relaxed load followed by a relaxed store, not an atomic addition. Any thread may
// read the counter.
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
  Counter& operator+=(std::uint64_t increment) {
    value_.store(*this + increment, std::memory_order_relaxed);
    return *this;
  }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// Numbers of final answers, by verdict, that one thread has given to requests of one class.
struct ClassCounts {
  std::string name;
  Counter served{};
  Counter rejected{};
  Counter failed{};

  void Count(Verdict verdict) {
    switch (verdict) {
      case Verdict::kServed:
        ++served;
        return;
      case Verdict::kRejected:
        ++rejected;
        return;
      case Verdict::kFailed:
        ++failed;
        return;
    }
  }
};
// The pointer is shared because a request in flight still uses the counts of its class after a
// reconfiguration has removed the class.
using ClassCountsPtr = std::shared_ptr<ClassCounts>;

}  // namespace hingelink::core

#endif  // HINGELINK_CORE_COUNTER_H_
