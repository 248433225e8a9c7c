#include "decide/load_balancing/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hingelink::decide {
namespace {

constexpr const char* kWayNames[kPolicies] = {"random",    "round-robin", "least-own", "two-own",
                                              "two-asked", "probes",      "weighted"};
constexpr const char* kWhyNames[] = {"chosen", "only", "untried", "trial", "all-aside", "repeat"};
constexpr const char* kStandingNames[] = {"good", "back", "aside", "trial", "down"};
constexpr const char* kFaultNames[] = {"none", "errors", "latency", "silence"};

// Weight of a new value in the means of runs and errors.
constexpr double kNew = 0.1;
// Of a kind of run, whose mean all services share.
constexpr double kNewOfKind = 0.02;
// A figure of so many times `old` is not in the mean of all.
constexpr double kMostAge = 8;
// And one of so many times `old` tells no service from another.
constexpr double kTooOld = 2.5;
constexpr double kSlower = 1.7;
// Judged well for so many times its last time aside, a service begins anew with the shortest.
constexpr double kForgiven = 4;
constexpr std::size_t kMostQuestions = 32;
constexpr Milliseconds kNeverAsked{-1e9};
constexpr double kTryStock = 2;
constexpr double kProbeStock = 8;

double Median(std::vector<double>& values) {
  const auto half = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), half, values.end());
  return *half;
}

}  // namespace

const char* PolicyName(Policy way) { return kWayNames[static_cast<std::size_t>(way)]; }
const char* ChoiceReasonName(ChoiceReason why) { return kWhyNames[static_cast<std::size_t>(why)]; }
const char* EndpointStateName(EndpointState standing) {
  return kStandingNames[static_cast<std::size_t>(standing)];
}
const char* EjectionCauseName(EjectionCause fault) { return kFaultNames[static_cast<std::size_t>(fault)]; }
std::optional<Policy> ParsePolicy(const std::string& name) {
  for (std::size_t i = 0; i < kPolicies; ++i) {
    if (name == kWayNames[i]) return static_cast<Policy>(i);
  }
  return std::nullopt;
}

LoadBalancer::LoadBalancer(LoadBalancerOptions options, std::string self, std::string zone, RandomSource draw,
                           SubsetFunction subset)
    : options_(options),
      self_(std::move(self)),
      zone_(std::move(zone)),
      draw_(std::move(draw)),
      subset_(std::move(subset)) {
  if (!subset_) {
    subset_ = [this](const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& services,
                     std::size_t size) {
      const auto subsets = AssignSubsets(nodes, services, size);
      for (std::size_t n = 0; n < nodes.size(); ++n) {
        if (nodes[n].name == self_) return subsets[n];
      }
      return std::vector<std::uint32_t>();
    };
  }
  nodes_ = {{self_, zone_}};
  repeats_ = options_.max_retry_budget / 2;
}

// ---- Who is there ----

EndpointId LoadBalancer::FindEndpoint(const std::string& name) const {
  const auto at = by_name_.find(name);
  return at == by_name_.end() ? kNoEndpoint : at->second;
}

std::vector<EndpointId> LoadBalancer::endpoints() const {
  std::vector<EndpointId> ids;
  for (const auto& [name, id] : by_name_) {
    if (services_[id].told) ids.push_back(id);
  }
  return ids;
}

std::vector<EndpointId> LoadBalancer::StandbyEndpoints(std::size_t most) const {
  return {further_.begin(), further_.begin() + static_cast<std::ptrdiff_t>(std::min(most, further_.size()))};
}

bool LoadBalancer::IsStandby(EndpointId id, std::size_t most) const {
  const auto end = further_.begin() + static_cast<std::ptrdiff_t>(std::min(most, further_.size()));
  return std::find(further_.begin(), end, id) != end;
}

