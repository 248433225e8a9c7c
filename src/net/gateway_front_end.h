// The callers' side of a node, on however many loops: what the node steers of it.
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
    std::size_t pending_messages = 0, pending_commands = 0;  // Messages in the queues from and to it.
    double cpu_fraction = 0;                                 // Share of a core, at its last report.
    std::uint64_t connections_received = 0;  // Connections that came from other loops, since the start.
    std::uint64_t heartbeats = 0;            // Grows as long as it goes round.
    bool stalled = false;
  };
  // Those that carry connections beside the node's own; none where that carries them all.
  virtual std::vector<LoopStats> Loops() const = 0;
  // One of them runs on these units of the machine only. False where that cannot be.
  virtual bool PinLoopToCpus(std::size_t loop, const std::vector<unsigned>& units) = 0;

  // Asks for no new request on any connection that stands and has not been asked.
  virtual void StopNewRequests() = 0;
  // `shared`: another process holds descriptors out of the same limit, and will let go of them.
  virtual void SetMaxConnections(std::size_t most, bool shared) = 0;
  // Accepts no more for the time being; what waits in the queue is another process's.
  virtual void PauseListening() = 0;
  virtual void ResumeListening() = 0;
  // From now on, until ResumeListening(): ends connections that have been asked for no more and are quiet.
  virtual void CloseIdleForHandover() = 0;
  // Takes in what the kernel has accepted already, and then listens no more.
  virtual void StopListening() = 0;
  // The classes have changed: what Counts() of the node gives is to be asked for anew.
  virtual void ClassesChanged() = 0;
  // From now on no frame is read. What was read before is told within the following rounds of the node's
  // loop.
  virtual void StopReading() = 0;
  // To be called between two rounds of the node's loop, never from within a callback.
  virtual void Sweep() = 0;
  // Ends all connections, and waits for the peers to close as well, until then at most. Not to be called from
  // within a callback.
  virtual void Shutdown(Steady::time_point until) = 0;

  virtual evutil_socket_t listener() const = 0;
  virtual std::uint16_t port() const = 0;
  virtual std::size_t connections() const = 0;
  // At most so many of the connections that stand.
  virtual std::vector<ConnectionSet::Snapshot> TakeSnapshots(std::size_t most) const = 0;
  // Whether all that was read has been told, and all answers are with the kernel.
  virtual bool AllSent() const = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_GATEWAY_FRONT_END_H_
