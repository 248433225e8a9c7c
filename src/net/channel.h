// Sends messages from one thread to another, in order and without loss.
//
// The messages pass through a lock-free queue of fixed capacity. Messages that do not fit wait in an overflow
// list of the writer. A writer with an overflow should accept no more work until the overflow is empty
// (backpressure).
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

// Wakes a thread that waits in its event loop. The messages of all writers cause only one wakeup until the
// thread waits again.
//
// The waiting thread calls, in this order: Clear(), then reads all its queues, then BeginWait(), then checks
// all its queues once more. If that check finds a message, it calls CancelWait() and reads the queues again.
class Waker {
 public:
  Waker() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (fd_.get() < 0) throw std::runtime_error("cannot create an eventfd");
  }
  // Becomes readable when the thread is woken.
  evutil_socket_t fd() const { return fd_.get(); }

  // Called by any thread, after it has added messages to a queue.
  void Wake() {
    // This exchange and the exchange in BeginWait() have a total order. If this one comes first, the waiting
    // thread finds the message when it checks its queues after BeginWait(). If BeginWait() comes first, the
    // flag is set here and the thread is woken.
    if (!waiting_.exchange(false, std::memory_order_acq_rel)) return;
    const std::uint64_t one = 1;
    (void)!write(fd_.get(), &one, sizeof one);
  }
  // Called by the waiting thread after a wakeup, before it reads all its queues. Resets fd().
  void Clear() {
    std::uint64_t count = 0;
    (void)!read(fd_.get(), &count, sizeof count);
  }
  // Called by the waiting thread before it waits. It must check all its queues once more afterwards.
  void BeginWait() { waiting_.exchange(true, std::memory_order_acq_rel); }
  // Called by the waiting thread if that check finds a message.
  void CancelWait() { waiting_.exchange(false, std::memory_order_acq_rel); }

 private:
  Descriptor fd_;
  std::atomic<bool> waiting_{true};
};

// One thread writes and one thread reads. Both wait in their event loops, each with a Waker.
template <class Message>
class Channel {
 public:
  // The queue holds at most `capacity` messages, the overflow list any number.
  Channel(std::size_t capacity, Waker& reader, Waker& writer)
      : queue_(capacity), reader_(reader), writer_(writer) {}

  // ---- Called by the writer ----
  // Whether messages wait in the overflow list, so that the writer should accept no more work.
  bool has_overflow() const { return !overflow_.empty(); }
  // Never fails: a message that does not fit into the queue goes to the overflow list, so that no message is
  // lost. The reader is woken only by the next Flush().
  void Send(Message message) {
    needs_wakeup_ = true;
    ++sent_count_;
    if (overflow_.empty() && queue_.try_enqueue(std::move(message))) return;
    overflow_.push_back(
        std::move(message));  // NOLINT(bugprone-use-after-move): only moved from if it was queued.
    overflow_size_.store(overflow_.size(), std::memory_order_relaxed);
  }
  // Moves as much of the overflow into the queue as fits, and wakes the reader if there are new messages. To
  // be called after each round of sends, and when the reader has notified this thread.
  void Flush() {
    if (!overflow_.empty()) MoveOverflowToQueue();
    if (std::exchange(needs_wakeup_, false)) reader_.Wake();
  }
  // Makes the next Flush() wake the reader although no message was sent. For state outside of the queue that
  // the reader checks.
  void RequestWakeup() { needs_wakeup_ = true; }
  // Number of calls of Send().
  std::uint64_t sent_count() const { return sent_count_; }

  // ---- Called by the reader ----
  // Returns false if the queue is empty.
  bool TryReceive(Message& message) { return queue_.try_dequeue(message); }
  bool empty() const { return queue_.size_approx() == 0; }
  // To be called after messages were received. Wakes the writer if it waits for space in the queue.
  void NotifyWriter() {
    if (writer_blocked_.load(std::memory_order_relaxed) &&
        writer_blocked_.exchange(false, std::memory_order_acq_rel)) {
      writer_.Wake();
    }
  }

  // The approximate number of messages in the queue and the overflow list. Called by any thread.
  std::size_t depth() const { return queue_.size_approx() + overflow_size_.load(std::memory_order_relaxed); }

 private:
  void MoveOverflowToQueue() {
    // Set before the attempts to enqueue. A reader that frees space after the last attempt therefore sees the
    // flag and wakes the writer.
    writer_blocked_.exchange(true, std::memory_order_acq_rel);
    while (!overflow_.empty() && queue_.try_enqueue(std::move(overflow_.front()))) {
      overflow_.pop_front();
      needs_wakeup_ = true;
    }
    overflow_size_.store(overflow_.size(), std::memory_order_relaxed);
    if (overflow_.empty()) writer_blocked_.exchange(false, std::memory_order_acq_rel);
  }

  // The library's circular buffer counts with atomics. Its other queue synchronises with fences, which
  // ThreadSanitizer does not support.
  moodycamel::BlockingReaderWriterCircularBuffer<Message> queue_;
  Waker& reader_;
  Waker& writer_;
  std::deque<Message> overflow_;               // Messages that did not fit into the queue, oldest first.
  std::atomic<bool> writer_blocked_{false};    // The writer waits for space in the queue.
  std::atomic<std::size_t> overflow_size_{0};  // Of `overflow_`, for other threads.
  std::uint64_t sent_count_ = 0;
  bool needs_wakeup_ = false;  // The next Flush() must wake the reader.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_CHANNEL_H_