void LoadBalancer::SetEndpoints(Milliseconds now, const std::vector<SubsetEndpoint>& services) {
  for (Service& s : services_) s.told = false;
  for (const SubsetEndpoint& record : services) {
    auto [at, fresh] = by_name_.try_emplace(record.name, static_cast<EndpointId>(services_.size()));
    if (fresh) {
      // The place of one that was forgotten is used again, once nothing of it is owed.
      const auto free = std::find_if(services_.begin(), services_.end(),
                                     [](const Service& s) { return s.record.name.empty() && s.own == 0; });
      at->second = static_cast<EndpointId>(free - services_.begin());
      if (free == services_.end()) services_.emplace_back();
      services_[at->second] = Service();
      services_[at->second].standing = EndpointState::kDisconnected;
    }
    services_[at->second].record = record;
    services_[at->second].told = true;
  }
  for (EndpointId id = 0; id < services_.size(); ++id) {
    Service& s = services_[id];
    if (s.told || s.record.name.empty()) continue;
    s.in_use = s.extra = false;
    // Guards against a second id for one that comes back while it still has runs of this node.
    if (s.own > 0) continue;
    by_name_.erase(s.record.name);
    s.record.name.clear();
  }
  Rebuild(now);
}

void LoadBalancer::SetNodes(Milliseconds now, std::vector<SubsetNode> nodes) {
  const bool there =
      std::any_of(nodes.begin(), nodes.end(), [this](const SubsetNode& n) { return n.name == self_; });
  if (!there) nodes.push_back({self_, zone_});
  std::sort(nodes.begin(), nodes.end(),
            [](const SubsetNode& a, const SubsetNode& b) { return a.name < b.name; });
  if (nodes == nodes_) return;
  nodes_ = std::move(nodes);
  Rebuild(now);
}

void LoadBalancer::Rebuild(Milliseconds now) {
  std::vector<SubsetEndpoint> records;
  std::vector<EndpointId> ids;
  for (const EndpointId id : endpoints()) {
    records.push_back(services_[id].record);
    ids.push_back(id);
  }
  const std::vector<std::size_t> places = SlotsPerEndpoint(nodes_.size(), records, options_.subset_size);
  std::vector<bool> wanted(services_.size(), false);
  for (const std::uint32_t s : subset_(nodes_, records, options_.subset_size)) wanted[ids[s]] = true;
  in_use_.clear();
  further_.clear();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    Service& s = services_[ids[i]];
    s.sharers = std::max<std::size_t>(1, places[i]);
    if (wanted[ids[i]]) {
      s.extra = false;
      Use(now, ids[i], false);
    } else if (s.extra) {
      in_use_.push_back(ids[i]);
    } else {
      s.in_use = false;
      further_.push_back(ids[i]);
    }
  }
  // Those of this zone first: who widens is short here.
  std::sort(further_.begin(), further_.end(), [this](EndpointId a, EndpointId b) {
    const bool home_a = services_[a].record.zone == zone_, home_b = services_[b].record.zone == zone_;
    if (home_a != home_b) return home_a;
    return RendezvousHash(self_, services_[a].record.name) > RendezvousHash(self_, services_[b].record.name);
  });
}

void LoadBalancer::Use(Milliseconds now, EndpointId id, bool extra) {
  Service& s = services_[id];
  in_use_.push_back(id);
  ++figures_;
  if (std::exchange(s.in_use, true)) return;
  s.extra = extra;
  s.tried = s.heard = now;
  // All nodes whose subsets moved with the same news come here together.
  if (s.up) SetBack(now, s);
}

void LoadBalancer::SetBack(Milliseconds now, Service& s) {
  s.standing = EndpointState::kRecovering;
  s.fault = EjectionCause::kNone;
  s.back = 0;
  s.back_at = now;
  s.answers = 0;
  s.errors = 0;
  s.slow_weight = 0;
  s.slowness = 1;
  s.figure = -1;
  ++figures_;
  s.questions.clear();
  // As long as those that share it take to come one after the other, at the rate at which it can answer.
  const double each = run_ms_ > 0 ? run_ms_ / s.record.capacity : 0;
  const Milliseconds all =
      std::min(options_.max_reaction_delay,
               Milliseconds(options_.reaction_delay_factor * each * static_cast<double>(s.sharers)));
  s.open_at = now + all * Part();
  s.tried = s.open_at;
}

