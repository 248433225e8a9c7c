// One connection of a gateway: frames in, answers out, and when it is to be ended. A part of the set.
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
  ConnectionSet::Snapshot AsSeen() const;

  std::uint64_t TakeFrameCounts() { return std::exchange(work_, 0); }

  // Reads on behind a `may_read` that said no.
  void ResumeReading();
  std::optional<ConnectionSet::TransferState> Release();

  void TakeOver(ConnectionSet::TransferState moving);
  bool idle() const;
  bool given_up() const { return given_up_; }
  bool sent() const { return UnsentBytes(bev_.get()) == 0; }
  Steady::time_point last_used() const { return last_used_; }

  // Nothing is open on it, nothing is unsent, and nothing that the peer has sent is left to read, not even a
  // part of a frame: it can be closed without loss.
  bool Resting() const;
  // Least first: what is to be ended first to make room.
  decide::ConnectionValue usefulness() const;
  // Whether it may be ended to make room: it rests, or has stood in its first frame for a while. Guards
  // against half frames that take all descriptors.
  bool Spare() const;
  // Whether it may be, as far as that is known without a system call; where it says no, Spare() does.
  bool MayBeSpare() const;

  // Why it is to be ended by now. Guards against peers that say nothing, stop in the middle of a frame, take
  // no answers, or do not close after a fault.
  std::optional<EndReason> Look();

  // Stops all callbacks and tells of the requests that nobody can be answered any more. Gives the socket,
  // which is still to be closed.
  Descriptor Detach(EndReason reason);

 private:
  // What it has been good for, least first.
  enum class Use { kNone, kFrames, kServed };
  // No part of a frame has been read.
  bool BetweenFrames() const;
  bool StuckInFirstFrame() const;
  void Read();

  void Take(const proto::FrameHeader& head, std::string_view payload, bool too_long);
  void TakeCheck(std::uint32_t stream, std::string_view payload);

  void TakeRequest(std::uint32_t stream, std::string_view payload, bool too_long);

  // Every final answer passes here, also those to requests that the node never took.
  void Answer(std::uint32_t stream, core::ClassCounts* counts, const core::FinalAnswer& answer);
  void Write(std::string_view bytes);

  void Written();

  // What follows cannot be read: what is open is failed, stream 0 tells of the error, and the connection ends
  // once the peer closes or its time is over. Guards the error on its way: a close with bytes unread resets.
  void Fault(const char* what);
  void LetGo();

  void Event(short what);

  ConnectionSet& set_;
  std::uint64_t id_;
  BufferPtr bev_;
  std::unordered_map<std::uint32_t, core::ClassCountsPtr> open_;  // Streams that are owed an answer.
  std::set<std::uint32_t> checks_;                                // Streams whose deep checks wait.
  std::size_t skip_ = 0;                                          // Bytes of an overlong frame still to come.
  std::size_t let_go_ = 0;                                        // Bytes that came behind a fault.
  std::uint64_t requests_ = 0;
  std::uint64_t work_ = 0;     // Frames read and answers written, since it was last asked.
  std::uint64_t written_ = 0;  // Bytes of answers in all, and how many the peer had taken at the last look.
  std::uint64_t taken_ = 0;
  int malformed_ = 0;
  int frame_looks_ = 0, quiet_looks_ = 0, fault_looks_ = 0, stalled_looks_ = 0;
  Use use_ = Use::kNone;
  const char* fault_ = nullptr;
  bool ending_ = false;
  bool reading_paused_ = false;
  mutable bool known_unread_ = false;  // Bytes lie unread in the kernel; stays so until Read().
  bool held_back_ = false;
  bool given_up_ = false;
  bool asked_for_no_more_ = false;
  Steady::time_point last_used_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_GATEWAY_CONNECTION_H_
