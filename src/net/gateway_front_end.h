// The interface through which a node controls its gateway connections, on one event loop or several. All
// methods are called on the node's main thread, which runs the node's own event loop.
#ifndef HINGELINK_NET_GATEWAY_FRONT_END_H_
#define HINGELINK_NET_GATEWAY_FRONT_END_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/front_end.h"
#include "net/connection_set.h"

namespace hingelink::net {

class GatewayFrontEnd : public core::FrontEnd {
 public:
  struct LoopStats {
    std::size_t connections = 0;
    std::size_t pending_messages = 0, pending_commands = 0;  // In the queues from and to the loop.
    double cpu_fraction = 0;                                 // Of one core, in the last report.
    std::uint64_t connections_received = 0;                  // Moved here from other loops since the start.
    std::uint64_t heartbeats = 0;                            // Increases as long as the loop runs.
    bool stalled = false;
  };
  // Statistics of the event loops that serve connections besides the node's own loop. Empty if the node's
  // loop serves all of them.
  virtual std::vector<LoopStats> Loops() const = 0;
  // Restricts the thread of a loop to these CPUs. Returns false if that is not possible.
  virtual bool PinLoopToCpus(std::size_t loop, const std::vector<unsigned>& units) = 0;

  // See ConnectionSet::SetAnswerDelayLimit().
  virtual void SetAnswerDelayLimit(Steady::duration limit) = 0;
  // See ConnectionSet::SetBufferLimit(); applies to the connections of all loops together.
  virtual void SetBufferLimit(std::size_t bytes) = 0;
  // Sends a stop-new-requests frame on each open connection that has not had one.
  virtual void StopNewRequests() = 0;
  // `shared`: whether a sibling process holds descriptors that count towards the same limit, and will release
  // them soon.
  virtual void SetMaxConnections(std::size_t most, bool shared) = 0;
  // Pauses accepting. Connections in the kernel's queue are left to another process.
  virtual void PauseListening() = 0;
  virtual void ResumeListening() = 0;
  // Until ResumeListening(), periodically closes connections that are idle. Call StopNewRequests() first.
  virtual void CloseIdleForHandover() = 0;
  // Accepts the connections in the kernel's queue and closes the listener.
  virtual void StopListening() = 0;
  // Closes the connections in the kernel's queue unread, and the listener, which no other process may share.
  virtual void CloseListener() = 0;
  // Opens the listener again after CloseListener() or ReleaseListener(), paused. Throws std::runtime_error if
  // that fails.
  virtual void ReopenListener() = 0;
  // Replaces the listener, which must be paused.
  virtual void ReplaceListener(Descriptor listener) = 0;
  // Closes the listener of this process and leaves the connections in the kernel's queue to the processes
  // that share it. Call PauseListening() first.
  virtual void ReleaseListener() = 0;
  // To be called when the request classes have changed: class counters have to be looked up again.
  virtual void ClassesChanged() = 0;
  // Stops reading frames. Requests that were read before are reported in the next iterations of the node's
  // loop.
  virtual void StopReading() = 0;
  // Deletes closed connections. To be called between two iterations of the node's loop, never from a
  // callback.
  virtual void Sweep() = 0;
  // Closes all connections and waits until the peers have closed too, at most until `until`. Must not be
  // called from a callback.
  virtual void Shutdown(Steady::time_point until) = 0;

  virtual evutil_socket_t listener() const = 0;
  virtual std::uint16_t port() const = 0;
  virtual std::size_t connections() const = 0;
  // Statistics of at most `most` open connections, in no particular order.
  virtual std::vector<ConnectionSet::Snapshot> TakeSnapshots(std::size_t most) const = 0;
  // True if all requests that were read have been reported and all answers were passed to the kernel.
  virtual bool AllSent() const = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_GATEWAY_FRONT_END_H_
