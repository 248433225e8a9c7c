// The upstream calls of executions: what the worker pool asked for, what the upstream answered, and what the
// pool was told, across links to either that are lost.
//
// A call is requested -> in flight -> replied, or requested again after a failure; the policy may skip it in
// either state. A reply or a skip that the pool may not have read is sent again once its link carries
// commands: the same text for the same notice, without a second call.
//
// Bounds: one call per execution, with its body while it may still be started, then with its reply until the
// execution goes on; each at most proto::kMaxPoolResultBytes.
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

// Not thread-safe. Executions are named by the ids of their attempts.
class UpstreamCalls {
 public:
  // Where a command stands in the order of the pool's commands (net::WorkerPool::CommandMark).
  using CommandMark = std::uint64_t;
  using Millis = std::chrono::duration<double, std::milli>;
  // The links that carry the calls.
  struct Links {
    // Sends the reply of a call to the pool.
    std::function<CommandMark(std::uint64_t attempt_id, std::string_view reply)> send_reply;
    // Tells the pool to go on without the call of this notice.
    std::function<CommandMark(std::uint64_t attempt_id, std::uint64_t notice)> send_skip;
    // Starts a call. False without an upstream: the call is known not to have run.
    std::function<bool(std::uint64_t attempt_id, Millis timeout, std::string_view body)> start;
    // Abandons a call in flight.
    std::function<void(std::uint64_t attempt_id)> abandon;
  };
  explicit UpstreamCalls(Links links) : links_(std::move(links)) {}

  // An execution waits for a call. An earlier call of it is over.
  void OnRequested(std::uint64_t attempt_id, std::uint64_t notice, std::string_view body);
  // Starts the call that the execution waits for; does nothing if it waits for none. False if the call cannot
  // be started, and never ran.
  [[nodiscard]] bool Start(std::uint64_t attempt_id, Millis timeout);
  // The call has finished. After a failure it may be started again. False if none was in flight.
  [[nodiscard]] bool OnFinished(std::uint64_t attempt_id, hingelink::Outcome outcome, std::string_view reply);
  // The execution goes on without the call.
  void Skip(std::uint64_t attempt_id);
  // The execution has finished: a call in flight is abandoned, as it would only load the upstream.
  void OnExecutionFinished(std::uint64_t attempt_id);
  // The pool's link carries commands again: sends what `processed` says the pool has not read.
  void Resend(const std::function<bool(CommandMark)>& processed);

  // Executions that have requested a call and not finished.
  [[nodiscard]] std::size_t executions() const { return calls_.size(); }

 private:
  enum class State { kRequested, kInFlight, kReplied, kSkipped };
  struct Call {
    State state = State::kRequested;
    std::uint64_t notice = 0;
    // The body of the call; the reply from kReplied on.
    std::string text;
    CommandMark mark = 0;
  };
  void SendDecision(std::uint64_t attempt_id, Call& call);

  Links links_;
  absl::flat_hash_map<std::uint64_t, Call> calls_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_UPSTREAM_CALLS_H_
