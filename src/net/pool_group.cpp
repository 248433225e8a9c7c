#include "net/pool_group.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace hingelink::net {
namespace {

using namespace std::chrono_literals;
using decide::LoadBalancer;
using decide::Milliseconds;
using decide::RequestOutcome;
using decide::RequestTraits;

constexpr auto kTickInterval = 25ms;
// Gauges that are older than this do not describe the present load. This limit is longer than that of
// PoolLink, because shared services are polled less often than the single pool of a node.
constexpr Milliseconds kMaxGaugeAge{1'000};
// Standby services that are kept connected, so that the load balancer can expand the active services at once.
constexpr std::size_t kStandbyLinks = 2;
// A mark of the group holds the mark of the link in the low bits and the endpoint id in the remaining bits.
constexpr int kLinkMarkBits = 48;

WorkerPool::CommandMark ToGroupMark(decide::EndpointId id, WorkerPool::CommandMark mark) {
  return (static_cast<WorkerPool::CommandMark>(id) << kLinkMarkBits) | mark;
}

std::vector<decide::SubsetEndpoint> ToSubsetEndpoints(const std::vector<ServiceEndpoint>& services) {
  std::vector<decide::SubsetEndpoint> endpoints;
  for (const ServiceEndpoint& s : services) endpoints.push_back({s.name, s.zone, s.cores});
  return endpoints;
}

}  // namespace

PoolGroup::PoolGroup(event_base* base, PoolGroupOptions options, PoolEvents events,
                     PoolGroupCallbacks callbacks)
    : base_(base),
      options_(std::move(options)),
      events_(std::move(events)),
      callbacks_(std::move(callbacks)),
      load_balancer_(options_.load_balancing, options_.self, options_.zone, options_.random),
      timer_(base, [this] { Tick(); }) {
  SetServices(options_.services);
  Tick();
}

PoolGroup::~PoolGroup() = default;

std::size_t PoolGroup::link_count() const {
  return static_cast<std::size_t>(std::count_if(services_.begin(), services_.end(),
                                                [](const auto& s) { return s.second.link != nullptr; }));
}

void PoolGroup::SetServices(std::vector<ServiceEndpoint> services) {
  for (auto& [id, service] : services_) service.listed = false;
  load_balancer_.SetEndpoints(Now(), ToSubsetEndpoints(services));
  for (const ServiceEndpoint& endpoint : services) {
    if (const auto known = services_.find(load_balancer_.FindEndpoint(endpoint.name));
        known != services_.end()) {
      known->second.listed = known->second.endpoint.name == endpoint.name;
    }
  }
  // Removed here and not by the next Tick(): if such a service is listed again before the tick, the load
  // balancer already treats it as new and disconnected, while the old record here may still have a ready
  // link.
  std::erase_if(services_, [this](auto& service) {
    if (service.second.listed || service.second.executions > 0) return false;
    if (service.second.is_ready) --ready_services_;
    return true;
  });
  for (ServiceEndpoint& endpoint : services) {
    const Id id = load_balancer_.FindEndpoint(endpoint.name);
    Service& service = services_[id];
    if (service.link && service.endpoint.address != endpoint.address) {
      // The same service at another address. It keeps its executions: it may have run them, and a write must
      // not be started again.
      if (endpoint.address.empty()) {
        if (service.is_ready) SetReady(id, false);
        service.link.reset();
      } else {
        service.link->ChangeAddress(ParseAddress(endpoint.address));
      }
    }
    service.endpoint = std::move(endpoint);
    service.listed = true;
  }
  UpdateMeanGauges();
}

void PoolGroup::SetNodes(std::vector<decide::SubsetNode> nodes) {
  load_balancer_.SetNodes(Now(), std::move(nodes));
}

void PoolGroup::Connect(Id id) {
  Service& service = services_[id];
  if (service.link || service.endpoint.address.empty()) return;
  service.disconnected_since = Now();
  service.link = std::make_unique<PoolLink>(
      base_, ParseAddress(service.endpoint.address),
      PoolEvents{.bound =
                     [this](bool warming_up) {
                       // The decision module starts when the first service accepts a link.
                       if (!std::exchange(ever_bound_, true)) events_.bound(warming_up);
                     },
                 .finished = [this, id](const proto::RunFinished& run) { OnFinished(id, run); },
                 .blocked = [this, id](const proto::RunBlocked& run) { OnBlocked(id, run); },
                 .verified =
                     [this](std::uint64_t tag, bool good) {
                       if (events_.verified) events_.verified(tag, good);
                     },
                 .spawn_unknown = [this, id](std::uint64_t req) { OnUnknown(id, req); },
                 .ready = [this, id] { OnLinkReady(id); }},
      PoolLink::Callbacks{.not_ready = [this, id] { SetReady(id, false); },
                          .gauges_received = [this, id] { OnGaugesReceived(id); }});
}

void PoolGroup::SetReady(Id id, bool is_ready) {
  Service& service = services_[id];
  if (service.is_ready == is_ready) return;
  service.is_ready = is_ready;
  ready_services_ += is_ready ? 1 : static_cast<std::size_t>(-1);
  service.polled_at.reset();
  service.gauges.clear();
  if (!is_ready) service.disconnected_since = Now();
  load_balancer_.SetConnected(Now(), id, is_ready);
  UpdateMeanGauges();
}

void PoolGroup::OnLinkReady(Id id) {
  SetReady(id, true);
  newly_ready_ = id;
  // The owner now sends the commands that this service may not have read, and the commands that were never
  // sent to any service.
  events_.ready();
  newly_ready_ = decide::kNoEndpoint;
}

bool PoolGroup::Processed(CommandMark mark) const {
  if (mark == kNeverSent) return false;
  const auto id = static_cast<Id>(mark >> kLinkMarkBits);
  // Only the service whose link has become ready again may have lost commands. Commands to other services
  // must not be sent again.
  if (id != newly_ready_) return true;
  return services_.at(id).link->Processed(mark & ((CommandMark{1} << kLinkMarkBits) - 1));
}

std::uint32_t PoolGroup::ClassIndex(std::string_view kind) {
  const auto at = class_indexes_.find(kind);
  if (at != class_indexes_.end()) return at->second;
  return class_indexes_.emplace(std::string(kind), static_cast<std::uint32_t>(class_indexes_.size()))
      .first->second;
}

WorkerPool::CommandMark PoolGroup::Spawn(std::uint64_t req, std::string_view kind, std::string_view body) {
  auto it = executions_.find(req);
  if (it == executions_.end()) {
    const RequestTraits traits{ClassIndex(kind), callbacks_.is_idempotent(kind)};
    const auto choice = load_balancer_.ChooseEndpoint(Now(), traits);
    if (!choice) return kNeverSent;
    it = executions_.emplace(req, Execution{choice->endpoint, traits}).first;
    ++services_[choice->endpoint].executions;
  }
  // A repeated command goes to the same service, which does not start the execution twice and repeats the
  // notice of its end.
  Service& service = services_[it->second.service];
  const CommandMark mark = service.link ? service.link->Spawn(req, kind, body) : kNeverSent;
  // If the link is not ready, the execution still counts as in flight at the service. Its mark is above all
  // marks of the link, so that Processed() returns false and the command is sent when the link is ready.
  return mark == kNeverSent ? ToGroupMark(it->second.service, (CommandMark{1} << kLinkMarkBits) - 2)
                            : ToGroupMark(it->second.service, mark);
}

void PoolGroup::EraseExecution(std::unordered_map<std::uint64_t, Execution>::iterator it) {
  --services_[it->second.service].executions;
  executions_.erase(it);
}

void PoolGroup::OnFinished(Id id, const proto::RunFinished& run) {
  const auto it = executions_.find(run.request_id);
  // The execution has ended at another service, or the pool repeats an old notice on a new link.
  if (it == executions_.end()) return;
  const Execution& execution = it->second;
  if (execution.service == id) {
    const RequestOutcome outcome =
        run.outcome == proto::RunOutcome::kComplete ? RequestOutcome::kSuccess : RequestOutcome::kError;
    load_balancer_.OnRequestFinished(Now(), id, execution.traits, outcome, run.elapsed);
  } else if (run.outcome != proto::RunOutcome::kComplete) {
    // A failure at the previous service does not end the execution, which was restarted elsewhere.
    return;
  } else {
    load_balancer_.OnRequestAbandoned(Now(), execution.service);
  }
  EraseExecution(it);
  events_.finished(run);
}

void PoolGroup::OnBlocked(Id id, const proto::RunBlocked& run) {
  const auto it = executions_.find(run.request_id);
  if (it != executions_.end() && it->second.service == id) {
    if (events_.blocked) events_.blocked(run);
    return;
  }
  // The execution was restarted at another service. Its upstream call must be made at most once, and is left
  // to that service.
  if (Service& service = services_[id]; service.link)
    service.link->SkipUpstreamCall(run.request_id, run.notice_number);
}

WorkerPool::CommandMark PoolGroup::SendToService(std::uint64_t req,
                                                 const std::function<CommandMark(PoolLink&)>& send) {
  const auto it = executions_.find(req);
  if (it == executions_.end()) return kNeverSent;
  Service& service = services_[it->second.service];
  const CommandMark mark = service.link ? send(*service.link) : kNeverSent;
  return mark == kNeverSent ? ToGroupMark(it->second.service, (CommandMark{1} << kLinkMarkBits) - 2)
                            : ToGroupMark(it->second.service, mark);
}

WorkerPool::CommandMark PoolGroup::SendUpstreamReply(std::uint64_t req, std::string_view reply) {
  return SendToService(req, [&](PoolLink& link) { return link.SendUpstreamReply(req, reply); });
}

WorkerPool::CommandMark PoolGroup::SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) {
  return SendToService(req, [&](PoolLink& link) { return link.SkipUpstreamCall(req, notice); });
}