void LoadBalancer::SetConnected(Milliseconds now, EndpointId id, bool up) {
  Service& s = services_.at(id);
  if (s.up == up) return;
  s.up = up;
  if (!up) {
    s.standing = EndpointState::kDisconnected;
    return;
  }
  SetBack(now, s);
}

// ---- Which may be chosen, and what is believed of it ----

bool LoadBalancer::Open(const Service& s, Milliseconds now) const {
  switch (s.standing) {
    case EndpointState::kHealthy:
      return true;
    case EndpointState::kRecovering:
      // More at a time only as it answers: a link that is up says nothing of what stands behind it.
      return now >= s.open_at && static_cast<double>(s.own) < 1 + s.back / 2;
    default:
      return false;
  }
}

// Of its full share, by what it has answered since it is back.
double LoadBalancer::Share(const Service& s, Milliseconds now) const {
  if (s.standing != EndpointState::kRecovering) return 1;
  const double by_answers = (1 + s.back) / (1 + options_.slow_start_responses);
  const double by_time = s.back > 0 ? (now - s.back_at) / options_.max_slow_start : 0;
  return std::clamp(std::max(by_answers, by_time), 0.05, 1.0);
}

double LoadBalancer::MeanFigure(Milliseconds now) const {
  if (mean_of_ == figures_ && mean_at_ == now) return mean_;
  double runs = 0, capacity = 0;
  for (const EndpointId id : in_use_) {
    const Service& s = services_[id];
    if (s.figure < 0 || now - s.figure_at > options_.load_report_half_life * kMostAge) continue;
    runs += s.figure;
    capacity += s.record.capacity;
  }
  mean_of_ = figures_;
  mean_at_ = now;
  mean_ = capacity > 0 ? runs / capacity : 0;
  return mean_;
}

// Runs that it has now. An old figure says little of now: as it ages, the mean of all takes its place, so
// that nobody runs after what was true once. Own runs since are known.
double LoadBalancer::Believed(const Service& s, Milliseconds now) const {
  const double own = static_cast<double>(s.own);
  if (s.figure < 0) return std::max(own, MeanFigure(now) * s.record.capacity + own);
  const double age = std::max(0.0, (now - s.figure_at) / options_.load_report_half_life);
  const double weight = std::exp2(-age);
  const double then = weight * s.figure + (1 - weight) * MeanFigure(now) * s.record.capacity;
  return std::max(own, then + s.net - s.net_then);
}

double LoadBalancer::Cost(const Service& s, Milliseconds now) const {
  switch (options_.policy) {
    case Policy::kLeastLocalLoad:
    case Policy::kTwoChoicesLocalLoad:
      return static_cast<double>(s.own);
    case Policy::kTwoChoicesReportedLoad:
      return Believed(s, now);
    default: {
      // What a run more is expected to take: below one run a core it has a core to itself.
      const double per_core = (Believed(s, now) + 1) / s.record.capacity;
      return std::max(1.0, per_core) * s.slowness + 0.2 * per_core * s.slowness;
    }
  }
}

bool LoadBalancer::TooOld(const Service& s, Milliseconds now) const {
  return s.figure < 0 || now - s.figure_at > options_.load_report_half_life * kTooOld;
}

// Where all that was asked is too old to tell two services apart: this node's own runs, and a speed that
// differs by more than runs do by chance.
double LoadBalancer::CostByOwn(const Service& s) const {
  const double slow = s.slowness > kSlower || s.slowness < 1 / kSlower ? s.slowness : 1;
  return (static_cast<double>(s.own) + 0.5) / s.record.capacity * slow;
}

