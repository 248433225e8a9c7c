// Implements include/hingelink/server_policy.h. ServerPolicy::Impl owns the classes of this directory and
// defines the order of actions within one step. The decision rules are implemented in the other classes.
#include "hingelink/server_policy.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "policy/action_sink.h"
#include "policy/admission.h"
#include "policy/arrival_stats.h"
#include "policy/busy_gate.h"
#include "policy/class_table.h"
#include "policy/concurrency_limiter.h"
#include "policy/deadline_queue.h"
#include "policy/dispatch.h"
#include "policy/drain.h"
#include "policy/gauge_sample.h"
#include "policy/idempotency_table.h"
#include "policy/load_signal.h"
#include "policy/load_totals.h"
#include "policy/open_requests.h"
#include "policy/request_completion.h"
#include "policy/request_intake.h"
#include "policy/stall_detector.h"
#include "policy/start_queue.h"
#include "policy/tenant_quotas.h"
#include "policy/upstream_calls.h"

namespace hingelink {
namespace {

using namespace policy;  // NOLINT(google-build-using-namespace): the namespace of this directory.

// The idle timeout of connections is this factor times the callers' own idle timeout times the number of
// cores per caller. A core serves about the same number of requests per second at every site, and the timeout
// keeps callers from filling the connection table with idle connections.
constexpr double kIdleTimeoutPerCorePerCaller = 5.0;

void ThrowIfInvalid(const Settings& settings) {
  const std::string error = settings.Validate();
  if (!error.empty()) throw std::invalid_argument(error);
}

const Settings& Validated(const Settings& settings) {
  ThrowIfInvalid(settings);
  return settings;
}

bool HaveSameTenants(const Settings& left, const Settings& right) {
  return std::equal(left.tenants.begin(), left.tenants.end(), right.tenants.begin(), right.tenants.end(),
                    [](const Tenant& one, const Tenant& other) {
                      return one.name == other.name && one.traffic_fraction == other.traffic_fraction;
                    });
}

}  // namespace

class ServerPolicy::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(Validated(settings)), calls_(UpstreamCallsParts(), seed) {
    ConfigureClasses();
    quotas_.Reset();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  const std::vector<Action>& Step(double now, std::span<const Event> events) {
    actions_.Clear();
    batch_ = events;
    if (!std::exchange(began_, true)) Begin(now);
    if (std::exchange(must_set_idle_timeout_, false)) SetIdleTimeout();
    now_ = std::max(now_, now);
    admission_.BeginStep(now_);
    idempotency_.Expire(now_);
    for (const Event& event : events) std::visit([this](const auto& each) { On(each); }, event);
    completion_.AnswerExpired(now_);
    UpdateStall();
    calls_.StartWaiting(now_);
    dispatch_.StartQueued(now_);
    ArmTimer();
    return actions_.actions();
  }

  void Reconfigure(const Settings& settings) {
    ThrowIfInvalid(settings);
    const bool same_tenants = HaveSameTenants(settings_, settings);
    const bool warming_up = settings_.warming_up;
    settings_ = settings;
    settings_.warming_up = warming_up;
    ConfigureClasses();
    if (!same_tenants) quotas_.Reset();
    calls_.Reconfigure();
    must_set_idle_timeout_ = true;
  }

  void ImportLearned(const Learned& learned) { classes_.Import(learned); }
  Learned ExportLearned() const { return classes_.Export(); }
  Load CurrentLoad() const { return totals_.Current(); }

