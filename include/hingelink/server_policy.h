// The public interface of hingelink: settings, events, actions and the class that decides.
//
// One ServerPolicy serves one application server for one process lifetime. The host owns requests, sockets,
// memory and the clock. It reports what happens in batches of events and executes the actions that it
// receives, in order. The policy does no I/O, reads no clock, starts no thread and keeps no state outside its
// object.
//
// Times are milliseconds on the host's monotonic clock, whose origin is of no meaning. A batch whose time
// lies before that of the previous batch is decided at the previous batch's time.
//
// Misuse is defined: an event about an unknown request, or about one that is complete, changes nothing and
// causes no action. So does an event that does not fit the request's state, and an arrival with an id that is
// in use.
#ifndef HINGELINK_SERVER_POLICY_H_
#define HINGELINK_SERVER_POLICY_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hingelink {

// Never reused within a process lifetime; 0 means none.
using RequestId = std::uint64_t;

// What executing a request twice would do.
enum class Idempotency {
  kIdempotent,     // No harm: it may be executed again.
  kKeyed,          // Attempts share a key; the first that runs answers the others.
  kNotIdempotent,  // It must never be executed twice.
};

// What the value of PublishLoadSignal means to callers.
enum class LoadSignalKind {
  kNone,               // Not used; PublishLoadSignal is never emitted.
  kThreshold,          // Callers send nothing to this server whose rank is below the value.
  kWindow,             // Each caller has at most this many requests in flight here.
  kAcceptProbability,  // The probability with which a caller chooses this server when it could.
};

// The outcome of an execution or of an upstream call.
enum class Outcome {
  kOk,
  kError,          // Failed; a call may have had its effect.
  kFull,           // Rejected by the upstream: proven never to have run.
  kTimeout,        // Abandoned; may have had its effect.
  kConnectFailed,  // Not reached: proven never to have run.
  kReset,          // The connection broke; may have had its effect.
  kCancelled,      // The execution was cancelled, or ended while it waited for a call.
  kNotStarted,     // Nothing started: the request was already complete.
};

// A class of requests. Times in milliseconds.
struct RequestClass {
  std::string name;
  // An answer within this time of the first attempt earns the full priority weight.
  double latency_objective_ms = 0;
  // The objective grows by this many times the request's expected work, up to the deadline.
  double latency_objective_work_factor = 0;
  // A caller waits this long, over all attempts.
  double deadline_ms = 0;
  // Fraction of the weight that an answer earns between the objective and the deadline.
  double late_weight_fraction = 0;
  // kKeyed only: attempts of the same key may arrive for this long after the first.
  double idempotency_window_ms = 0;
  // Value of an answer within its objective, relative to those of other classes.
  double priority_weight = 1;
  // Fraction of the weight of an answer that left an upstream call out; 0: UseFallback is not allowed.
  double fallback_weight_fraction = 0;
  Idempotency idempotency = Idempotency::kIdempotent;
  // Whether its executions can call the upstream.
  bool may_call_upstream = false;
};

struct Tenant {
  std::string name;
  double traffic_fraction = 0;  // Of the service's capacity, 0 to 1.
  double quota_rps = 0;         // Requests a second over the whole fleet, within its fraction.
};