EndpointId LoadBalancer::PickOfTwo(Milliseconds now, const std::vector<EndpointId>& open,
                                   ChoiceRecord& decision) {
  double all = 0;
  for (const EndpointId id : open) all += services_[id].record.capacity * Share(services_[id], now);
  const auto draw = [&](double whole, EndpointId but) {
    double at = Part() * whole;
    EndpointId last = kNoEndpoint;
    for (const EndpointId id : open) {
      if (id == but) continue;
      last = id;
      at -= services_[id].record.capacity * Share(services_[id], now);
      if (at < 0) break;
    }
    return last;
  };
  const EndpointId one = draw(all, kNoEndpoint);
  const EndpointId two = draw(all - services_[one].record.capacity * Share(services_[one], now), one);
  const bool by_own = options_.policy >= Policy::kTwoChoicesReportedLoad && TooOld(services_[one], now) &&
                      (two == kNoEndpoint || TooOld(services_[two], now));
  decision.cost = by_own ? CostByOwn(services_[one]) : Cost(services_[one], now);
  if (two == kNoEndpoint) return one;
  decision.alternative_cost = by_own ? CostByOwn(services_[two]) : Cost(services_[two], now);
  decision.alternative = two;
  if (decision.alternative_cost >= decision.cost) return one;
  std::swap(decision.cost, decision.alternative_cost);
  decision.alternative = one;
  return two;
}

// Each answer is good for some choices and for some time. Hot: more work than most; among the others the one
// whose runs are shortest.
EndpointId LoadBalancer::PickByProbes(Milliseconds now, const std::vector<EndpointId>& open,
                                      ChoiceRecord& decision) {
  std::vector<EndpointId> fresh;
  std::vector<double> work;
  for (const EndpointId id : open) {
    const Service& s = services_[id];
    if (s.figure < 0 || now - s.figure_at > options_.max_probe_age ||
        s.uses >= static_cast<int>(options_.max_probe_uses)) {
      continue;
    }
    fresh.push_back(id);
    work.push_back((s.figure + std::max(0.0, s.net - s.net_then)) / s.record.capacity);
  }
  if (fresh.size() < 2) return PickOfTwo(now, open, decision);
  std::vector<double> sorted = work;
  const auto at = sorted.begin() +
                  static_cast<std::ptrdiff_t>(std::min(
                      sorted.size() - 1,
                      static_cast<std::size_t>(options_.hot_quantile * static_cast<double>(sorted.size()))));
  std::nth_element(sorted.begin(), at, sorted.end());
  const double hot = *at;
  EndpointId best = kNoEndpoint;
  for (std::size_t i = 0; i < fresh.size(); ++i) {
    const Service& s = services_[fresh[i]];
    const bool is_hot = work[i] > hot;
    const double cost =
        (is_hot ? 1e6 + work[i] : s.slowness * std::max(1.0, work[i] + 1 / s.record.capacity)) /
        Share(s, now);
    if (best != kNoEndpoint && cost >= decision.cost) {
      if (decision.alternative == kNoEndpoint || cost < decision.alternative_cost) {
        decision.alternative = fresh[i];
        decision.alternative_cost = cost;
      }
      continue;
    }
    decision.alternative = best;
    decision.alternative_cost = decision.cost;
    best = fresh[i];
    decision.cost = cost;
  }
  ++services_[best].uses;
  return best;
}

