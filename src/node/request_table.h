// Holds the state of each request from its arrival until its execution and answer are complete. Converts
// reports of the front end, the worker pool and the upstream into policy events, executes the policy's
// actions on requests, and gives each request exactly one final answer. Independent of the wire protocols.
#ifndef HINGELINK_NODE_REQUEST_TABLE_H_
#define HINGELINK_NODE_REQUEST_TABLE_H_

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/front_end.h"
#include "hingelink/server_policy.h"
#include "node/keys/key_table.h"
#include "node/keys/read_cache.h"
#include "node/metrics.h"
#include "node/recent_attempts.h"
#include "node/request_classes.h"
#include "node/upstream_calls.h"

namespace hingelink::node {

// How an execution ended, as reported by the worker pool.
struct ExecutionResult {
  std::uint64_t attempt_id = 0;
  hingelink::Outcome outcome = hingelink::Outcome::kError;
  Millis elapsed{0};
  // Valid during the call only.
  std::string_view result;
};

// Whether this process has the idempotency keys of the requests that its sibling processes executed.
enum class SiblingKeys {
  kKnown,
  // The predecessor has not reported all its keys yet. Keyed attempts are deferred until it has.
  kPending,
  // The predecessor did not report its keys in time. Attempts with a key without a record in this process
  // fail, because the predecessor may have executed an earlier attempt.
  kUnavailable,
  // A successor accepts the connections, or a sibling ended without having reported all its keys. A key
  // without a record in this process may be running or have run there, so an attempt with such a key fails.
  kServedElsewhere,
};

// Not thread-safe. The referenced arguments must outlive the object.
class RequestTable {
 public:
  using CommandMark = UpstreamCalls::CommandMark;
  using SteadyTime = std::chrono::steady_clock::time_point;
  static constexpr CommandMark kNeverSent = UINT64_MAX;
  // Sends the command that starts an execution to the pool. Returns the position of the command, or
  // kNeverSent if no connection to the pool is ready.
  using StartExecution = std::function<CommandMark(std::uint64_t attempt_id, std::string_view class_name,
                                                   std::string_view body)>;
  // Called when this process has changed the state of a key.
  using KeyChanged = std::function<void(const IdempotencyKey&)>;

  RequestTable(const hingelink::Settings& settings, FrontEnd& front, Metrics& metrics,
               StartExecution start_execution, UpstreamCalls::Links upstream, KeyTable::Limits key_limits,
               KeyChanged key_changed);

  // Applies the classes and tenants of the changed settings to later requests and to deferred attempts. All
  // events must have been taken, because arrivals refer to classes and tenants by index.
  void Reconfigure();

  // ---- Reports of the front end, the pool and the upstream; each may add events ----
  // Answers an invalid or duplicate request at once; adds any other request to the table.
  void OnRequest(const IncomingRequest& incoming);
  void OnCallerDisconnected(StreamAddress from);
  void OnExecutionFinished(const ExecutionResult& execution);
  // An execution waits for an upstream call with this body. `notice_number`: that of the pool's notice.
  void OnUpstreamCallRequested(std::uint64_t attempt_id, std::uint64_t notice_number, std::string_view body);
  void OnUpstreamCallFinished(std::uint64_t attempt_id, hingelink::Outcome outcome, Millis elapsed,
                              std::string_view reply);
  // The pool has no record of this execution, so the execution was never started.
  void OnExecutionUnknown(std::uint64_t attempt_id);
  // Sends the command for an execution again. Only for an execution that was not started, or whose class may
  // be executed twice. Returns false and sends nothing if the execution has finished or no caller waits for
  // the answer.
  [[nodiscard]] bool RestartExecution(std::uint64_t attempt_id);
  // Called when a connection to the pool is ready again. Sends each command again that the pool has not read;
  // `processed` tells by position which commands the pool has read.
  void Resend(const std::function<bool(CommandMark)>& processed);

  // Returns the events since the last call. The read delay and remaining wait of arrivals are relative to
  // `now`. Also fails the deferred attempts that cannot wait any longer.
  [[nodiscard]] std::vector<hingelink::Event> TakeEvents(UnixTime now);
  [[nodiscard]] bool has_events() const { return !events_.empty(); }