// Given at construction and again by Reconfigure().
struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  // Names of the values in TimerFired::gauges, such as cpu_busy (0 to 1) and runnable (threads).
  std::vector<std::string> gauges;
  int cores = 0;
  double memory_kb = 0;
  // Memory of a running request as a multiple of that of a queued one.
  double running_memory_factor = 1;
  // Memory of one retained idempotency key.
  double idempotency_key_kb = 0;
  // How long the answer to a read can serve other reads of its subject; 0: never.
  double read_cache_ttl_ms = 0;
  // Whether the server has just started and is still slow.
  bool warming_up = false;
  // Speed while warming up, at least this fraction of the full speed.
  double warm_up_speed_fraction = 1;
  double warm_up_ms = 0;
  // Executions per core that a server survives once warm, averaged over max_running_window_ms.
  double max_running_per_core = 1;
  double max_running_window_ms = 0;
  // An answer still counts this long after its deadline.
  double answer_grace_ms = 0;
  // A request that arrives later than this after a drain notice must not be executed.
  double drain_grace_ms = 0;
  // The shortest time between two batches.
  double min_batch_interval_ms = 1;
  // Whether executions may call an upstream that all servers share.
  bool has_upstream = false;
  // Upstream calls that this server may have in flight, averaged over upstream_call_quota_window_ms.
  double upstream_call_quota = 0;
  double upstream_call_quota_window_ms = 0;
  // An abandoned call occupies the upstream for at most this long.
  double abandoned_call_ms = 0;
  // Whether Arrival::remaining_wait_ms is given.
  bool callers_send_remaining_wait = false;
  int fleet_size = 1;  // Servers of this tier when this one started.
  int callers = 1;     // Callers of this tier when this one started.
  // Weight of a request above its tenant's quota, as a fraction of its class's.
  double over_quota_weight_fraction = 1;
  // Whether the weight counts for each unit of work rather than for each request.
  bool weight_by_work = false;
  LoadSignalKind load_signal = LoadSignalKind::kNone;
  // How long a caller uses a received load signal.
  double load_signal_lifetime_ms = 0;
  // Whether the host can take executions off the cores: CancelRun is executed.
  bool can_cancel_runs = false;
  // Whether a rejection carries Retry-After, and the longest that callers respect.
  bool sends_retry_after = false;
  double max_retry_after_ms = 0;
  // Callers close connections that were idle for this long.
  double caller_idle_timeout_ms = 0;
  // Weights of the operator's goal: all answers, the worst time window, the worst class and the worst tenant.
  double goal_weight_overall = 1;
  double goal_weight_worst_window = 0;
  double goal_weight_worst_class = 0;
  double goal_weight_worst_tenant = 0;

  // Returns an empty string if the settings can be used, else one line "FIELD: must ..." about the first
  // field that cannot.
  [[nodiscard]] std::string Validate() const;
};

// ---- Events. The events of one batch are given in the order in which they happened. ----

// A request was read and is queued from now on. It is completed once: by Reject, by Fail, or by an execution
// or a replay that finishes before its deadline. Emitting no action leaves it queued.
struct Arrival {
  RequestId id = 0;
  // A request with a retained key that this one is an attempt of, or 0. Two attempts of one batch name each
  // other. For an idempotent read: one of the same subject and class that is in flight, or that completed
  // well at most Settings::read_cache_ttl_ms ago.
  RequestId original = 0;
  double reserved_kb = 0;        // Memory that it uses while queued.
  double read_delay_ms = 0;      // How long it lay unread on the machine.
  double expected_work_ms = 0;   // On a standard core; 0: unknown.
  double remaining_wait_ms = 0;  // How long its caller still waits; 0: unknown.
  std::uint64_t subject = 0;     // The entity that it is about; many requests share one. 0: unknown.
  double rank = 0;               // Priority in [0, 1), as callers compare it with a kThreshold signal.
  std::uint32_t caller = 0;
  std::uint16_t tenant = 0;         // Index into Settings::tenants.
  std::uint16_t request_class = 0;  // Index into the classes configured last.
  bool is_retry = false;            // Marked by its caller as a retry or a hedged request.
  bool is_write = false;            // Changes its subject; never answered by another request's result.
};

// The caller gave up: no answer is wanted. The host drops a queued or replaying request at once; one that
// waits for an upstream call gets its Finished event; one that executes continues.
struct CallerDisconnected {
  RequestId id = 0;
};

// An execution (after Start) or a replay has ended. kOk and kError answered the caller unless it was answered
// before.
struct Finished {
  RequestId id = 0;
  Outcome outcome = Outcome::kOk;
  double elapsed_ms = 0;  // Since Start or Replay, all waits included.
};

// An execution has reached an upstream call. It waits, off the cores, for StartUpstreamCall, UseFallback or
// Fail. May come several times for one execution.
struct UpstreamCallRequested {
  RequestId id = 0;
};

// A call that was started has ended. After kOk the execution continues; after any other outcome it waits as
// after UpstreamCallRequested.
struct UpstreamCallFinished {
  RequestId id = 0;
  Outcome outcome = Outcome::kOk;
  double elapsed_ms = 0;
};

// The timer with this token has expired.
struct TimerFired {
  std::uint32_t token = 0;
  std::vector<double> gauges;  // In the order of Settings::gauges; may be empty.
};

// The process must leave: it is killed after remaining_ms.
struct DrainNotice {
  double remaining_ms = 0;
};

// What has been learned about a class: means over its executions in which recent ones weigh most.
struct LearnedClass {
  std::string name;
  double run_ms = 0;            // Of an execution, upstream calls included.
  double core_time_ms = 0;      // Of an execution without its upstream calls.
  double expected_work_ms = 0;  // As given by arrivals; 0 where none gave it.
  int samples = 1;              // Executions in the means.
};