// Uses the first service that is ready.
bool PoolGroup::Verify(std::uint64_t tag) {
  for (auto& [id, service] : services_) {
    if (service.is_ready && service.link && service.link->Verify(tag)) return true;
  }
  return false;
}

void PoolGroup::OnUnknown(Id id, std::uint64_t req) {
  const auto it = executions_.find(req);
  if (it == executions_.end() || it->second.service != id) return events_.spawn_unknown(req);
  load_balancer_.OnRequestFinished(Now(), id, it->second.traits, RequestOutcome::kNotExecuted,
                                   Milliseconds(0));
  const bool sent_nowhere_else = it->second.previous_service == decide::kNoEndpoint;
  if (it->second.attempts == 1 && sent_nowhere_else && load_balancer_.TryConsumeRetry())
    return RestartElsewhere(req, it->second, true);
  EraseExecution(it);
  events_.spawn_unknown(req);
}

void PoolGroup::AssignTo(Execution& execution, Id service) {
  --services_[execution.service].executions;
  execution.service = service;
  ++services_[service].executions;
}

// The execution is sent by the caller's callback, because the group does not keep the body.
void PoolGroup::RestartElsewhere(std::uint64_t req, Execution& execution, bool never_ran) {
  const Id from = execution.service;
  const auto choice = load_balancer_.ChooseEndpoint(Now(), execution.traits, from);
  bool is_restarted = choice && choice->endpoint != from;
  if (is_restarted) {
    AssignTo(execution, choice->endpoint);
    is_restarted = callbacks_.restart_execution(req);
    if (!is_restarted) AssignTo(execution, from);
  }
  if (is_restarted) {
    ++execution.attempts;
    if (never_ran) return;
    load_balancer_.OnRequestAbandoned(Now(), from);
    execution.previous_service = from;
    return;
  }
  if (choice) load_balancer_.OnRequestAbandoned(Now(), choice->endpoint);
  // An execution that never ran ends here even if no caller waits for it: the decision module would otherwise
  // count it as in flight forever. An execution that may have run stays at its service.
  if (!never_ran) return;
  EraseExecution(executions_.find(req));
  events_.spawn_unknown(req);
}

