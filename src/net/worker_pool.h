// The interface of the worker pool that executes the requests of a node. Implementations: one worker pool
// (pool_link.h), and several worker pools that are shared with other nodes (pool_group.h).
#ifndef HINGELINK_NET_WORKER_POOL_H_
#define HINGELINK_NET_WORKER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "net/event.h"
#include "proto/pool_lines.h"

namespace hingelink::net {

// Called on the thread of the event loop. String views are valid during the call only.
struct PoolEvents {
  // The pool has accepted the connection.
  std::function<void(bool warming_up)> bound;
  // An execution has ended.
  std::function<void(const proto::RunFinished&)> finished;
  // An execution waits for an upstream call. Called once for each notice, also if the pool repeats the notice
  // on a new connection. May be empty.
  std::function<void(const proto::RunBlocked&)> blocked;
  // The result of a deep check that was started by Verify(). May be empty.
  std::function<void(std::uint64_t tag, bool good)> verified;
  // The pool has not started the execution: it rejected the command, for example for an unknown class.
  std::function<void(std::uint64_t req)> spawn_unknown;
  // The pool is ready for commands, and all notices from the time without a connection have been received.
  // Commands for which Processed() returns false may be sent again.
  std::function<void()> ready;
};

// What a group of pools needs to know about the requests. Called on the thread of the event loop.
struct PoolGroupCallbacks {
  // Sends the execution again by WorkerPool::Spawn(). Called only if the execution was not started, or may
  // run twice. Returns false and sends nothing if no caller waits for the result.
  std::function<bool(std::uint64_t req)> restart_execution;
  // Whether an execution of this class may run twice.
  std::function<bool(std::string_view kind)> is_idempotent;
  // Index of a gauge in the lists that the pools report. An unknown name gives an index past the end.
  std::function<std::size_t(std::string_view name)> gauge_index;
};

// All methods are called on the thread of the event loop.
class WorkerPool {
 public:
  // The position of a command in the order of the commands; see Processed().
  using CommandMark = std::uint64_t;
  static constexpr CommandMark kNeverSent = UINT64_MAX;
  virtual ~WorkerPool() = default;

  // Closes the connection and connects to another address of the pool. The pool repeats the notices that were
  // not received on the old connection.
  virtual void ChangeAddress(const sockaddr_in& pool) = 0;
  // Starts an execution of class `kind`. Returns kNeverSent if no connection is ready for commands.
  virtual CommandMark Spawn(std::uint64_t req, std::string_view kind, std::string_view body) = 0;
  // Sends the reply to the upstream call that the execution waits for. Returns kNeverSent as above.
  virtual CommandMark SendUpstreamReply(std::uint64_t req, std::string_view reply) = 0;
  // Lets the execution continue without the upstream call that the notice requested. Returns kNeverSent as
  // above.
  virtual CommandMark SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) = 0;
  // Starts a deep check, a round trip through a worker. Returns false if no connection is ready for commands.
  virtual bool Verify(std::uint64_t tag) = 0;
  // Requests the gauges, unless a request is still unanswered.
  virtual void PollGauges() = 0;
  // To be called from PoolEvents::ready. Whether the pool is known to have read the command before the
  // connection was lost.
  virtual bool Processed(CommandMark mark) const = 0;
  // Whether a connection is ready for commands.
  virtual bool ready() const = 0;
  // The latest gauges; empty if they are outdated.
  virtual const std::vector<double>& gauges() const = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_WORKER_POOL_H_
