// Messages from one thread to another, in order and none lost: a lock-free queue of fixed length, and what
// does not fit waits at its writer. A full queue is the writer's sign to take in no more work.
#ifndef HINGELINK_NET_CHANNEL_H_
#define HINGELINK_NET_CHANNEL_H_

#include <readerwriterqueue/readerwritercircularbuffer.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <stdexcept>
#include <utility>

#include "net/event.h"

namespace hingelink::net {

// Wakes a thread that waits in its event loop, once for any number of messages.
class Waker {
 public:
  Waker() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (fd_.get() < 0) throw std::runtime_error("no eventfd");
  }
  evutil_socket_t fd() const { return fd_.get(); }

  // From any thread, behind what it has put in place.
  void Wake() {
    // The sleeper's exchange and this one come in some order. Behind it: the message is seen by the sleeper's
    // second look. Before it: the sleeper is seen here.
    if (!asleep_.exchange(false, std::memory_order_acq_rel)) return;
    const std::uint64_t one = 1;
    (void)!write(fd_.get(), &one, sizeof one);
  }
  // From the thread itself: clears the wake, and says that it looks. To be followed by a look at all queues.
  void BeginLook() {
    std::uint64_t count = 0;
    (void)!read(fd_.get(), &count, sizeof count);
  }
  // Says that it will wait. To be followed by one more look; Stay() where that finds something.
  void Sleep() { asleep_.exchange(true, std::memory_order_acq_rel); }
  void Stay() { asleep_.exchange(false, std::memory_order_acq_rel); }

 private:
  Descriptor fd_;
  std::atomic<bool> asleep_{true};
};

template <class Message>
class Channel {
 public:
  // At most `capacity` messages are in the queue.
  Channel(std::size_t capacity, Waker& reader, Waker& writer)
      : queue_(capacity), reader_(reader), writer_(writer) {}

  // ---- The writer's ----
  // Whether work that would be put here must wait.
  bool full() const { return !waiting_.empty(); }
  // Takes it in any case; Flush() makes it known. Guards against a lost message where the queue is full.
  void Put(Message message) {
    fresh_ = true;
    ++put_;
    if (waiting_.empty() && queue_.try_enqueue(std::move(message))) return;
    waiting_.push_back(
        std::move(message));  // NOLINT(bugprone-use-after-move): moved only where it was queued.
    parked_.store(waiting_.size(), std::memory_order_relaxed);
  }
  void Flush() {
    if (!waiting_.empty()) Refill();
    if (std::exchange(fresh_, false)) reader_.Wake();
  }
  // Has the reader look once more: something beside the queue has changed.
  void Nudge() { fresh_ = true; }
  std::uint64_t put() const { return put_; }

  // ---- The reader's ----
  bool Take(Message& message) { return queue_.try_dequeue(message); }
  bool empty() const { return queue_.size_approx() == 0; }
  // After a look: lets the writer know of room that it waits for.
  void Looked() {
    if (blocked_.load(std::memory_order_relaxed) && blocked_.exchange(false, std::memory_order_acq_rel)) {
      writer_.Wake();
    }
  }

  // From any thread; not exact. Also what waits at the writer.
  std::size_t depth() const { return queue_.size_approx() + parked_.load(std::memory_order_relaxed); }

 private:
  void Refill() {
    // Said before the tries: a reader that makes room behind the last of them is bound to see it.
    blocked_.exchange(true, std::memory_order_acq_rel);
    while (!waiting_.empty() && queue_.try_enqueue(std::move(waiting_.front()))) {
      waiting_.pop_front();
      fresh_ = true;
    }
    parked_.store(waiting_.size(), std::memory_order_relaxed);
    if (waiting_.empty()) blocked_.exchange(false, std::memory_order_acq_rel);
  }

  // The library's ring, whose counts are atomics: its other queue synchronises by fences, which
  // ThreadSanitizer does not see.
  moodycamel::BlockingReaderWriterCircularBuffer<Message> queue_;
  Waker& reader_;
  Waker& writer_;
  std::deque<Message> waiting_;
  std::atomic<bool> blocked_{false};
  std::atomic<std::size_t> parked_{0};
  std::uint64_t put_ = 0;
  bool fresh_ = false;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_CHANNEL_H_
