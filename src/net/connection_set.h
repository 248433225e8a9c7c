// The gateway connections of one event loop, which use the frame protocol. Owns the connections. All methods
// and callbacks run on the thread of that loop.
#ifndef HINGELINK_NET_CONNECTION_SET_H_
#define HINGELINK_NET_CONNECTION_SET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/front_end.h"
#include "decide/connections/connection_admission.h"
#include "net/event.h"
#include "net/lingering_closer.h"
#include "proto/frames.h"

namespace hingelink::net {

// Why a connection ended. The codes are explained in docs/on-call.md.
enum class EndReason {
  kPeerClosed,
  kReset,
  kFraming,
  kSilent,
  kUnfinished,
  kSlowReader,
  kIdle,
  kEvicted,
  kAtLimit,
  kMemoryLimit,
  kDrained,
  kHandedOver,
  kShutdown
};
const char* ReasonCode(EndReason reason);

class ConnectionSet {
 public:
  struct Events {
    std::function<void(const core::IncomingRequest&)> request;
    std::function<void(core::StreamAddress)>
        disconnected;  // The caller of this request or health check no longer waits for the answer.
    std::function<void(core::StreamAddress)>
        deep_check;  // A deep check. May be empty: all checks are shallow.
    // Returns the counters of a class by its name, or null. Each answer is counted there when it is written.
    std::function<core::ClassCountsPtr(std::string_view class_name)> class_counts;
    // The descriptor of a connection was closed; called after its last `disconnected`. May be empty.
    std::function<void(std::uint64_t id)> closed;
    // Whether another frame may be read. If false, all input stays unread until ResumeReading(). May be
    // empty.
    std::function<bool()> may_read_frame;
    std::function<void(std::uint64_t id)> before_read;  // Called before a connection is read. May be empty.
  };

  ConnectionSet(event_base* base, Events events);
  ~ConnectionSet();

  // Takes ownership of a connected socket. `id` must never have been used for another connection.
  void Add(std::uint64_t id, evutil_socket_t fd, Steady::time_point accepted = Steady::now());
  void Deliver(core::StreamAddress to, const core::FinalAnswer& answer);
  void SetHealth(bool good, bool shallow) {
    healthy_ = good;
    deep_checks_ = !shallow;
  }
  // Does nothing if the connection of the health check is closed.
  void AnswerHealthCheck(core::StreamAddress to, bool good);
  void SetLoadSignal(std::optional<double> value) { load_signal_ = value; }
  void CloseIdle(std::chrono::milliseconds after);
  // The time after its arrival within which each request is due to be answered at the latest. For this long,
  // a connection whose peer stalls is kept for the answers that the peer has not taken. Applies to requests
  // that are read from now on.
  void SetAnswerDelayLimit(Steady::duration limit) { answer_delay_limit_ = limit; }
  // Limits the bytes that all connections together hold: input that is not yet a complete frame, and output
  // that the kernel has not taken. Above the limit, the connections that hold most are closed, except those
  // whose output was written so recently that the kernel may not have been offered it yet. No limit at first.
  void SetBufferLimit(std::size_t bytes);
  // The bytes that the limit applies to.
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  // Sends a stop-new-requests frame on each open connection that has not had one.
  void StopNewRequests();
  // Reverts to normal operation after StopNewRequests() and CloseIdleForHandover().
  void CancelDrain();
  // Until CancelDrain(), periodically closes connections that are idle. Call StopNewRequests() first.
  void CloseIdleForHandover();
  // The value of the connection that EvictOne() would close, or nothing if none can be closed without loss.
  std::optional<decide::ConnectionValue> EvictionCandidate() const;
  // Closes that connection. Returns false if there is none.
  bool EvictOne();
  // Resumes reading on connections for which `may_read_frame` returned false.
  void ResumeReading();

  // The state of a connection that moves to another loop. It moves only between complete frames.
  struct TransferState {
    struct OpenRequest {
      std::uint32_t stream = 0;
      std::string class_name;  // Empty if the request had no known class.
      core::ClassCountsPtr counts;
    };
    std::uint64_t id = 0;
    Descriptor socket;
    std::vector<OpenRequest> open_requests;
    std::string unsent_output;
    Steady::time_point answers_due{};  // When the last answer that is owed is due.
    std::uint64_t request_count = 0;
    int malformed_count = 0;
    bool has_served = false;  // A request was served on the connection.
    bool stop_sent = false;
  };
  // Removes a connection without calling `disconnected` or `closed`. Returns nothing if the connection does
  // not exist, is closing, has a pending deep check, or has read a partial frame.
  std::optional<TransferState> Release(std::uint64_t id);
  void Adopt(TransferState state);

  // Deletes the connections that were closed since the last call. Must not be called from a callback.
  void Sweep();
  // Closes all connections and waits until the peers have closed too, at most until `until`. Must not be
  // called from a callback.
  void Shutdown(Steady::time_point until);

  // Connections that hold a descriptor: open ones, and those that wait for the peer to close.
  std::size_t size() const { return connections_.size() + lingering_.size(); }
  // Statistics of one connection, for diagnosis.
  struct Snapshot {
    std::uint64_t id = 0;
    std::uint64_t requests = 0;
    std::size_t open_requests = 0;
    std::size_t unsent_bytes = 0;
    Steady::duration idle_time{};
  };
  // Statistics of at most `most` open connections, in no particular order.
  std::vector<Snapshot> TakeSnapshots(std::size_t most) const;
  bool AllSent() const;
  // Returns the number of frames read and answers written since the last call. Calls `heaviest` for at most
  // `most` connections, in descending order of their own count.
  std::uint64_t TakeFrameCounts(std::size_t most,
                                const std::function<void(std::uint64_t id, std::uint64_t work)>& heaviest);

 private:
  class Connection;

  using Connections = std::unordered_map<std::uint64_t, std::unique_ptr<Connection>>;

  Connections::const_iterator FindEvictionCandidate() const;
  void End(std::uint64_t id, EndReason reason);
  // Closes connections until their bytes are within the buffer limit.
  void EnforceBufferLimit();
  // Lets the connection read on after the events that are ready now.
  void ReadInNextTurn(std::uint64_t id);
  void ReadPending();
  void SweepIdle();
  void CloseTimedOut();

  event_base* base_;
  Events events_;
  Timer idle_sweep_;
  Timer timeout_check_;
  Timer handover_sweep_;
  std::chrono::milliseconds idle_after_{0};
  Steady::duration answer_delay_limit_{0};
  bool healthy_ = true;
  bool deep_checks_ = false;  // Deep checks are passed to Events::deep_check.
  bool stop_sent_ = false;
  std::optional<double> load_signal_;
  std::size_t buffer_limit_ = std::numeric_limits<std::size_t>::max();
  std::size_t buffered_bytes_ = 0;
  Connections connections_;
  std::vector<std::unique_ptr<Connection>> ended_;
  LingeringCloser lingering_;
  std::vector<std::uint64_t> deferred_reads_;  // Connections that wait for ResumeReading().
  // Connections with complete frames in their input that wait for their next turn.
  std::vector<std::uint64_t> pending_reads_;
  Timer next_turn_;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_CONNECTION_SET_H_
