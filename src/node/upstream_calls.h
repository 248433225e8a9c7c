// Tracks the upstream calls of executions: the call that the worker pool requested, its state, and the reply
// or skip command sent to the pool. Handles lost connections to the pool and to the upstream.
//
// States: requested -> in flight -> replied. A failed call becomes requested again. The policy may skip a
// call that is requested or in flight. If the connection to the pool is lost before the pool has read a reply
// or a skip, the same command is sent again over the next connection, without a second upstream call.
//
// Bounds: one call per execution. The table stores the body of the call until the call succeeds or is
// skipped, then the reply until the execution requests another call or finishes. Each is at most
// proto::kMaxPoolResultBytes.
#ifndef HINGELINK_NODE_UPSTREAM_CALLS_H_
#define HINGELINK_NODE_UPSTREAM_CALLS_H_

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// Not thread-safe. Executions are identified by their attempt ids.
class UpstreamCalls {
 public:
  // The position of a command in the sequence of commands to the pool (net::WorkerPool::CommandMark).
  using CommandMark = std::uint64_t;
  using Millis = std::chrono::duration<double, std::milli>;
  // Functions that send calls to the upstream and commands to the pool.
  struct Links {
    // Sends the reply of a call to the pool. Returns the position of the command.
    std::function<CommandMark(std::uint64_t attempt_id, std::string_view reply)> send_reply;
    // Tells the pool that the execution continues without the call that the notice with this number
    // requested. Returns the position of the command.
    std::function<CommandMark(std::uint64_t attempt_id, std::uint64_t notice_number)> send_skip;
    // Starts a call. False if no upstream is configured; the call has then certainly not run.
    std::function<bool(std::uint64_t attempt_id, Millis timeout, std::string_view body)> start;
    // Abandons a call in flight.
    std::function<void(std::uint64_t attempt_id)> abandon;
  };
  explicit UpstreamCalls(Links links) : links_(std::move(links)) {}

  // An execution waits for a call with this body. Replaces an earlier call of the same execution.
  // `notice_number`: the number of the pool's notice that requested the call.
  void OnRequested(std::uint64_t attempt_id, std::uint64_t notice_number, std::string_view body);
  // Starts the requested call of the execution. Does nothing and returns true if there is no requested call.
  // False if the call cannot be started; the call has then certainly not run.
  [[nodiscard]] bool Start(std::uint64_t attempt_id, Millis timeout);
  // The call has finished. A successful reply is sent to the pool; a failed call may be started again. False
  // if no call of the execution was in flight.
  [[nodiscard]] bool OnFinished(std::uint64_t attempt_id, hingelink::Outcome outcome, std::string_view reply);
  // Abandons the call and tells the pool to continue the execution without it.
  void Skip(std::uint64_t attempt_id);
  // Removes the call of a finished execution. A call in flight is abandoned, because its reply would be
  // unused and it would only load the upstream.
  void OnExecutionFinished(std::uint64_t attempt_id);
  // Called when a connection to the pool is ready again. Sends each reply and skip again that the pool has
  // not read; `processed` tells by position which commands the pool has read.
  void Resend(const std::function<bool(CommandMark)>& processed);

  // The number of unfinished executions that have requested a call.
  [[nodiscard]] std::size_t executions() const { return calls_.size(); }

 private:
  enum class State { kRequested, kInFlight, kReplied, kSkipped };
  struct Call {
    State state = State::kRequested;
    std::uint64_t notice_number = 0;
    // The body of the call; in kReplied the reply; empty in kSkipped.
    std::string text;
    // The position of the last reply or skip command.
    CommandMark mark = 0;
  };
  // Sends the reply or the skip of the call to the pool.
  void SendOutcome(std::uint64_t attempt_id, Call& call);

  Links links_;
  absl::flat_hash_map<std::uint64_t, Call> calls_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_UPSTREAM_CALLS_H_
