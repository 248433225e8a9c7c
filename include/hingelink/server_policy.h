// The public interface of hingelink: the settings, events and actions, and the class ServerPolicy, which
// decides when each request is started, rejected or answered.
//
// One ServerPolicy makes the decisions for one application server process. The host owns the requests,
// sockets, memory and clock. The host reports events in batches and executes the returned actions in order.
// The policy does no I/O, reads no clock, starts no thread and keeps no state outside its object.
//
// Times are milliseconds on the host's monotonic clock; its origin does not matter. If a batch has an earlier
// time than the previous batch, the policy uses the time of the previous batch.
//
// Invalid events are ignored without any action: an event about an unknown or complete request, an event that
// does not fit the request's state, and an arrival with an id that is in use.
#ifndef HINGELINK_SERVER_POLICY_H_
#define HINGELINK_SERVER_POLICY_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hingelink {

// Identifies a request; never reused within a process lifetime. 0 means no request.
using RequestId = std::uint64_t;

// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,     // Repeated execution is harmless.
  kKeyed,          // Attempts share a key; the result of the first execution answers all of them.
  kNotIdempotent,  // The request must never be executed twice.
};

// How callers interpret the value of PublishLoadSignal.
enum class LoadSignalKind {
  kNone,               // No load signal; PublishLoadSignal is never emitted.
  kThreshold,          // Callers send this server no request whose rank is below the value.
  kWindow,             // Each caller has at most this many requests in flight at this server.
  kAcceptProbability,  // A caller that could send a request to this server does so with this probability.
};

// The outcome of an execution or of an upstream call.
enum class Outcome {
  kOk,
  kError,          // Failed; an upstream call may have taken effect.
  kFull,           // The upstream rejected the call, so the call is proven never to have run.
  kTimeout,        // The call was abandoned after its timeout; it may have taken effect.
  kConnectFailed,  // The upstream was not reached, so the call is proven never to have run.
  kReset,          // The connection broke; the call may have taken effect.
  kCancelled,      // The execution was cancelled, or ended while it waited for an upstream call.
  kNotStarted,     // No execution was started, because the request was already complete.
};

// The settings of a class of requests.
struct RequestClass {
  std::string name;
  // An answer earns the full priority weight if it is given within this time of the first attempt.
  double latency_objective_ms = 0;
  // The latency objective is extended by this factor times the request's expected work, up to the deadline.
  double latency_objective_work_factor = 0;
  // How long a caller waits for an answer, over all attempts.
  double deadline_ms = 0;
  // Fraction of the priority weight that an answer earns between the latency objective and the deadline.
  double late_weight_fraction = 0;
  // For kKeyed only: further attempts with the same key may arrive for this long after the first attempt.
  double idempotency_window_ms = 0;
  // Value of an answer within its latency objective, relative to answers of other classes.
  double priority_weight = 1;
  // Fraction of the priority weight that an answer earns without its upstream call. 0: UseFallback is not
  // allowed for this class.
  double fallback_weight_fraction = 0;
  Idempotency idempotency = Idempotency::kIdempotent;
  // Whether an execution of this class can call the upstream.
  bool may_call_upstream = false;
};

struct Tenant {
  std::string name;
  double traffic_fraction = 0;  // The tenant's fraction of the service's capacity, 0 to 1.
  double quota_rps = 0;         // Requests per second over the whole fleet, within traffic_fraction.
};

