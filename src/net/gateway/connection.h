// One connection of a gateway: parses frames, writes answers and enforces timeouts. Owned by its
// ConnectionSet and used on the thread of its event loop only.
#ifndef HINGELINK_NET_GATEWAY_CONNECTION_H_
#define HINGELINK_NET_GATEWAY_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

#include "net/connection_set.h"

namespace hingelink::net {

class ConnectionSet::Connection {
 public:
  Connection(ConnectionSet& set, std::uint64_t id, evutil_socket_t fd, Steady::time_point accepted);
  void Attach();

  void Deliver(std::uint32_t stream, const core::FinalAnswer& answer);
  void AnswerHealthCheck(std::uint32_t stream, bool good);

  void StopNewRequests();
  ConnectionSet::Snapshot TakeSnapshot() const;

  std::uint64_t TakeFrameCount() { return std::exchange(frame_count_, 0); }

  // Resumes reading after Events::may_read_frame returned false.
  void ResumeReading();
  // Reads the frames that did not fit into the last turn.
  void ReadInTurn();
  std::optional<ConnectionSet::TransferState> Release();

  void RestoreState(ConnectionSet::TransferState state);
  bool idle() const;
  bool output_overflowed() const { return output_overflowed_; }
  bool all_sent() const { return UnsentBytes(bev_.get()) == 0; }
  Steady::time_point last_used() const { return last_used_; }

  // True if no request or check is open, no output is unsent, and no input is unread, not even a partial
  // frame. Asks the kernel for unread bytes.
  bool CanCloseWithoutLoss() const;
  // The bytes that are freed if this connection is closed for its memory: its input, and its output if the
  // kernel has been offered it and has not taken all.
  std::size_t held_bytes() const;

  // The connection with the smallest value is evicted first.
  decide::ConnectionValue eviction_value() const;
  // Whether the connection may be evicted: it can be closed without loss, or has not completed its first
  // frame for some time. The latter prevents clients with partial frames from using up all descriptors.
  bool IsEvictable() const;
  // Like IsEvictable(), but without a system call: false implies that IsEvictable() is false as well.
  bool MayBeEvictable() const;

  // Called periodically. Returns the reason to close the connection if a limit is exceeded: the peer is
  // silent, stops within a frame, does not read answers, or does not close after a framing error. A
  // connection on which answers are owed is kept until they are due. Reading pauses while the peer takes no
  // output, so that a stalled peer cannot extend that time.
  std::optional<EndReason> CheckTimeouts();

  // Disables all callbacks and reports open requests and checks as disconnected. Returns the socket, which
  // the caller has to close.
  Descriptor ReleaseSocket(EndReason reason);

 private:
  // The most valuable use of the connection so far. The enumerators are in ascending order of value; a
  // connection with a less valuable use is evicted first.
  enum class Usage { kNone, kFrames, kServed };
  // Whether the peer may still receive an answer in time: one is outstanding, or the peer has not taken it,
  // and the last one is not overdue.
  bool OwesAnswers() const;
  // Whether the peer has taken no output for longer than the limit.
  bool IsOutputStalled();
  void PauseReading();
  // True if the connection is idle and no part of a frame has been read.
  bool BetweenFrames() const;
  bool StuckInFirstFrame() const;
  void ReadFrames();

  void HandleFrame(const proto::FrameHeader& head, std::string_view payload, bool too_long);
  void HandleHealthCheck(std::uint32_t stream, std::string_view payload);

  void HandleRequest(std::uint32_t stream, std::string_view payload, bool too_long);

  // Writes and counts every final answer, including those to requests that were rejected here.
  void Answer(std::uint32_t stream, core::ClassCounts* counts, const core::FinalAnswer& answer);
  void Write(std::string_view bytes);

  void OnOutputSent();
  // Called by libevent for each change of the input and output buffers.
  static void OnBufferChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* self);
  // Ends the accounting of this connection's buffers.
  void StopCountingBytes();

  // Handles input that cannot be parsed any further: fails all open requests and sends an error on stream 0.
  // The connection is closed once the peer closes or the time limit expires, because closing the socket with
  // unread input would reset it and could destroy the error frame.
  void FailFraming(const char* what);
  void DiscardInput();

  void OnEvent(short what);

  ConnectionSet& set_;
  std::uint64_t id_;
  BufferPtr bev_;
  std::unordered_map<std::uint32_t, core::ClassCountsPtr> open_;  // Streams with an unanswered request.
  std::set<std::uint32_t> health_checks_;                         // Streams with a pending deep check.
  std::size_t bytes_to_skip_ = 0;                                 // Outstanding bytes of an overlong frame.
  std::size_t discarded_bytes_ = 0;                               // Bytes received after a framing error.
  std::uint64_t request_count_ = 0;
  std::uint64_t frame_count_ = 0;      // Frames read and answers written since TakeFrameCount().
  std::uint64_t output_bytes_ = 0;     // Bytes of all output so far.
  std::uint64_t last_sent_bytes_ = 0;  // Bytes of output that had been sent at the last timeout check.
  std::size_t buffered_bytes_ = 0;     // Input and output, as counted in ConnectionSet::buffered_bytes().
  Steady::time_point unsent_since_{};  // When unsent output began to exist.
  int malformed_count_ = 0;
  int frame_checks_ = 0, silence_checks_ = 0, framing_error_checks_ = 0, stalled_output_checks_ = 0;
  Usage usage_ = Usage::kNone;
  const char* framing_error_ = nullptr;
  bool closing_ = false;
  bool reading_paused_ = false;
  mutable bool has_unread_bytes_ = false;  // The kernel holds unread bytes; reset by ReadFrames().
  bool read_deferred_ = false;
  bool waits_for_turn_ = false;  // Complete frames may be in the input buffer; ReadInTurn() reads them.
  bool output_overflowed_ = false;
  bool stop_sent_ = false;
  Steady::time_point last_used_;
  Steady::time_point answers_due_{};  // When the last answer to a request that was read is due.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_GATEWAY_CONNECTION_H_
