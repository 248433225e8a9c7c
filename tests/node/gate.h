// A gate at which a thread of a story waits until the test opens it. Guards those that wait by a bound.
#ifndef HINGELINK_TESTS_NODE_GATE_H_
#define HINGELINK_TESTS_NODE_GATE_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace peers {

class Gate {
 public:
  void Open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }
  void Wait() {
    std::unique_lock lock(mutex_);
    waiting_ = true;
    changed_.notify_all();
    changed_.wait_for(lock, kPatience, [this] { return open_; });
  }
  void AwaitWaiter() {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kPatience, [this] { return waiting_; });
  }
  bool waiting() {
    const std::lock_guard lock(mutex_);
    return waiting_;
  }

 private:
  static constexpr std::chrono::seconds kPatience{40};
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false, waiting_ = false;
};

}  // namespace peers

#endif  // HINGELINK_TESTS_NODE_GATE_H_
