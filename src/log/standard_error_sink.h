// Writes log lines to standard error without waiting for its reader.
#ifndef HINGELINK_LOG_STANDARD_ERROR_SINK_H_
#define HINGELINK_LOG_STANDARD_ERROR_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace hingelink::log {

// A process that logs on the thread of its event loop must not stop because nobody reads its log. While the
// pipe or socket behind standard error is full, lines are queued; the next line or Flush() writes them. When
// the queue is full, the oldest lines are dropped. A write to a regular file waits for the disk as usual.
class StandardErrorSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit StandardErrorSink(std::size_t max_queued_lines) : max_queued_lines_(max_queued_lines) {}
  // Lines that were dropped, or could not be written because of an error.
  std::uint64_t lost() const { return lost_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override { WriteQueued(); }

 private:
  // Writes the queued lines until standard error accepts no more.
  void WriteQueued();

  const std::size_t max_queued_lines_;
  std::deque<std::string> queue_;  // Oldest first. The first line may have been written in part.
  std::atomic<std::uint64_t> lost_{0};
};

}  // namespace hingelink::log

#endif  // HINGELINK_LOG_STANDARD_ERROR_SINK_H_
