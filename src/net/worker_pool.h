// What a node asks of what runs its requests: one worker pool (pool_link.h), or several shared with other
// nodes (pool_group.h).
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

struct PoolEvents {
  std::function<void(bool warming_up)> bound;
  std::function<void(const proto::RunFinished&)> finished;
  std::function<void(const proto::RunBlocked&)> blocked;  // Each notice once, whatever links break.
  std::function<void(std::uint64_t tag, bool good)> verified;
  std::function<void(std::uint64_t req)> spawn_unknown;
  // All notices of the time without a link are in. Spawns for which Processed() says no may be sent again.
  std::function<void()> ready;
};

// What a group of pools must know of the requests, besides.
struct PoolGroupCallbacks {
  // Sends the run anew, as nothing of it was started where it was, or as it may run twice. False, and nothing
  // is sent, where nobody waits for it any more.
  std::function<bool(std::uint64_t req)> restart_execution;
  // Whether a run of this class may run twice.
  std::function<bool(std::string_view kind)> is_idempotent;
  // The place of a gauge among those told, by its name.
  std::function<std::size_t(std::string_view name)> gauge_index;
};

class WorkerPool {
 public:
  // Where a command stands in the order of commands.
  using CommandMark = std::uint64_t;
  static constexpr CommandMark kNeverSent = UINT64_MAX;
  virtual ~WorkerPool() = default;

  // Leaves the address for another at once: what is still to come of the old link comes again on the new one.
  virtual void ChangeAddress(const sockaddr_in& pool) = 0;
  // Sends it, or returns kNeverSent where nothing carries commands just now.
  virtual CommandMark Spawn(std::uint64_t req, std::string_view kind, std::string_view body) = 0;
  // The reply to the call that the run waits for; and its going on without the call that a notice asked for.
  // Sent, or kNeverSent, as above.
  virtual CommandMark SendUpstreamReply(std::uint64_t req, std::string_view reply) = 0;
  virtual CommandMark SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) = 0;
  // Has the work of a deep check done. False where nothing carries commands just now.
  virtual bool Verify(std::uint64_t tag) = 0;
  // Asks for the gauges, unless an answer is still to come.
  virtual void PollGauges() = 0;
  // In `settled`: whether the pool is known to have read the command before the link was lost.
  virtual bool Processed(CommandMark mark) const = 0;
  // Whether it carries commands.
  virtual bool ready() const = 0;
  // The newest gauges, or none where they are old.
  virtual const std::vector<double>& gauges() const = 0;
};

}  // namespace hingelink::net

#endif  // HINGELINK_NET_WORKER_POOL_H_
