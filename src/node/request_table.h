// Owns the state of each request and gives its one final answer. Turns what the front end and the worker pool
// report into events for the policy, and executes the policy's actions on requests. Knows no protocol.
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

// The end of an execution, as the worker pool reports it.
struct ExecutionResult {
  std::uint64_t attempt_id = 0;
  hingelink::Outcome outcome = hingelink::Outcome::kError;
  Millis elapsed{0};
  // Valid during the call only.
  std::string_view result;
};

// What this process knows of the keyed requests that its sibling processes ran.
enum class SiblingKeys {
  kKnown,
  // Not yet: attempts with keys are deferred until it does.
  kPending,
  // Never: attempts with keys are rejected, as they may have run.
  kUnavailable,
  // Another process accepts the clients, and what is not known here may run there.
  kServedElsewhere,
};

// Not thread-safe. All references must outlive the object.
class RequestTable {
 public:
  using CommandMark = UpstreamCalls::CommandMark;
  using SteadyTime = std::chrono::steady_clock::time_point;
  static constexpr CommandMark kNeverSent = UINT64_MAX;
  // Sends an execution to the pool; returns its mark for Resend(), or kNeverSent.
  using StartExecution = std::function<CommandMark(std::uint64_t attempt_id, std::string_view class_name,
                                                   std::string_view body)>;
  // The state of a key of this process has changed.
  using KeyChanged = std::function<void(const IdempotencyKey&)>;

  RequestTable(const hingelink::Settings& settings, FrontEnd& front, Metrics& metrics,
               StartExecution start_execution, UpstreamCalls::Links upstream, KeyTable::Limits key_limits,
               KeyChanged key_changed);

  // The settings have changed: their classes apply to later requests. TakeEvents() must have been called.
  void Reconfigure();

  // ---- Reports of the front end, the pool and the upstream; each may add events ----
  void OnRequest(const IncomingRequest& incoming);
  void OnCallerDisconnected(StreamAddress from);
  void OnExecutionFinished(const ExecutionResult& execution);
  // An execution waits for an upstream call.
  void OnUpstreamCallRequested(std::uint64_t attempt_id, std::uint64_t notice, std::string_view body);
  void OnUpstreamCallFinished(std::uint64_t attempt_id, hingelink::Outcome outcome, Millis elapsed,
                              std::string_view reply);
  // The pool does not know of this execution: it was never started.
  void OnExecutionUnknown(std::uint64_t attempt_id);
  // Sends an execution anew that was not started, or that may run twice. False if no caller waits for it.
  [[nodiscard]] bool RestartExecution(std::uint64_t attempt_id);
  // The pool's link carries commands again: sends what `processed` says the pool has not read.
  void Resend(const std::function<bool(CommandMark)>& processed);

  // The events since the last call, with the times of arrivals as of `now`.
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
  void SetSiblingKeys(SiblingKeys state);
  void OnKeyUpdate(const KeyUpdate& update);
  void OnSiblingsExited();
  [[nodiscard]] const KeyTable& keys() const { return keys_; }
  [[nodiscard]] const UpstreamCalls& upstream_calls() const { return upstream_calls_; }

  // No request needs an answer, and no execution is in flight.
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  // Requests that need a final answer.
  [[nodiscard]] std::size_t unanswered() const { return awaiting_answer_.size(); }
  struct InFlightCounts {
    struct Class {
      std::uint64_t queued = 0;
      std::uint64_t running = 0;
    };
    // By name.
    std::map<std::string, Class> classes;
    // Requests without an answer, by gateway.
    std::unordered_map<std::uint32_t, std::uint64_t> open_by_gateway;
  };
  // Counted over all requests at each call, so that the counts agree with each other.
  [[nodiscard]] InFlightCounts CountInFlight() const;
  // Gives every request its final answer, without the policy.
  void AnswerAll();