  // ---- Actions of the policy ----
  void Execute(const hingelink::Start& action);
  void Execute(const hingelink::Reject& action);
  void Execute(const hingelink::Fail& action);
  void Execute(const hingelink::RetainKey& action);
  void Execute(const hingelink::ReleaseKey& action);
  void Execute(const hingelink::Replay& action);
  void Execute(const hingelink::StartUpstreamCall& action);
  void Execute(const hingelink::UseFallback& action);

  // ---- Other processes of this node ----
  // In any state but kPending, deferred attempts become arrivals again.
  void SetSiblingKeys(SiblingKeys state);
  // Another process has reported the state of a key.
  void OnKeyUpdate(const KeyUpdate& update);
  // Calls `visit` with the id of each attempt that was handed to the pool, as far as it is remembered.
  void ForEachStartedAttempt(const std::function<void(std::uint64_t attempt_id)>& visit) const;
  // Another process has started this attempt, so it must not be started here.
  void OnAttemptReported(std::uint64_t attempt_id) { recent_attempts_.Add(attempt_id); }
  // `started` is called when an attempt is handed to the pool for the first time.
  void SetAttemptStartedCallback(std::function<void(std::uint64_t attempt_id)> started) {
    attempt_started_ = std::move(started);
  }
  // The other processes have exited. Attempts that wait for a key in flight there fail.
  void OnSiblingsExited();
  [[nodiscard]] const KeyTable& keys() const { return keys_; }
  [[nodiscard]] const UpstreamCalls& upstream_calls() const { return upstream_calls_; }

  // True if no request needs an answer and no execution is in flight.
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  // The number of requests without a final answer.
  [[nodiscard]] std::size_t unanswered() const { return awaiting_answer_.size(); }
  struct InFlightCounts {
    struct Class {
      std::uint64_t queued = 0;
      std::uint64_t running = 0;
    };
    // By class name.
    std::map<std::string, Class> classes;
    // The number of requests without a final answer, by gateway id.
    std::unordered_map<std::uint32_t, std::uint64_t> open_by_gateway;
  };
  // Iterates over all requests, so that the counts are consistent with each other.
  [[nodiscard]] InFlightCounts CountInFlight() const;
  // Answers every request that has no final answer yet, without asking the policy.
  void AnswerAll();

 private:
  struct Request {
    StreamAddress reply_to;
    std::uint64_t attempt_id = 0;
    std::uint32_t gateway = 0;
    RequestClasses::ClassPtr request_class;
    // Kept until the execution finishes, because the command is sent again if the connection to the pool is
    // lost before the pool has read the command.
    std::string body;
    bool known_to_policy = false;
    // Whether the key table has this attempt; see KeyTable::AddAttempt().
    bool in_key_table = false;
    bool needs_answer = true;
    bool running = false;
    // How often the command for the execution was sent to the pool.
    int starts = 0;
    // The position of the last of these commands.
    CommandMark mark = kNeverSent;
    std::uint64_t subject = 0;
    // The attempt whose result this request may share; 0 if none.
    hingelink::RequestId original = 0;
    // Set in keyed classes only.
    std::optional<IdempotencyKey> key;
    // True while the request waits for the result of another attempt with its key.
    bool awaiting_replay = false;
  };
  // A flat hash map, because each request has an entry in several maps and a node allocation for each entry
  // would cost too much. An insertion may move other entries; a removal does not.
  using Requests = absl::flat_hash_map<hingelink::RequestId, Request>;
  struct StreamAddressHash {
    std::size_t operator()(const StreamAddress& to) const { return absl::HashOf(to.connection, to.stream); }
  };
  struct ArrivalTimes {
    UnixTime arrived;
    UnixTime expires;
  };
  using DeferredArrival = std::pair<hingelink::Arrival, ArrivalTimes>;