  std::string FindInconsistency() const {
    std::string found;
    const auto report = [&found](const char* container, RequestId id) {
      if (found.empty()) found = std::string(container) + " and request " + std::to_string(id) + " disagree";
    };
    std::size_t queued = 0;
    queue_.ForEach([&](RequestId id) {
      ++queued;
      if (!IsIn(id, RequestState::kQueued)) report("the start queue", id);
    });
    std::size_t awaiting_call = 0;
    calls_.ForEachWaiting([&](RequestId id) {
      ++awaiting_call;
      if (!IsIn(id, RequestState::kAwaitingCall)) report("the waiting calls", id);
    });
    deadlines_.ForEach([&](double at, RequestId id) {
      const OpenRequest* request = requests_.Find(id);
      if (request == nullptr || request->scheduled_at != at) report("the deadline queue", id);
    });
    // Each container holds an id once, so equal numbers mean equal sets.
    if (queued != CountIn(RequestState::kQueued)) report("the size of the start queue", 0);
    if (awaiting_call != CountIn(RequestState::kAwaitingCall)) report("the number of waiting calls", 0);
    requests_.ForEach([&](RequestId id, const OpenRequest& request) {
      if (request.state != RequestState::kWaitingForOriginal) return;
      const auto& waiters = request.idempotency->waiters;
      if (std::count(waiters.begin(), waiters.end(), id) != 1) report("the waiters of a key", id);
    });
    return found;
  }

 private:
  bool IsIn(RequestId id, RequestState state) const {
    const OpenRequest* request = requests_.Find(id);
    return request != nullptr && request->state == state;
  }
  std::size_t CountIn(RequestState state) const {
    std::size_t count = 0;
    requests_.ForEach(
        [&](RequestId, const OpenRequest& request) { count += request.state == state ? 1 : 0; });
    return count;
  }

  UpstreamCalls::Parts UpstreamCallsParts() {
    return {settings_, classes_, requests_, deadlines_, totals_, stall_, actions_};
  }

  void ConfigureClasses() {
    classes_.Configure();
    queue_.Resize(classes_.size());
  }

  void Begin(double now) {
    now_ = now;
    limiter_.Begin(now);
    busy_gate_.Begin(now);
    next_sample_at_ = now + kSampleIntervalMs;
    actions_.Emit(SetHealth{.healthy = true, .shallow = true});
  }

  void SetIdleTimeout() {
    if (settings_.caller_idle_timeout_ms <= 0) return;
    const double fraction = std::min(1.0, kIdleTimeoutPerCorePerCaller * settings_.cores / settings_.callers);
    actions_.Emit(CloseIdle{settings_.caller_idle_timeout_ms * fraction});
  }

  void On(const Arrival& arrival) { intake_.OnArrival(arrival, now_, batch_); }
  void On(const CallerDisconnected& disconnected) { completion_.OnCallerDisconnected(disconnected, now_); }
  void On(const Finished& finished) { completion_.OnFinished(finished, now_); }
  void On(const UpstreamCallRequested& requested) { calls_.OnRequested(requested, now_); }
  void On(const UpstreamCallFinished& finished) { calls_.OnFinished(finished, now_); }
  void On(const SiblingLoad& sibling) { totals_.SetSibling(sibling.load); }

  void On(const TimerFired& fired) {
    if (fired.token != timer_token_) return;  // A superseded timer; timers cannot be cancelled.
    timer_at_ = kForever;
    if (now_ < next_sample_at_) return;
    next_sample_at_ = now_ + kSampleIntervalMs;
    const int running = totals_.running_with_sibling();
    const GaugeSample sample = ReadGauges(settings_, fired.gauges, running);
    limiter_.OnSample(now_, sample, running, totals_.has_queued_work());
    busy_gate_.OnSample(now_, sample.cpu_busy);
    const auto value =
        load_signal_.OnSample(now_, sample.cpu_busy, arrivals_.rejected_fraction(), stall_.is_stalled());
    if (value) actions_.Emit(PublishLoadSignal{*value});
  }