EndpointId LoadBalancer::Pick(Milliseconds now, const std::vector<EndpointId>& open, ChoiceRecord& decision) {
  if (open.size() == 1) {
    decision.reason = ChoiceReason::kOnlyEndpoint;
    decision.cost = Cost(services_[open.front()], now);
    return open.front();
  }
  switch (options_.policy) {
    case Policy::kRandom:
      return open[draw_() % open.size()];
    case Policy::kRoundRobin:
      return open[next_in_turn_++ % open.size()];
    case Policy::kLeastLocalLoad: {
      // From a random one on: nodes with little to do would all use the first.
      const std::size_t from = draw_() % open.size();
      EndpointId best = open[from];
      for (std::size_t i = 1; i < open.size(); ++i) {
        const EndpointId id = open[(from + i) % open.size()];
        if (services_[id].own < services_[best].own) best = id;
      }
      decision.cost = static_cast<double>(services_[best].own);
      return best;
    }
    case Policy::kProbePool:
      return PickByProbes(now, open, decision);
    default:
      return PickOfTwo(now, open, decision);
  }
}

// One that nobody of this node has tried for long, within the budget.
EndpointId LoadBalancer::Untried(Milliseconds now, const std::vector<EndpointId>& open) {
  if (tries_ < 1) return kNoEndpoint;
  EndpointId oldest = kNoEndpoint;
  for (const EndpointId id : open) {
    if (now - services_[id].tried < options_.max_unprobed_time) continue;
    if (oldest == kNoEndpoint || services_[id].tried < services_[oldest].tried) oldest = id;
  }
  if (oldest != kNoEndpoint) tries_ -= 1;
  return oldest;
}

std::optional<Choice> LoadBalancer::ChooseEndpoint(Milliseconds now, const RequestTraits& run,
                                                   EndpointId not_at) {
  ChoiceRecord decision;
  decision.at = now;
  std::vector<EndpointId> open, trials, up;
  for (const EndpointId id : in_use_) {
    const Service& s = services_[id];
    if (!s.up || id == not_at) continue;
    up.push_back(id);
    if (Open(s, now)) open.push_back(id);
    if (s.standing == EndpointState::kHalfOpen && s.own == 0 && run.is_idempotent) trials.push_back(id);
  }
  if (up.empty()) {
    // Nothing of the subset carries commands: any that does, and the same one where there is no other.
    for (const EndpointId id : further_) {
      if (services_[id].up && id != not_at) up.push_back(id);
    }
    if (up.empty() && not_at != kNoEndpoint && services_[not_at].up) up.push_back(not_at);
  }
  if (up.empty()) {
    ++counts_.no_endpoint;
    return std::nullopt;
  }
  if (not_at == kNoEndpoint) {
    repeats_ = std::min(repeats_ + options_.retry_budget_fraction, options_.max_retry_budget);
    tries_ = std::min(tries_ + options_.unprobed_request_fraction, kTryStock);
    probes_ = std::min(probes_ + options_.probes_per_request, kProbeStock);
  }
  EndpointId chosen = kNoEndpoint;
  if (!trials.empty() && not_at == kNoEndpoint) {
    chosen = trials[draw_() % trials.size()];
    decision.reason = ChoiceReason::kHalfOpenProbe;
    ++counts_.half_open_probes;
  } else if (!open.empty()) {
    if (run.is_idempotent && not_at == kNoEndpoint && (chosen = Untried(now, open)) != kNoEndpoint) {
      decision.reason = ChoiceReason::kUnprobed;
      ++counts_.unprobed_choices;
    } else {
      chosen = Pick(now, open, decision);
    }
  } else {
    // Guards against a node that serves nobody because it likes nobody: as if all were well.
    chosen = Pick(now, up, decision);
    if (up.size() > 1) decision.reason = ChoiceReason::kAllEjected;
    ++counts_.all_ejected_choices;
  }
  if (not_at != kNoEndpoint) decision.reason = ChoiceReason::kRetry;
  Service& s = services_[chosen];
  decision.endpoint = chosen;
  recent_.push_back(decision);
  if (recent_.size() > options_.max_recent_choices) recent_.pop_front();
  if (s.own == 0) s.heard = now;
  ++s.own;
  ++own_;
  ++s.starts;
  s.net += 1;
  s.tried = now;
  last_start_ = now;
  ++counts_.requests;
  MindWidth(now);
  return Choice{chosen, decision.reason};
}