// What a process can pass on to its successor. Momentary state (queue, busy cores, limits) is not part of it.
struct Learned {
  std::vector<LearnedClass> classes;
};

// What a server has in flight.
struct Load {
  int running = 0;            // Executions that want a core.
  double memory_kb = 0;       // Of queued and running requests and of retained keys.
  double queued_work_ms = 0;  // Expected work of the queued requests.
  bool operator==(const Load&) const = default;
};

// The load of the other process of this server during a handover: the limits hold for both together. Replaces
// the load that was reported before.
struct SiblingLoad {
  Load load;
};

using Event = std::variant<Arrival, CallerDisconnected, Finished, UpstreamCallRequested, UpstreamCallFinished,
                           TimerFired, DrainNotice, SiblingLoad>;

// ---- Actions, to be executed in order. ----

// Execute a queued request.
struct Start {
  RequestId id;
};
// Answer a queued request with the result of its original.
struct Replay {
  RequestId id;
};
// A final "no" that promises that this attempt was never executed.
struct Reject {
  RequestId id;
  bool no_other_server = false;  // Another server would not help.
  double retry_after_ms = 0;     // The caller should stay away this long; 0: no advice.
};
// Answer with an error now; an execution that waits for a call ends.
struct Fail {
  RequestId id;
};
// Take an execution off the cores; it ends with Finished (kCancelled). Emitted only if
// Settings::can_cancel_runs, after the request was answered or its caller disconnected. A hint: a stalled
// execution may go on.
struct CancelRun {
  RequestId id;
};
// Leave the upstream call out and finish with a poorer answer.
struct UseFallback {
  RequestId id;
};
// Let a request that waits for an upstream call make it.
struct StartUpstreamCall {
  RequestId id;
  double timeout_ms;
};
// Retain the key of this attempt for ttl_ms, so that other attempts name it as their original.
struct RetainKey {
  RequestId id;
  double ttl_ms;
};
// Release the key; its memory is free again.
struct ReleaseKey {
  RequestId id;
};
// Send TimerFired with this token after in_ms.
struct SetTimer {
  double in_ms;
  std::uint32_t token;
};
// The answer to health checks from now on.
struct SetHealth {
  bool healthy;
  bool shallow;  // Deep checks get this answer too, without work in the worker pool.
};
// The value that accompanies answers; see LoadSignalKind.
struct PublishLoadSignal {
  double value;
};
// Close connections that are idle for this long.
struct CloseIdle {
  double after_ms;
};
// One line for the operators.
struct Log {
  std::string text;
};

using Action = std::variant<Start, Replay, Reject, Fail, CancelRun, UseFallback, StartUpstreamCall, RetainKey,
                            ReleaseKey, SetTimer, SetHealth, PublishLoadSignal, CloseIdle, Log>;

// Decides for one server. Not thread-safe: all calls on one thread.
class ServerPolicy {
 public:
  // Throws std::invalid_argument with the text of Settings::Validate() if that is not empty. `seed` feeds all
  // random draws: equal seeds and events give equal actions.
  ServerPolicy(const Settings& settings, std::uint64_t seed);
  ~ServerPolicy();
  ServerPolicy(ServerPolicy&&) noexcept;
  ServerPolicy& operator=(ServerPolicy&&) noexcept;

  // Starts from what an earlier process learned, for classes of the same name; LearnedClass::samples is its
  // weight against new samples. To be called before the first Step().
  void ImportLearned(const Learned& learned);
  // What was learned about the classes configured last, initial estimates excluded.
  [[nodiscard]] Learned ExportLearned() const;

  // Applies all events of one moment and returns the actions. The reference is valid until the next call. The
  // first call must follow construction at once, with or without events, so that timers get set.
  const std::vector<Action>& Step(double now_ms, std::span<const Event> events);

  // Replaces the settings, all or none: throws as the constructor does, and then nothing has changed. Later
  // arrivals name their class by its index in these. Classes of the same name keep what was learned; requests
  // in flight keep their class even if it is not among these. Settings::warming_up keeps its value from
  // construction.
  void Reconfigure(const Settings& settings);

  // The load after the last Step().
  [[nodiscard]] Load CurrentLoad() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hingelink

#endif  // HINGELINK_SERVER_POLICY_H_