// The configuration of a ServerPolicy, set at construction and replaced by Reconfigure().
struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  // Names of the values in TimerFired::gauges, such as cpu_busy (0 to 1) and runnable (threads).
  std::vector<std::string> gauges;
  int cores = 0;
  double memory_kb = 0;
  // Memory of a running request, as a multiple of its memory while queued.
  double running_memory_factor = 1;
  // Memory of one retained idempotency key.
  double idempotency_key_kb = 0;
  // How long the result of a read can answer other reads of the same subject. 0: results are not shared.
  double read_cache_ttl_ms = 0;
  // Whether the server started recently and does not run at full speed yet.
  bool warming_up = false;
  // Lower bound of the speed while the server is warming up, as a fraction of the full speed.
  double warm_up_speed_fraction = 1;
  // Time from the start of the policy until a server that is warming up counts as warmed up.
  double warm_up_ms = 0;
  // Executions per core that a warmed-up server can sustain without failing, averaged over
  // max_running_window_ms.
  double max_running_per_core = 1;
  double max_running_window_ms = 0;
  // An answer still counts if it is late by at most this much after its deadline.
  double answer_grace_ms = 0;
  // A request that arrives more than this long after a drain notice must not be executed.
  double drain_grace_ms = 0;
  // The shortest time between two batches of events.
  double min_batch_interval_ms = 1;
  // Whether there is an upstream, shared by all servers, that executions may call.
  bool has_upstream = false;
  // Upstream calls that this server may have in flight, averaged over upstream_call_quota_window_ms.
  double upstream_call_quota = 0;
  double upstream_call_quota_window_ms = 0;
  // The upstream works on an abandoned call for at most this long.
  double abandoned_call_ms = 0;
  // Whether callers send their remaining wait, so that Arrival::remaining_wait_ms is set.
  bool callers_send_remaining_wait = false;
  int fleet_size = 1;  // Number of servers in this tier when this server started.
  int callers = 1;     // Number of callers of this tier when this server started.
  // Weight of a request above its tenant's quota, as a fraction of the priority weight of its class.
  double over_quota_weight_fraction = 1;
  // Whether the priority weight is per unit of work instead of per request.
  bool weight_by_work = false;
  LoadSignalKind load_signal = LoadSignalKind::kNone;
  // How long a caller applies a load signal after receiving it.
  double load_signal_lifetime_ms = 0;
  // Whether the host can cancel a running execution, that is, supports CancelRun.
  bool can_cancel_runs = false;
  // Whether a rejection carries Retry-After, and the longest Retry-After that callers respect.
  bool sends_retry_after = false;
  double max_retry_after_ms = 0;
  // Callers close a connection after it was idle for this long.
  double caller_idle_timeout_ms = 0;
  // Weights of the four parts of the operator's goal: the result over all answers, in the worst time window,
  // of the worst-served class and of the worst-served tenant.
  double goal_weight_overall = 1;
  double goal_weight_worst_window = 0;
  double goal_weight_worst_class = 0;
  double goal_weight_worst_tenant = 0;

  // Returns an empty string if the settings are valid, else one line "FIELD: must ..." about the first
  // invalid field.
  [[nodiscard]] std::string Validate() const;
};

// ---- Events. Each batch lists its events in the order in which they happened. ----

// A request was read. The request is queued until the policy emits an action for it. It is completed exactly
// once: by Reject, by Fail, or by an execution or replay that finishes before the deadline.
struct Arrival {
  RequestId id = 0;
  // Another attempt of the same request, whose key is retained; 0 if there is none. Two attempts in the same
  // batch refer to each other. For an idempotent read: a read of the same subject and class that is in
  // flight, or that succeeded at most Settings::read_cache_ttl_ms ago.
  RequestId original = 0;
  double reserved_kb = 0;        // Memory that the request uses while queued.
  double read_delay_ms = 0;      // Time from the arrival at the machine until the request was read.
  double expected_work_ms = 0;   // Expected time on a standard core; 0: unknown.
  double remaining_wait_ms = 0;  // How much longer the caller waits for an answer; 0: unknown.
  std::uint64_t subject = 0;     // The entity that the request reads or changes; 0: unknown.
  double rank = 0;               // Priority in [0, 1); callers compare it with a kThreshold signal.
  std::uint32_t caller = 0;
  std::uint16_t tenant = 0;         // Index into Settings::tenants.
  std::uint16_t request_class = 0;  // Index into Settings::classes of the current settings.
  bool is_retry = false;            // The caller marked this as a retry or a hedged request.
  bool is_write = false;            // Changes its subject; never answered with another request's result.
};

// The caller disconnected and needs no answer. The host drops a queued or replaying request at once. It ends
// an execution that waits for an upstream call and reports Finished for it. Any other execution continues.
struct CallerDisconnected {
  RequestId id = 0;
};

// An execution (after Start) or a replay has ended. With kOk or kError the caller received the answer, unless
// the request was already answered.
struct Finished {
  RequestId id = 0;
  Outcome outcome = Outcome::kOk;
  double elapsed_ms = 0;  // Since Start or Replay, including all waits.
};

// An execution has reached an upstream call. It waits, without using a core, for StartUpstreamCall,
// UseFallback or Fail. One execution can report this event several times.
struct UpstreamCallRequested {
  RequestId id = 0;
};

// An upstream call that was started has ended. After kOk the execution continues. After any other outcome the
// execution waits for an action, as after UpstreamCallRequested.
struct UpstreamCallFinished {
  RequestId id = 0;
  Outcome outcome = Outcome::kOk;
  double elapsed_ms = 0;
};

// The timer that SetTimer set with this token has expired.
struct TimerFired {
  std::uint32_t token = 0;
  std::vector<double> gauges;  // Current values in the order of Settings::gauges; may be empty.
};

// The process must drain: it is killed after remaining_ms.
struct DrainNotice {
  double remaining_ms = 0;
};

// The learned costs of a class: moving means over its executions, weighted towards recent ones.
struct LearnedClass {
  std::string name;
  double run_ms = 0;            // Mean duration of an execution, including upstream calls.
  double core_time_ms = 0;      // Mean duration of an execution, excluding upstream calls.
  double expected_work_ms = 0;  // Mean of Arrival::expected_work_ms; 0 if no arrival set it.
  int samples = 1;              // Number of executions in the means.
};