bool LoadBalancer::TryConsumeRetry() {
  if (repeats_ < 1) {
    ++counts_.retries_denied;
    return false;
  }
  repeats_ -= 1;
  ++counts_.retries;
  return true;
}

void LoadBalancer::OnRequestAbandoned(Milliseconds now, EndpointId id) {
  Service& s = services_.at(id);
  if (s.own > 0) --s.own;
  if (own_ > 0) --own_;
  s.net -= 1;
  s.heard = now;
}

void LoadBalancer::OnRequestFinished(Milliseconds now, EndpointId id, const RequestTraits& run,
                                     RequestOutcome how, Milliseconds took) {
  OnRequestAbandoned(now, id);
  Service& s = services_.at(id);
  s.answers += 1;
  if (how == RequestOutcome::kNotExecuted) ++s.never_ran;
  // A refusal is no fault of its own, but it is no work either: it must not look like a service that is
  // quick.
  const bool bad = how != RequestOutcome::kSuccess;
  if (how == RequestOutcome::kError) ++s.errors_all;
  s.errors += kNew * ((bad ? 1 : 0) - s.errors);
  if (how == RequestOutcome::kSuccess) {
    const double ms = std::max(0.01, took.count());
    Kind& kind = kinds_[run.request_kind];
    if (kind.weight == 0) {
      kind.mean = ms;
      kind.weight = 1;
    }
    kind.mean += kNewOfKind * (ms - kind.mean);
    run_ms_ += (run_ms_ == 0 ? 1 : kNewOfKind) * (ms - run_ms_);
    s.run_ms += (s.run_ms == 0 ? 1 : kNew) * (ms - s.run_ms);
    s.slow_weight = std::min(s.slow_weight + 1, 1 / kNew);
    s.slowness += (ms / kind.mean - s.slowness) / std::max(2.0, s.slow_weight);
    s.back += 1;
  }
  if (s.standing == EndpointState::kRecovering) {
    if (s.back >= options_.slow_start_responses ||
        (s.back > 0 && now - s.back_at > options_.max_slow_start)) {
      s.standing = EndpointState::kHealthy;
      s.good_since = now;
    }
  } else if (s.standing == EndpointState::kHalfOpen) {
    if (bad) {
      PutAside(now, id, EjectionCause::kErrorRate);
    } else if (++s.trial_runs >= static_cast<std::size_t>(options_.half_open_successes)) {
      ++counts_.recoveries;
      SetBack(now, s);
    }
    return;
  }
  Judge(now, id);
}

// ---- Judgement ----

bool LoadBalancer::MayPutAside() const {
  std::size_t up = 0, aside = 0;
  for (const EndpointId id : in_use_) {
    const Service& s = services_[id];
    up += s.up ? 1 : 0;
    aside +=
        s.up && (s.standing == EndpointState::kEjected || s.standing == EndpointState::kHalfOpen) ? 1 : 0;
  }
  return static_cast<double>(aside + 1) <= options_.max_ejected_fraction * static_cast<double>(up);
}

void LoadBalancer::Judge(Milliseconds now, EndpointId id) {
  Service& s = services_[id];
  if (s.standing != EndpointState::kHealthy && s.standing != EndpointState::kRecovering) return;
  if (s.answers < options_.min_responses / 2) return;
  std::vector<double> errors, slowness;
  for (const EndpointId other : in_use_) {
    const Service& o = services_[other];
    if (other == id || !o.up || o.standing == EndpointState::kEjected || o.answers < 1) continue;
    errors.push_back(o.errors);
    slowness.push_back(o.slowness);
  }
  if (errors.empty()) return;
  // What fails everywhere is the requests' fault or that of something below all: nobody stands out by it.
  if (s.errors > options_.ejection_error_rate * (1 - std::pow(1 - kNew, s.answers)) &&
      s.errors > 3 * Median(errors) + 0.1) {
    return PutAside(now, id, EjectionCause::kErrorRate);
  }
  if (s.slow_weight >= options_.min_responses &&
      s.slowness > options_.ejection_latency_factor * Median(slowness))
    PutAside(now, id, EjectionCause::kLatency);
}

