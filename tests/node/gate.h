// A gate at which a thread waits until the test opens it. Each wait ends after kTimeout even if the gate is
// closed.
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
    changed_.wait_for(lock, kTimeout, [this] { return open_; });
  }
  // Waits until a thread waits at the gate.
  void AwaitWaiter() {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kTimeout, [this] { return waiting_; });
  }
  bool waiting() {
    const std::lock_guard lock(mutex_);
    return waiting_;
  }

 private:
  static constexpr std::chrono::seconds kTimeout{40};
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false, waiting_ = false;
};

}  // namespace peers

#endif  // HINGELINK_TESTS_NODE_GATE_H_