 private:
  struct Request {
    StreamAddress reply_to;
    std::uint64_t attempt_id = 0;
    std::uint32_t gateway = 0;
    RequestClasses::ClassPtr request_class;
    // Until the end of the execution: a lost link may have swallowed the command that starts it.
    std::string body;
    bool known_to_policy = false;
    bool needs_answer = true;
    bool running = false;
    // How often the execution was sent to the pool.
    int starts = 0;
    CommandMark mark = kNeverSent;
    std::uint64_t subject = 0;
    hingelink::RequestId original = 0;
    // In keyed classes.
    std::optional<IdempotencyKey> key;
    // Waits for the result of another attempt.
    bool awaiting_replay = false;
  };
  // Flat tables: each request is entered in several, and a node allocation in each would cost too much. An
  // insertion moves other entries; a removal does not.
  using Requests = absl::flat_hash_map<hingelink::RequestId, Request>;
  struct StreamAddressHash {
    std::size_t operator()(const StreamAddress& to) const { return absl::HashOf(to.connection, to.stream); }
  };
  struct ArrivalTimes {
    UnixTime arrived;
    UnixTime expires;
  };
  using DeferredArrival = std::pair<hingelink::Arrival, ArrivalTimes>;

  // Rejects or fails a request that must not enter the table.
  [[nodiscard]] bool AnswerAtOnce(const IncomingRequest& incoming,
                                  const RequestClasses::ClassPtr& found_class,
                                  std::optional<std::uint16_t> tenant);
  const Request& AddRequest(hingelink::RequestId id, const IncomingRequest& incoming,
                            RequestClasses::ClassPtr request_class);
  void AddArrival(hingelink::RequestId id, const Request& request, const IncomingRequest& incoming,
                  std::uint16_t tenant);
  // False if the policy does not see the arrival now.
  [[nodiscard]] bool CompleteArrival(hingelink::Arrival& arrival, const ArrivalTimes& times, UnixTime now);
  // Finds the attempt that a keyed arrival repeats. False if the arrival was answered instead.
  [[nodiscard]] bool ResolveKey(hingelink::RequestId id, hingelink::Arrival& arrival, UnixTime arrived,
                                UnixTime now);
  // The answer to an attempt whose key cannot be resolved, if so.
  [[nodiscard]] std::optional<FinalAnswer> KeyError(const IdempotencyKey& key, std::uint64_t content,
                                                    SteadyTime arrived);
  void FailExpiredDeferred(UnixTime now);
  void ReassignDeferred(const RequestClasses& previous);
  // Sets class and tenant of the arrival as in the current settings. False if one was removed.
  [[nodiscard]] bool Reassign(hingelink::Arrival& arrival, const Request& request,
                              const RequestClasses& previous) const;
  void SendExecution(Request& request);

  // Gives the final answer, if none was given.
  void Answer(Requests::iterator at, const FinalAnswer& answer);
  void Remove(Requests::iterator at);
  void FailAndRemove(Requests::iterator at);
  [[nodiscard]] bool IsShareableRead(const Request& request) const;
  // A rejection promises that no attempt of the request ran; a failure if one may have.
  [[nodiscard]] FinalAnswer AnswerForNotRun(const Request& request) const;
  // Answers a request that waits for the result of another attempt, if that is known.
  void AnswerReplay(hingelink::RequestId id);
  void AnswerReplays(const IdempotencyKey& key);
  void FinishReplay(Requests::iterator at, const std::string* result);
  // How long after the end of its wait an attempt may still be read.
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
  UpstreamCalls upstream_calls_;
  SiblingKeys sibling_keys_ = SiblingKeys::kKnown;
  RecentAttempts recent_attempts_;
  std::vector<hingelink::Event> events_;
  // One for each Arrival in events_, in order.
  std::vector<ArrivalTimes> arrival_times_;
  std::vector<DeferredArrival> deferred_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_REQUEST_TABLE_H_