void PoolGroup::OnGaugesReceived(Id id) {
  Service& service = services_[id];
  service.gauges = service.link->last_gauges();
  service.gauges_at = Now();
  const std::size_t at = callbacks_.gauge_index("runnable");
  if (service.polled_at && at < service.gauges.size())
    load_balancer_.OnLoadReport(Now(), id, service.gauges[at], *service.polled_at);
  service.polled_at.reset();
  UpdateMeanGauges();
}

void PoolGroup::UpdateMeanGauges() {
  gauges_.clear();
  double cores = 0;
  const Milliseconds now = Now();
  for (const Id id : load_balancer_.active_endpoints()) {
    const Service& s = services_[id];
    if (!s.is_ready || s.gauges.empty() || now - s.gauges_at > kMaxGaugeAge) continue;
    if (gauges_.empty()) gauges_.resize(s.gauges.size());
    for (std::size_t g = 0; g < gauges_.size() && g < s.gauges.size(); ++g)
      gauges_[g] += s.gauges[g] * s.endpoint.cores;
    cores += s.endpoint.cores;
  }
  for (double& gauge : gauges_) gauge /= cores;
}

void PoolGroup::Tick() {
  timer_.Start(kTickInterval);
  const Milliseconds now = Now();
  load_balancer_.Tick(now);
  for (const Id id : load_balancer_.active_endpoints()) Connect(id);
  std::size_t standbys = 0;
  for (const Id id : load_balancer_.StandbyEndpoints(kStandbyLinks)) {
    Connect(id);
    ++standbys;
  }
  for (auto it = services_.begin(); it != services_.end();) {
    Service& s = it->second;
    const bool wanted = s.listed && (load_balancer_.Snapshot(now, it->first).is_active ||
                                     load_balancer_.IsStandby(it->first, kStandbyLinks));
    if (!wanted && s.executions == 0 && s.link) {
      if (s.is_ready) SetReady(it->first, false);
      s.link.reset();
    }
    it = !s.listed && !s.link ? services_.erase(it) : std::next(it);
  }
  for (const Id id : load_balancer_.EndpointsToPoll(now)) {
    Service& s = services_[id];
    if (!s.is_ready || s.polled_at) continue;
    s.polled_at = now;
    s.link->PollGauges();
  }
  HandleDisconnectedServices();
}

void PoolGroup::HandleDisconnectedServices() {
  const Milliseconds now = Now();
  std::vector<std::uint64_t> restart, fail;
  for (const auto& [req, execution] : executions_) {
    const Service& s = services_[execution.service];
    if (s.is_ready) continue;
    const Milliseconds disconnected_for = now - s.disconnected_since;
    if (disconnected_for > Milliseconds(options_.fail_after)) {
      fail.push_back(req);
    } else if (execution.traits.is_idempotent && execution.attempts == 1 &&
               disconnected_for > Milliseconds(options_.restart_after)) {
      restart.push_back(req);
    }
  }
  // The order must not depend on the order in the hash table.
  std::sort(restart.begin(), restart.end());
  std::sort(fail.begin(), fail.end());
  for (const std::uint64_t req : restart) {
    if (ready_services_ == 0 || !load_balancer_.TryConsumeRetry()) break;
    RestartElsewhere(req, executions_.at(req), false);
  }
  for (const std::uint64_t req : fail) {
    proto::RunFinished failed;
    failed.request_id = req;
    failed.outcome = proto::RunOutcome::kError;
    OnFinished(executions_.at(req).service, failed);
  }
}

}  // namespace hingelink::net
