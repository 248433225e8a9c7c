// Counters that one thread updates and any thread may read.
#ifndef HINGELINK_CORE_COUNTER_H_
#define HINGELINK_CORE_COUNTER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "core/answer.h"

namespace hingelink::core {

// Only one thread may call the operators that change it: an update is a relaxed load and store, not an atomic
// addition.
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

// The final answers given to requests of one class by one thread.
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
// Shared, because a request in flight keeps the counts of its class beyond a reconfiguration.
using ClassCountsPtr = std::shared_ptr<ClassCounts>;

}  // namespace hingelink::core

#endif  // HINGELINK_CORE_COUNTER_H_