// The learned state that a process can pass on to its successor. It contains no momentary state such as the
// queue, busy cores or limits.
struct Learned {
  std::vector<LearnedClass> classes;
};

// The load of a server process.
struct Load {
  int running = 0;            // Executions that need a core, excluding those in upstream calls.
  double memory_kb = 0;       // Memory of queued and running requests and of retained keys.
  double queued_work_ms = 0;  // Expected work of the queued requests.
  bool operator==(const Load&) const = default;
};

// The load of this server's sibling process during a handover. The limits apply to both processes together.
// Each event replaces the previously reported load.
struct SiblingLoad {
  Load load;
};

using Event = std::variant<Arrival, CallerDisconnected, Finished, UpstreamCallRequested, UpstreamCallFinished,
                           TimerFired, DrainNotice, SiblingLoad>;

// ---- Actions. The host executes them in order. ----

// Start the execution of a queued request.
struct Start {
  RequestId id;
};
// Answer a queued request with the result of its original.
struct Replay {
  RequestId id;
};
// Reject a request. The rejection guarantees that this attempt was never executed.
struct Reject {
  RequestId id;
  bool no_other_server = false;  // The caller should not try another server, because that would not help.
  double retry_after_ms = 0;     // The caller should not retry before this time has passed; 0: no advice.
};
// Answer with an error now. An execution that waits for an upstream call ends.
struct Fail {
  RequestId id;
};
// Cancel an execution; it ends with Finished (kCancelled). Emitted only if Settings::can_cancel_runs, after
// the request was answered or its caller disconnected. This is a hint: a stalled execution may continue.
struct CancelRun {
  RequestId id;
};
// Skip the upstream call and finish with a degraded answer.
struct UseFallback {
  RequestId id;
};
// Let an execution that waits for an upstream call make the call.
struct StartUpstreamCall {
  RequestId id;
  double timeout_ms;
};
// Retain the key of this attempt for ttl_ms, so that later attempts are reported with this one as their
// original.
struct RetainKey {
  RequestId id;
  double ttl_ms;
};
// Release the retained key and its memory.
struct ReleaseKey {
  RequestId id;
};
// Send TimerFired with this token after in_ms.
struct SetTimer {
  double in_ms;
  std::uint32_t token;
};
// Set the answer to health checks.
struct SetHealth {
  bool healthy;
  bool shallow;  // Deep checks also get this answer, without a check of the worker pool.
};
// Set the load signal that is sent with answers; see LoadSignalKind.
struct PublishLoadSignal {
  double value;
};
// Close each connection that has been idle for this long.
struct CloseIdle {
  double after_ms;
};
// Write one line to the operators' log.
struct Log {
  std::string text;
};

using Action = std::variant<Start, Replay, Reject, Fail, CancelRun, UseFallback, StartUpstreamCall, RetainKey,
                            ReleaseKey, SetTimer, SetHealth, PublishLoadSignal, CloseIdle, Log>;

// Makes the admission, ordering and load shedding decisions for one server. Not thread-safe: all calls must
// be made on one thread.
class ServerPolicy {
 public:
  // Throws std::invalid_argument with the text of Settings::Validate() if that text is not empty. `seed`
  // seeds the random number generator: equal seeds and events give equal actions.
  ServerPolicy(const Settings& settings, std::uint64_t seed);
  ~ServerPolicy();
  ServerPolicy(ServerPolicy&&) noexcept;
  ServerPolicy& operator=(ServerPolicy&&) noexcept;

  // Imports the learned costs of an earlier process for classes of the same name. LearnedClass::samples is
  // the weight of the imported means against new samples. Must be called before the first Step().
  void ImportLearned(const Learned& learned);
  // Returns the learned costs of the currently configured classes. Classes that have only their initial
  // estimate are left out.
  [[nodiscard]] Learned ExportLearned() const;

  // Applies one batch of events at the time `now_ms` and returns the actions. The returned reference is valid
  // until the next call. The first call must be made directly after construction, with or without events, so
  // that the first timer is set.
  const std::vector<Action>& Step(double now_ms, std::span<const Event> events);

  // Replaces the settings. Throws as the constructor does; the old settings then stay in force. Later
  // arrivals refer to classes by their index in the new settings. Classes of the same name keep their learned
  // costs, and requests in flight keep their class even if the new settings lack it. Settings::warming_up
  // keeps its value from construction.
  void Reconfigure(const Settings& settings);

  // Returns the load of this process after the last Step().
  [[nodiscard]] Load CurrentLoad() const;
  // Checks that each container of the policy holds exactly the requests in flight whose state belongs there.
  // Returns a description of the first inconsistency, or an empty text. Takes time in proportion to the
  // number of requests; meant for tests.
  [[nodiscard]] std::string FindInconsistency() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hingelink

#endif  // HINGELINK_SERVER_POLICY_H_