void LoadBalancer::PutAside(Milliseconds now, EndpointId id, EjectionCause fault) {
  Service& s = services_[id];
  if (s.standing != EndpointState::kHalfOpen && !MayPutAside()) return;
  if (s.standing != EndpointState::kHalfOpen && now - s.good_since > s.aside_for * kForgiven)
    s.aside_for = Milliseconds(0);
  s.aside_for = std::min(options_.max_ejection_time,
                         s.aside_for.count() > 0 ? s.aside_for * 2 : options_.base_ejection_time);
  // Nodes that judged alike do not come back alike.
  s.aside_until = now + s.aside_for * (0.75 + 0.5 * Part());
  s.standing = EndpointState::kEjected;
  s.fault = fault;
  s.trial_runs = 0;
  s.answers = 0;
  ++s.asides;
  ++counts_.ejections;
  next_due_ = std::min(next_due_, s.aside_until);
}

void LoadBalancer::Tick(Milliseconds now) {
  next_due_ = now + options_.max_unprobed_time / 4;
  for (const EndpointId id : in_use_) {
    Service& s = services_[id];
    if (!s.up) continue;
    if (s.standing == EndpointState::kEjected && now >= s.aside_until) {
      s.standing = EndpointState::kHalfOpen;
      s.trial_runs = 0;
      s.slow_weight = 0;
      s.slowness = 1;
      s.errors = 0;
    }
    if (s.standing == EndpointState::kEjected) next_due_ = std::min(next_due_, s.aside_until);
    const Milliseconds patience = std::max(options_.min_unresponsive_time,
                                           Milliseconds(options_.unresponsive_latency_factor * run_ms_));
    const bool judged = s.standing == EndpointState::kHealthy || s.standing == EndpointState::kRecovering ||
                        s.standing == EndpointState::kHalfOpen;
    if (judged && s.own > 0 && now - s.heard > patience) PutAside(now, id, EjectionCause::kUnresponsive);
  }
  MindWidth(now);
}

// ---- Width ----

// A node whose whole subset is busy, or which alone fills its share of it, uses more; later fewer again.
void LoadBalancer::MindWidth(Milliseconds now) {
  if (now - widened_at_ < options_.expansion_interval || in_use_.empty()) return;
  // Not at each choice: it looks at all in use.
  if (now - width_seen_ < options_.expansion_interval / 4) return;
  width_seen_ = now;
  double least = 1e9, fair = 0;
  std::size_t extras = 0;
  for (const EndpointId id : in_use_) {
    const Service& s = services_[id];
    extras += s.extra ? 1 : 0;
    if (!s.up) continue;
    least = std::min(least, Believed(s, now) / s.record.capacity);
    fair += s.record.capacity / static_cast<double>(s.sharers);
  }
  const double own = static_cast<double>(own_);
  // Of few runs at a time nothing follows: they come in bunches.
  const bool much = own > 4 && own > options_.expansion_threshold * 2 * fair;
  if (least > 2 * options_.expansion_threshold || much) {
    wide_since_ = now;
    widened_at_ = now;
    if (in_use_.size() >= options_.max_active_endpoints) return;
    const auto next =
        std::find_if(further_.begin(), further_.end(), [this](EndpointId id) { return services_[id].up; });
    if (next == further_.end()) return;
    const EndpointId id = *next;
    further_.erase(next);
    ++counts_.expansions;
    Use(now, id, true);
  } else if (extras > 0 && now - wide_since_ > options_.contraction_delay) {
    widened_at_ = now;
    for (std::size_t i = in_use_.size(); i-- > 0;) {
      Service& s = services_[in_use_[i]];
      if (!s.extra || s.own > 0) continue;
      s.extra = s.in_use = false;
      further_.insert(further_.begin(), in_use_[i]);
      in_use_.erase(in_use_.begin() + static_cast<std::ptrdiff_t>(i));
      ++figures_;
      ++counts_.contractions;
      // One at a time, and slower than it grew.
      wide_since_ = now - options_.contraction_delay * 0.9;
      break;
    }
  }
}