  // Answers a request that is invalid or repeats an attempt id. False for any other request.
  [[nodiscard]] bool AnswerAtOnce(const IncomingRequest& incoming,
                                  const RequestClasses::ClassPtr& found_class,
                                  std::optional<std::uint16_t> tenant);
  // Answers an attempt whose key may have been executed although the settings now refuse the attempt, or do
  // not treat it as keyed: its class or tenant was removed, or the class is keyed no more. A rejection, or
  // another execution, would be wrong. False for any other request.
  [[nodiscard]] bool AnswerFromKey(const IncomingRequest& incoming, RequestClasses::ClassPtr found_class);
  // Lets an attempt wait for the execution that is in flight with its key.
  void AwaitExecutionWithKey(const IncomingRequest& incoming, RequestClasses::ClassPtr request_class);
  const Request& AddRequest(hingelink::RequestId id, const IncomingRequest& incoming,
                            RequestClasses::ClassPtr request_class);
  void AddArrival(hingelink::RequestId id, const Request& request, const IncomingRequest& incoming,
                  std::uint16_t tenant);
  // Resolves the key and sets the times of an arrival. False if the arrival must not be passed to the policy
  // now, because the request was removed, answered or deferred.
  [[nodiscard]] bool CompleteArrival(hingelink::Arrival& arrival, const ArrivalTimes& times, UnixTime now);
  // Sets the attempt that a keyed arrival repeats. False if the request was answered with an error instead.
  [[nodiscard]] bool ResolveKey(hingelink::RequestId id, hingelink::Arrival& arrival, UnixTime arrived,
                                UnixTime now);
  // The error answer if the key cannot be resolved, else nullopt.
  [[nodiscard]] std::optional<FinalAnswer> KeyError(const IdempotencyKey& key, std::uint64_t content_hash,
                                                    SteadyTime arrived);
  // Whether the execution of the request may not be repeated, so that what the predecessor executed must be
  // known before it starts.
  [[nodiscard]] static bool MustRunOnce(const Request& request) {
    return request.request_class->idempotency != hingelink::Idempotency::kIdempotent;
  }
  void FailExpiredDeferred(UnixTime now);
  void FailExpiredReplays(UnixTime now);
  void ReassignDeferred(const RequestClasses& previous);
  // Sets the class and tenant indexes of the arrival to those of the current settings. False if the class or
  // the tenant was removed.
  [[nodiscard]] bool Reassign(hingelink::Arrival& arrival, const Request& request,
                              const RequestClasses& previous) const;
  void SendExecution(Request& request);

  // Sends the final answer, unless the request already has one.
  void Answer(Requests::iterator at, const FinalAnswer& answer);
  void Remove(Requests::iterator at);
  void FailAndRemove(Requests::iterator at);
  [[nodiscard]] bool IsShareableRead(const Request& request) const;
  // The answer to a request whose own attempt did not run. Failed if another attempt with its key may have
  // run, because a rejection guarantees that no attempt ran; otherwise rejected.
  [[nodiscard]] FinalAnswer AnswerForNotRun(const Request& request) const;
  // Answers a request that waits for another attempt, if the outcome of that attempt is known.
  void AnswerReplay(hingelink::RequestId id);
  void AnswerReplays(const IdempotencyKey& key);
  // Answers with the result, or with a failure if `result` is null.
  void FinishReplay(Requests::iterator at, const std::string* result);
  // How long after its arrival at the machine an attempt may still be read: the longest deadline of a class.
  [[nodiscard]] Millis MaxReadDelay() const;
  [[nodiscard]] Requests::iterator FindByAttempt(std::uint64_t attempt_id);

  const hingelink::Settings& settings_;
  FrontEnd& front_;
  Metrics& metrics_;
  StartExecution start_execution_;
  RequestClasses classes_;
  hingelink::RequestId last_id_ = 0;
  Requests requests_;
  absl::flat_hash_map<std::uint64_t, hingelink::RequestId> by_attempt_;
  absl::flat_hash_map<StreamAddress, hingelink::RequestId, StreamAddressHash> awaiting_answer_;
  ReadCache read_cache_;
  KeyTable keys_;
  KeyChanged key_changed_;
  std::function<void(std::uint64_t)> attempt_started_ = [](std::uint64_t) {};
  UpstreamCalls upstream_calls_;
  SiblingKeys sibling_keys_ = SiblingKeys::kKnown;
  RecentAttempts recent_attempts_;
  std::vector<hingelink::Event> events_;
  // One entry for each Arrival in events_, in the same order.
  std::vector<ArrivalTimes> arrival_times_;
  // Arrivals that wait until the keys and attempts of the predecessor are known; see MustRunOnce().
  std::vector<DeferredArrival> deferred_;
  // The attempts that wait for a key without the policy, and when they must be answered.
  std::vector<std::pair<UnixTime, hingelink::RequestId>> replay_deadlines_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_REQUEST_TABLE_H_