  void On(const DrainNotice& notice) {
    if (!drain_.Begin(now_, notice.remaining_ms)) return;
    actions_.Emit(SetHealth{.healthy = false, .shallow = true});
    actions_.Emit(Log{"drain: shutting down, " + std::to_string(requests_.size()) + " requests in flight"});
    // No request can be answered after the process is killed, so move later deadlines forward.
    requests_.ForEach([this](RequestId id, OpenRequest& request) {
      if (request.deadline <= drain_.answer_by()) return;
      request.deadline = drain_.answer_by();
      if (request.answered || request.caller_disconnected) return;
      deadlines_.Schedule(id, request, std::min(request.scheduled_at, request.deadline));
    });
  }

  void UpdateStall() {
    const auto change = stall_.Update(now_, totals_.running(), classes_.LongestMeanRunMs());
    if (change == StallDetector::Change::kNone) return;
    const bool is_stalled = change == StallDetector::Change::kStalled;
    if (!drain_.is_draining()) actions_.Emit(SetHealth{.healthy = !is_stalled, .shallow = true});
    if (is_stalled) actions_.Emit(Log{"stall: no execution makes progress, rejecting"});
  }

  // Sets a timer for the next gauge sample or the next deadline, whichever is earlier, unless an earlier
  // timer is set.
  void ArmTimer() {
    const double earliest = now_ + settings_.min_batch_interval_ms;
    const double at = std::max(std::min(next_sample_at_, deadlines_.next()), earliest);
    if (at >= timer_at_) return;
    timer_at_ = at;
    actions_.Emit(SetTimer{.in_ms = at - now_, .token = ++timer_token_});
  }

  Settings settings_;
  ActionSink actions_;
  ClassTable classes_{settings_};
  DeadlineQueue deadlines_{settings_};
  OpenRequests requests_{classes_, deadlines_};
  StartQueue queue_;
  LoadTotals totals_{settings_};
  ConcurrencyLimiter limiter_{settings_};
  BusyGate busy_gate_{settings_};
  LoadSignal load_signal_{settings_};
  StallDetector stall_{settings_};
  Drain drain_{settings_};
  TenantQuotas quotas_{settings_};
  ArrivalStats arrivals_;
  IdempotencyTable idempotency_{settings_, classes_, requests_, totals_, drain_, actions_};
  UpstreamCalls calls_;
  Admission admission_{{settings_, classes_, requests_, queue_, totals_, limiter_, busy_gate_, stall_, drain_,
                        arrivals_, idempotency_, actions_}};
  Dispatch dispatch_{{classes_, requests_, queue_, totals_, limiter_, busy_gate_, stall_, calls_, admission_,
                      idempotency_, actions_}};
  RequestIntake intake_{{settings_, classes_, requests_, deadlines_, totals_, busy_gate_, stall_, drain_,
                         quotas_, arrivals_, admission_, idempotency_}};
  RequestCompletion completion_{{settings_, classes_, requests_, deadlines_, queue_, totals_, stall_, calls_,
                                 admission_, idempotency_, actions_}};

  std::span<const Event> batch_;  // The events of the current step.
  double now_ = 0;
  double next_sample_at_ = 0;
  double timer_at_ = kForever;
  std::uint32_t timer_token_ = 0;
  bool began_ = false;
  bool must_set_idle_timeout_ = true;
};

ServerPolicy::ServerPolicy(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
ServerPolicy::~ServerPolicy() = default;
ServerPolicy::ServerPolicy(ServerPolicy&&) noexcept = default;
ServerPolicy& ServerPolicy::operator=(ServerPolicy&&) noexcept = default;

const std::vector<Action>& ServerPolicy::Step(double now_ms, std::span<const Event> events) {
  return impl_->Step(now_ms, events);
}
void ServerPolicy::Reconfigure(const Settings& settings) { impl_->Reconfigure(settings); }
void ServerPolicy::ImportLearned(const Learned& learned) { impl_->ImportLearned(learned); }
Learned ServerPolicy::ExportLearned() const { return impl_->ExportLearned(); }
Load ServerPolicy::CurrentLoad() const { return impl_->CurrentLoad(); }
std::string ServerPolicy::FindInconsistency() const { return impl_->FindInconsistency(); }

}  // namespace hingelink