// ---- Figures ----

std::vector<EndpointId> LoadBalancer::EndpointsToPoll(Milliseconds now) {
  std::vector<EndpointId> ask;
  const bool figures = options_.policy >= Policy::kTwoChoicesReportedLoad;
  const bool works = now - last_start_ < options_.idle_poll_interval;
  for (const EndpointId id : in_use_) {
    Service& s = services_[id];
    if (!s.up) continue;
    const Milliseconds each = figures && works && options_.policy != Policy::kProbePool
                                  ? options_.poll_interval
                                  : options_.idle_poll_interval;
    if (now - s.asked_at < each) continue;
    // The first is followed sooner by the second, so that nodes that began together ask at times of their
    // own.
    s.asked_at = s.asked_at == kNeverAsked ? now - each * Part() : now;
    ask.push_back(id);
  }
  if (options_.policy == Policy::kProbePool) {
    for (; probes_ >= 1 && !in_use_.empty(); probes_ -= 1) {
      const EndpointId id = in_use_[draw_() % in_use_.size()];
      if (!services_[id].up || std::find(ask.begin(), ask.end(), id) != ask.end()) continue;
      services_[id].asked_at = now;
      ask.push_back(id);
    }
  }
  for (const EndpointId id : ask) {
    Service& s = services_[id];
    s.questions.emplace_back(now, s.net);
    if (s.questions.size() > kMostQuestions) s.questions.pop_front();
  }
  counts_.polls += ask.size();
  return ask;
}

void LoadBalancer::OnLoadReport(Milliseconds now, EndpointId id, double running, Milliseconds asked_at) {
  Service& s = services_.at(id);
  // Answers may overtake each other on the way through a new link.
  if (s.figure >= 0 && asked_at < s.figure_at) return;
  ++figures_;
  s.figure = running;
  s.figure_at = asked_at;
  s.net_then = s.net;
  while (!s.questions.empty() && s.questions.front().first <= asked_at) {
    s.net_then = s.questions.front().second;
    s.questions.pop_front();
  }
  s.uses = 0;
  if (s.standing == EndpointState::kHealthy && s.own == 0) s.heard = now;
}

EndpointSnapshot LoadBalancer::Snapshot(Milliseconds now, EndpointId id) const {
  const Service& s = services_.at(id);
  EndpointSnapshot look;
  look.name = s.record.name;
  look.zone = s.record.zone;
  look.capacity = s.record.capacity;
  look.state = s.standing;
  look.ejection_cause = s.fault;
  look.is_active = s.in_use;
  look.is_expansion = s.extra;
  look.sharing_nodes = s.sharers;
  look.local_in_flight = s.own;
  look.requests = s.starts;
  look.errors = s.errors_all;
  look.not_executed = s.never_ran;
  look.ejections = s.asides;
  look.reported_load = s.figure;
  look.report_age = s.figure < 0 ? Milliseconds(-1) : now - s.figure_at;
  look.last_request_age = s.starts == 0 ? Milliseconds(-1) : now - s.tried;
  look.estimated_load = Believed(s, now);
  look.latency_ratio = s.slowness;
  look.mean_latency_ms = s.run_ms;
  if (s.standing == EndpointState::kEjected) look.ejection_time_left = s.aside_until - now;
  return look;
}

}  // namespace hingelink::decide
