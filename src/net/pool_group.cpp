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

constexpr auto kTickEach = 25ms;
// Gauges of services are asked for more seldom than those of one pool of its own.
constexpr Milliseconds kGaugesGood{1'000};
// Links beyond those of the services in use, so that there is something to widen to.
constexpr std::size_t kSpare = 2;
constexpr int kPlaceBits = 48;

WorkerPool::CommandMark MarkOf(decide::EndpointId id, WorkerPool::CommandMark mark) {
  return (static_cast<WorkerPool::CommandMark>(id) << kPlaceBits) | mark;
}

std::vector<decide::SubsetEndpoint> Records(const std::vector<ServiceEndpoint>& services) {
  std::vector<decide::SubsetEndpoint> records;
  for (const ServiceEndpoint& s : services) records.push_back({s.name, s.zone, s.cores});
  return records;
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
  for (auto& [id, service] : services_) service.told = false;
  load_balancer_.SetEndpoints(Now(), Records(services));
  for (const ServiceEndpoint& at : services) {
    if (const auto known = services_.find(load_balancer_.FindEndpoint(at.name)); known != services_.end()) {
      known->second.told = known->second.at.name == at.name;
    }
  }
  // At once: guards against one that is told again before the next tick, which the load balancer has anew and
  // without a link by then.
  std::erase_if(services_, [this](auto& service) {
    if (service.second.told || service.second.owed > 0) return false;
    if (service.second.up) --up_;
    return true;
  });
  for (ServiceEndpoint& at : services) {
    const Id id = load_balancer_.FindEndpoint(at.name);
    Service& service = services_[id];
    if (service.link && service.at.address != at.address) {
      // The same one elsewhere: guards against a write that is sent anew to what may have run it.
      if (at.address.empty()) {
        if (service.up) SetUp(id, false);
        service.link.reset();
      } else {
        service.link->ChangeAddress(ParseAddress(at.address));
      }
    }
    service.at = std::move(at);
    service.told = true;
  }
  MixGauges();
}

void PoolGroup::SetNodes(std::vector<decide::SubsetNode> nodes) {
  load_balancer_.SetNodes(Now(), std::move(nodes));
}

void PoolGroup::Connect(Id id) {
  Service& service = services_[id];
  if (service.link || service.at.address.empty()) return;
  service.down_since = Now();
  service.link = std::make_unique<PoolLink>(
      base_, ParseAddress(service.at.address),
      PoolEvents{.bound =
                     [this](bool warming_up) {
                       // The module begins with the first.
                       if (!std::exchange(bound_, true)) events_.bound(warming_up);
                     },
                 .finished = [this, id](const proto::RunFinished& run) { Finished(id, run); },
                 .blocked = [this, id](const proto::RunBlocked& run) { Blocked(id, run); },
                 .verified =
                     [this](std::uint64_t tag, bool good) {
                       if (events_.verified) events_.verified(tag, good);
                     },
                 .spawn_unknown = [this, id](std::uint64_t req) { Unknown(id, req); },
                 .ready = [this, id] { Settled(id); }},
      PoolLink::Callbacks{.not_ready = [this, id] { SetUp(id, false); }, .gauges_received = [this, id] { Polled(id); }});
}

void PoolGroup::SetUp(Id id, bool up) {
  Service& service = services_[id];
  if (service.up == up) return;
  service.up = up;
  up_ += up ? 1 : static_cast<std::size_t>(-1);
  service.asked.reset();
  service.gauges.clear();
  if (!up) service.down_since = Now();
  load_balancer_.SetConnected(Now(), id, up);
  MixGauges();
}

void PoolGroup::Settled(Id id) {
  SetUp(id, true);
  settling_ = id;
  // Spawns of this service that it may not have read, and those that were never sent anywhere.
  events_.ready();
  settling_ = decide::kNoEndpoint;
}

bool PoolGroup::Processed(CommandMark mark) const {
  if (mark == kNeverSent) return false;
  const auto id = static_cast<Id>(mark >> kPlaceBits);
  // Guards against sending again what other services have in hand.
  if (id != settling_) return true;
  return services_.at(id).link->Processed(mark & ((CommandMark{1} << kPlaceBits) - 1));
}

std::uint32_t PoolGroup::KindOf(std::string_view kind) {
  const auto at = kinds_.find(kind);
  if (at != kinds_.end()) return at->second;
  return kinds_.emplace(std::string(kind), static_cast<std::uint32_t>(kinds_.size())).first->second;
}

WorkerPool::CommandMark PoolGroup::Spawn(std::uint64_t req, std::string_view kind, std::string_view body) {
  auto it = sent_.find(req);
  if (it == sent_.end()) {
    const RequestTraits run{KindOf(kind), callbacks_.is_idempotent(kind)};
    const auto start = load_balancer_.ChooseEndpoint(Now(), run);
    if (!start) return kNeverSent;
    it = sent_.emplace(req, Sent{start->endpoint, run}).first;
    ++services_[start->endpoint].owed;
  }
  // Sent again to where it was sent: the pool tells then how it ended, and starts nothing twice.
  Service& service = services_[it->second.service];
  const CommandMark mark = service.link ? service.link->Spawn(req, kind, body) : kNeverSent;
  // Guards against a run that is counted nowhere: the link broke just now, and its end settles it.
  return mark == kNeverSent ? MarkOf(it->second.service, (CommandMark{1} << kPlaceBits) - 2)
                            : MarkOf(it->second.service, mark);
}

void PoolGroup::Drop(std::unordered_map<std::uint64_t, Sent>::iterator it) {
  --services_[it->second.service].owed;
  sent_.erase(it);
}

void PoolGroup::Finished(Id id, const proto::RunFinished& run) {
  const auto it = sent_.find(run.request_id);
  // Of a run that has ended elsewhere, or told again by a pool to a link that is new here.
  if (it == sent_.end()) return;
  const Sent& sent = it->second;
  if (sent.service == id) {
    const RequestOutcome how =
        run.outcome == proto::RunOutcome::kComplete ? RequestOutcome::kSuccess : RequestOutcome::kError;
    load_balancer_.OnRequestFinished(Now(), id, sent.run, how, run.elapsed);
  } else if (run.outcome != proto::RunOutcome::kComplete) {
    // Where it was before it was moved: that it failed there decides nothing.
    return;
  } else {
    load_balancer_.OnRequestAbandoned(Now(), sent.service);
  }
  Drop(it);
  events_.finished(run);
}

void PoolGroup::Blocked(Id id, const proto::RunBlocked& run) {
  const auto it = sent_.find(run.request_id);
  if (it != sent_.end() && it->second.service == id) {
    if (events_.blocked) events_.blocked(run);
    return;
  }
  // A run that went on elsewhere makes no call here: what it asks for may be made once.
  if (Service& service = services_[id]; service.link)
    service.link->SkipUpstreamCall(run.request_id, run.notice_number);
}

WorkerPool::CommandMark PoolGroup::AtItsService(std::uint64_t req,
                                                const std::function<CommandMark(PoolLink&)>& send) {
  const auto it = sent_.find(req);
  if (it == sent_.end()) return kNeverSent;
  Service& service = services_[it->second.service];
  const CommandMark mark = service.link ? send(*service.link) : kNeverSent;
  return mark == kNeverSent ? MarkOf(it->second.service, (CommandMark{1} << kPlaceBits) - 2)
                            : MarkOf(it->second.service, mark);
}

WorkerPool::CommandMark PoolGroup::SendUpstreamReply(std::uint64_t req, std::string_view reply) {
  return AtItsService(req, [&](PoolLink& link) { return link.SendUpstreamReply(req, reply); });
}

WorkerPool::CommandMark PoolGroup::SkipUpstreamCall(std::uint64_t req, std::uint64_t notice) {
  return AtItsService(req, [&](PoolLink& link) { return link.SkipUpstreamCall(req, notice); });
}

// At the first that carries commands.
bool PoolGroup::Verify(std::uint64_t tag) {
  for (auto& [id, service] : services_) {
    if (service.up && service.link && service.link->Verify(tag)) return true;
  }
  return false;
}

void PoolGroup::Unknown(Id id, std::uint64_t req) {
  const auto it = sent_.find(req);
  if (it == sent_.end() || it->second.service != id) return events_.spawn_unknown(req);
  load_balancer_.OnRequestFinished(Now(), id, it->second.run, RequestOutcome::kNotExecuted, Milliseconds(0));
  const bool only_there = it->second.before == decide::kNoEndpoint;
  if (it->second.tries == 1 && only_there && load_balancer_.TryConsumeRetry())
    return Again(req, it->second, true);
  Drop(it);
  events_.spawn_unknown(req);
}

void PoolGroup::MoveTo(Sent& sent, Id service) {
  --services_[sent.service].owed;
  sent.service = service;
  ++services_[service].owed;
}

// Somewhere else, once. The table sends it: it has the body.
void PoolGroup::Again(std::uint64_t req, Sent& sent, bool never_ran) {
  const Id from = sent.service;
  const auto start = load_balancer_.ChooseEndpoint(Now(), sent.run, from);
  bool sent_on = start && start->endpoint != from;
  if (sent_on) {
    MoveTo(sent, start->endpoint);
    sent_on = callbacks_.restart_execution(req);
    if (!sent_on) MoveTo(sent, from);
  }
  if (sent_on) {
    ++sent.tries;
    if (never_ran) return;
    load_balancer_.OnRequestAbandoned(Now(), from);
    sent.before = from;
    return;
  }
  if (start) load_balancer_.OnRequestAbandoned(Now(), start->endpoint);
  // Guards against a run that the module counts for ever: what never ran ends here, though nobody waits; what
  // may have run is owed where it is.
  if (!never_ran) return;
  Drop(sent_.find(req));
  events_.spawn_unknown(req);
}

void PoolGroup::Polled(Id id) {
  Service& service = services_[id];
  service.gauges = service.link->last_gauges();
  service.gauges_at = Now();
  const std::size_t at = callbacks_.gauge_index("runnable");
  if (service.asked && at < service.gauges.size())
    load_balancer_.OnLoadReport(Now(), id, service.gauges[at], *service.asked);
  service.asked.reset();
  MixGauges();
}

void PoolGroup::MixGauges() {
  gauges_.clear();
  double cores = 0;
  const Milliseconds now = Now();
  for (const Id id : load_balancer_.active_endpoints()) {
    const Service& s = services_[id];
    if (!s.up || s.gauges.empty() || now - s.gauges_at > kGaugesGood) continue;
    if (gauges_.empty()) gauges_.resize(s.gauges.size());
    for (std::size_t g = 0; g < gauges_.size() && g < s.gauges.size(); ++g)
      gauges_[g] += s.gauges[g] * s.at.cores;
    cores += s.at.cores;
  }
  for (double& gauge : gauges_) gauge /= cores;
}

void PoolGroup::Tick() {
  timer_.Start(kTickEach);
  const Milliseconds now = Now();
  load_balancer_.Tick(now);
  for (const Id id : load_balancer_.active_endpoints()) Connect(id);
  std::size_t spare = 0;
  for (const Id id : load_balancer_.StandbyEndpoints(kSpare)) {
    Connect(id);
    ++spare;
  }
  for (auto it = services_.begin(); it != services_.end();) {
    Service& s = it->second;
    const bool wanted = s.told && (load_balancer_.Snapshot(now, it->first).is_active ||
                                   load_balancer_.IsStandby(it->first, kSpare));
    if (!wanted && s.owed == 0 && s.link) {
      if (s.up) SetUp(it->first, false);
      s.link.reset();
    }
    it = !s.told && !s.link ? services_.erase(it) : std::next(it);
  }
  for (const Id id : load_balancer_.EndpointsToPoll(now)) {
    Service& s = services_[id];
    if (!s.up || s.asked) continue;
    s.asked = now;
    s.link->PollGauges();
  }
  SeeAway();
}

// What waits at services that are away: it leaves if it may run twice, and ends where they stay away.
void PoolGroup::SeeAway() {
  const Milliseconds now = Now();
  std::vector<std::uint64_t> leave, lost;
  for (const auto& [req, sent] : sent_) {
    const Service& s = services_[sent.service];
    if (s.up) continue;
    const Milliseconds away = now - s.down_since;
    if (away > Milliseconds(options_.lost_after)) {
      lost.push_back(req);
    } else if (sent.run.is_idempotent && sent.tries == 1 && away > Milliseconds(options_.leave_after)) {
      leave.push_back(req);
    }
  }
  // In an order that does not hang on the table's.
  std::sort(leave.begin(), leave.end());
  std::sort(lost.begin(), lost.end());
  for (const std::uint64_t req : leave) {
    if (up_ == 0 || !load_balancer_.TryConsumeRetry()) break;
    Again(req, sent_.at(req), false);
  }
  for (const std::uint64_t req : lost) {
    proto::RunFinished failed;
    failed.request_id = req;
    failed.outcome = proto::RunOutcome::kError;
    Finished(sent_.at(req).service, failed);
  }
}

}  // namespace hingelink::net
