// The gateways' connections on one event loop, which speak frames. All of it on that loop's thread.
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
        disconnected;  // Nobody waits for this answer any more, or that of a check.
    std::function<void(core::StreamAddress)> deep_check;  // A deep check. Empty: none is told.
    // The counts of a class by its name, or null. Each answer is counted there as it is written.
    std::function<core::ClassCountsPtr(std::string_view class_name)> class_counts;
    // Its descriptor is free; after its last `gone`. May be empty.
    std::function<void(std::uint64_t id)> closed;
    // Whether one more frame may be read. Where it says no, all is left unread until ResumeReading(). May be
    // empty.
    std::function<bool()> may_read_frame;
    std::function<void(std::uint64_t id)> before_read;  // Before it reads a connection. May be empty.
  };

  ConnectionSet(event_base* base, Events events);
  ~ConnectionSet();

  // Takes a connected socket, under a name that no other connection ever has.
  void Add(std::uint64_t id, evutil_socket_t fd, Steady::time_point accepted = Steady::now());
  void Deliver(core::StreamAddress to, const core::FinalAnswer& answer);
  void SetHealth(bool good, bool shallow) {
    healthy_ = good;
    deep_ = !shallow;
  }
  // Does nothing where the check's connection has ended.
  void AnswerHealthCheck(core::StreamAddress to, bool good);
  void SetLoadSignal(std::optional<double> value) { signal_ = value; }
  void CloseIdle(std::chrono::milliseconds after);
  // Asks for no new request on any connection that stands and has not been asked.
  void StopNewRequests();
  // Connections are wanted again, behind StopNewRequests() and CloseIdleForHandover().
  void CancelDrain();
  // From now on, until CancelDrain(): ends connections that have been asked for no more and are quiet.
  void CloseIdleForHandover();
  // The least useful connection with which nothing is lost, if there is one.
  std::optional<decide::ConnectionValue> EvictionCandidate() const;
  // Ends it. False where there is none.
  bool EvictOne();
  // Reads on where `may_read` said no.
  void ResumeReading();

  // A connection on its way to another loop: between whole frames, with what it owes and is owed.
  struct TransferState {
    struct OpenRequest {
      std::uint32_t stream = 0;
      std::string class_name;  // The name of its class; empty where it was none.
      core::ClassCountsPtr counts;
    };
    std::uint64_t id = 0;
    Descriptor socket;
    std::vector<OpenRequest> open_requests;
    std::string unsent_output;
    std::uint64_t request_count = 0;
    int malformed_count = 0;
    bool has_served = false;  // It has been served.
    bool stop_sent = false;
  };
  // Takes it out, without a word to `gone` or `ended`. Nothing where it does not stand, is ending, or has
  // read a part of a frame.
  std::optional<TransferState> Release(std::uint64_t id);
  void Adopt(TransferState moving);

  // Frees the connections that ended since the last call. Not to be called from within a callback.
  void Sweep();
  // Ends all connections, and waits for the peers to close as well, until then at most. Not to be called from
  // within a callback.
  void Shutdown(Steady::time_point until);

  // Those that hold a descriptor: connections that stand, and those that wait for the peer to close.
  std::size_t size() const { return connections_.size() + lingering_.size(); }
  // One connection as it stands.
  struct Snapshot {
    std::uint64_t id = 0;
    std::uint64_t requests = 0;
    std::size_t open_requests = 0;
    std::size_t unsent_bytes = 0;
    Steady::duration idle_time{};
  };
  // At most so many of those that stand.
  std::vector<Snapshot> TakeSnapshots(std::size_t most) const;
  bool AllSent() const;
  // Frames read and answers written since the last call, in all; and of those connections that had most, most
  // first, at most so many.
  std::uint64_t TakeFrameCounts(std::size_t most,
                                const std::function<void(std::uint64_t id, std::uint64_t work)>& heaviest);

 private:
  class Connection;

  using Connections = std::unordered_map<std::uint64_t, std::unique_ptr<Connection>>;

  Connections::const_iterator FindLeastUseful() const;
  void End(std::uint64_t id, EndReason reason);
  void SweepIdle();
  void LookForSlow();

  event_base* base_;
  Events events_;
  Timer idle_sweep_;
  Timer look_;
  Timer quiet_sweep_;
  std::chrono::milliseconds idle_after_{0};
  bool healthy_ = true;
  bool deep_ = false;  // Deep checks are told, and wait.
  bool asked_for_no_more_ = false;
  std::optional<double> signal_;
  Connections connections_;
  std::vector<std::unique_ptr<Connection>> ended_;
  LingeringCloser lingering_;
  std::vector<std::uint64_t> held_back_;  // With whole frames that `may_read` has left unread.
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_CONNECTION_SET_H_
