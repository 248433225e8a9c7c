#include "decide/spread.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hingelink::decide {
namespace {

constexpr const char* kWayNames[kWays] = {"random",    "round-robin", "least-own", "two-own",
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

const char* WayName(Way way) { return kWayNames[static_cast<std::size_t>(way)]; }
const char* WhyName(Why why) { return kWhyNames[static_cast<std::size_t>(why)]; }
const char* StandingName(Standing standing) { return kStandingNames[static_cast<std::size_t>(standing)]; }
const char* FaultName(Fault fault) { return kFaultNames[static_cast<std::size_t>(fault)]; }
std::optional<Way> WayOf(const std::string& name) {
  for (std::size_t i = 0; i < kWays; ++i) {
    if (name == kWayNames[i]) return static_cast<Way>(i);
  }
  return std::nullopt;
}

Spread::Spread(SpreadOptions options, std::string self, std::string zone, RandomSource draw, SubsetsOf subset)
    : options_(options),
      self_(std::move(self)),
      zone_(std::move(zone)),
      draw_(std::move(draw)),
      subset_(std::move(subset)) {
  if (!subset_) {
    subset_ = [this](const std::vector<SubsetNode>& nodes, const std::vector<SubsetService>& services,
                     std::size_t size) {
      const auto subsets = Subsets(nodes, services, size);
      for (std::size_t n = 0; n < nodes.size(); ++n) {
        if (nodes[n].name == self_) return subsets[n];
      }
      return std::vector<std::uint32_t>();
    };
  }
  nodes_ = {{self_, zone_}};
  repeats_ = options_.most_repeats / 2;
}

// ---- Who is there ----

Spread::Id Spread::Find(const std::string& name) const {
  const auto at = by_name_.find(name);
  return at == by_name_.end() ? kNone : at->second;
}

std::vector<Spread::Id> Spread::all() const {
  std::vector<Id> ids;
  for (const auto& [name, id] : by_name_) {
    if (services_[id].told) ids.push_back(id);
  }
  return ids;
}

std::vector<Spread::Id> Spread::spares(std::size_t most) const {
  return {further_.begin(), further_.begin() + static_cast<std::ptrdiff_t>(std::min(most, further_.size()))};
}

bool Spread::IsSpare(Id id, std::size_t most) const {
  const auto end = further_.begin() + static_cast<std::ptrdiff_t>(std::min(most, further_.size()));
  return std::find(further_.begin(), end, id) != end;
}

void Spread::SetServices(Milliseconds now, const std::vector<SubsetService>& services) {
  for (Service& s : services_) s.told = false;
  for (const SubsetService& record : services) {
    auto [at, fresh] = by_name_.try_emplace(record.name, static_cast<Id>(services_.size()));
    if (fresh) {
      // The place of one that was forgotten is used again, once nothing of it is owed.
      const auto free = std::find_if(services_.begin(), services_.end(),
                                     [](const Service& s) { return s.record.name.empty() && s.own == 0; });
      at->second = static_cast<Id>(free - services_.begin());
      if (free == services_.end()) services_.emplace_back();
      services_[at->second] = Service();
      services_[at->second].standing = Standing::kDown;
    }
    services_[at->second].record = record;
    services_[at->second].told = true;
  }
  for (Id id = 0; id < services_.size(); ++id) {
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

void Spread::SetNodes(Milliseconds now, std::vector<SubsetNode> nodes) {
  const bool there =
      std::any_of(nodes.begin(), nodes.end(), [this](const SubsetNode& n) { return n.name == self_; });
  if (!there) nodes.push_back({self_, zone_});
  std::sort(nodes.begin(), nodes.end(),
            [](const SubsetNode& a, const SubsetNode& b) { return a.name < b.name; });
  if (nodes == nodes_) return;
  nodes_ = std::move(nodes);
  Rebuild(now);
}

void Spread::Rebuild(Milliseconds now) {
  std::vector<SubsetService> records;
  std::vector<Id> ids;
  for (const Id id : all()) {
    records.push_back(services_[id].record);
    ids.push_back(id);
  }
  const std::vector<std::size_t> places = PlacesOf(nodes_.size(), records, options_.subset);
  std::vector<bool> wanted(services_.size(), false);
  for (const std::uint32_t s : subset_(nodes_, records, options_.subset)) wanted[ids[s]] = true;
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
  std::sort(further_.begin(), further_.end(), [this](Id a, Id b) {
    const bool home_a = services_[a].record.zone == zone_, home_b = services_[b].record.zone == zone_;
    if (home_a != home_b) return home_a;
    return Affinity(self_, services_[a].record.name) > Affinity(self_, services_[b].record.name);
  });
}

void Spread::Use(Milliseconds now, Id id, bool extra) {
  Service& s = services_[id];
  in_use_.push_back(id);
  ++figures_;
  if (std::exchange(s.in_use, true)) return;
  s.extra = extra;
  s.tried = s.heard = now;
  // All nodes whose subsets moved with the same news come here together.
  if (s.up) SetBack(now, s);
}

void Spread::SetBack(Milliseconds now, Service& s) {
  s.standing = Standing::kBack;
  s.fault = Fault::kNone;
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
  const Milliseconds all = std::min(options_.reaction_most,
                                    Milliseconds(options_.reaction * each * static_cast<double>(s.sharers)));
  s.open_at = now + all * Part();
  s.tried = s.open_at;
}

void Spread::SetUp(Milliseconds now, Id id, bool up) {
  Service& s = services_.at(id);
  if (s.up == up) return;
  s.up = up;
  if (!up) {
    s.standing = Standing::kDown;
    return;
  }
  SetBack(now, s);
}

// ---- Which may be chosen, and what is believed of it ----

bool Spread::Open(const Service& s, Milliseconds now) const {
  switch (s.standing) {
    case Standing::kGood:
      return true;
    case Standing::kBack:
      // More at a time only as it answers: a link that is up says nothing of what stands behind it.
      return now >= s.open_at && static_cast<double>(s.own) < 1 + s.back / 2;
    default:
      return false;
  }
}

// Of its full share, by what it has answered since it is back.
double Spread::Share(const Service& s, Milliseconds now) const {
  if (s.standing != Standing::kBack) return 1;
  const double by_answers = (1 + s.back) / (1 + options_.back_answers);
  const double by_time = s.back > 0 ? (now - s.back_at) / options_.back_most : 0;
  return std::clamp(std::max(by_answers, by_time), 0.05, 1.0);
}

double Spread::MeanFigure(Milliseconds now) const {
  if (mean_of_ == figures_ && mean_at_ == now) return mean_;
  double runs = 0, capacity = 0;
  for (const Id id : in_use_) {
    const Service& s = services_[id];
    if (s.figure < 0 || now - s.figure_at > options_.old * kMostAge) continue;
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
double Spread::Believed(const Service& s, Milliseconds now) const {
  const double own = static_cast<double>(s.own);
  if (s.figure < 0) return std::max(own, MeanFigure(now) * s.record.capacity + own);
  const double age = std::max(0.0, (now - s.figure_at) / options_.old);
  const double weight = std::exp2(-age);
  const double then = weight * s.figure + (1 - weight) * MeanFigure(now) * s.record.capacity;
  return std::max(own, then + s.net - s.net_then);
}

double Spread::Cost(const Service& s, Milliseconds now) const {
  switch (options_.way) {
    case Way::kLeastOwn:
    case Way::kTwoOwn:
      return static_cast<double>(s.own);
    case Way::kTwoAsked:
      return Believed(s, now);
    default: {
      // What a run more is expected to take: below one run a core it has a core to itself.
      const double per_core = (Believed(s, now) + 1) / s.record.capacity;
      return std::max(1.0, per_core) * s.slowness + 0.2 * per_core * s.slowness;
    }
  }
}

bool Spread::TooOld(const Service& s, Milliseconds now) const {
  return s.figure < 0 || now - s.figure_at > options_.old * kTooOld;
}

// Where all that was asked is too old to tell two services apart: this node's own runs, and a speed that
// differs by more than runs do by chance.
double Spread::CostByOwn(const Service& s) const {
  const double slow = s.slowness > kSlower || s.slowness < 1 / kSlower ? s.slowness : 1;
  return (static_cast<double>(s.own) + 0.5) / s.record.capacity * slow;
}

Spread::Id Spread::PickOfTwo(Milliseconds now, const std::vector<Id>& open, Decision& decision) {
  double all = 0;
  for (const Id id : open) all += services_[id].record.capacity * Share(services_[id], now);
  const auto draw = [&](double whole, Id but) {
    double at = Part() * whole;
    Id last = kNone;
    for (const Id id : open) {
      if (id == but) continue;
      last = id;
      at -= services_[id].record.capacity * Share(services_[id], now);
      if (at < 0) break;
    }
    return last;
  };
  const Id one = draw(all, kNone);
  const Id two = draw(all - services_[one].record.capacity * Share(services_[one], now), one);
  const bool by_own = options_.way >= Way::kTwoAsked && TooOld(services_[one], now) &&
                      (two == kNone || TooOld(services_[two], now));
  decision.cost = by_own ? CostByOwn(services_[one]) : Cost(services_[one], now);
  if (two == kNone) return one;
  decision.other_cost = by_own ? CostByOwn(services_[two]) : Cost(services_[two], now);
  decision.other = two;
  if (decision.other_cost >= decision.cost) return one;
  std::swap(decision.cost, decision.other_cost);
  decision.other = one;
  return two;
}

// Each answer is good for some choices and for some time. Hot: more work than most; among the others the one
// whose runs are shortest.
Spread::Id Spread::PickByProbes(Milliseconds now, const std::vector<Id>& open, Decision& decision) {
  std::vector<Id> fresh;
  std::vector<double> work;
  for (const Id id : open) {
    const Service& s = services_[id];
    if (s.figure < 0 || now - s.figure_at > options_.probe_old ||
        s.uses >= static_cast<int>(options_.probe_uses)) {
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
                      static_cast<std::size_t>(options_.hot_share * static_cast<double>(sorted.size()))));
  std::nth_element(sorted.begin(), at, sorted.end());
  const double hot = *at;
  Id best = kNone;
  for (std::size_t i = 0; i < fresh.size(); ++i) {
    const Service& s = services_[fresh[i]];
    const bool is_hot = work[i] > hot;
    const double cost =
        (is_hot ? 1e6 + work[i] : s.slowness * std::max(1.0, work[i] + 1 / s.record.capacity)) /
        Share(s, now);
    if (best != kNone && cost >= decision.cost) {
      if (decision.other == kNone || cost < decision.other_cost) {
        decision.other = fresh[i];
        decision.other_cost = cost;
      }
      continue;
    }
    decision.other = best;
    decision.other_cost = decision.cost;
    best = fresh[i];
    decision.cost = cost;
  }
  ++services_[best].uses;
  return best;
}

Spread::Id Spread::Pick(Milliseconds now, const std::vector<Id>& open, Decision& decision) {
  if (open.size() == 1) {
    decision.why = Why::kOnly;
    decision.cost = Cost(services_[open.front()], now);
    return open.front();
  }
  switch (options_.way) {
    case Way::kRandom:
      return open[draw_() % open.size()];
    case Way::kRoundRobin:
      return open[next_in_turn_++ % open.size()];
    case Way::kLeastOwn: {
      // From a random one on: nodes with little to do would all use the first.
      const std::size_t from = draw_() % open.size();
      Id best = open[from];
      for (std::size_t i = 1; i < open.size(); ++i) {
        const Id id = open[(from + i) % open.size()];
        if (services_[id].own < services_[best].own) best = id;
      }
      decision.cost = static_cast<double>(services_[best].own);
      return best;
    }
    case Way::kProbes:
      return PickByProbes(now, open, decision);
    default:
      return PickOfTwo(now, open, decision);
  }
}

// One that nobody of this node has tried for long, within the budget.
Spread::Id Spread::Untried(Milliseconds now, const std::vector<Id>& open) {
  if (tries_ < 1) return kNone;
  Id oldest = kNone;
  for (const Id id : open) {
    if (now - services_[id].tried < options_.untried) continue;
    if (oldest == kNone || services_[id].tried < services_[oldest].tried) oldest = id;
  }
  if (oldest != kNone) tries_ -= 1;
  return oldest;
}

std::optional<Spread::Start> Spread::Choose(Milliseconds now, const SpreadRun& run, Id not_at) {
  Decision decision;
  decision.at = now;
  std::vector<Id> open, trials, up;
  for (const Id id : in_use_) {
    const Service& s = services_[id];
    if (!s.up || id == not_at) continue;
    up.push_back(id);
    if (Open(s, now)) open.push_back(id);
    if (s.standing == Standing::kTrial && s.own == 0 && run.safe) trials.push_back(id);
  }
  if (up.empty()) {
    // Nothing of the subset carries commands: any that does, and the same one where there is no other.
    for (const Id id : further_) {
      if (services_[id].up && id != not_at) up.push_back(id);
    }
    if (up.empty() && not_at != kNone && services_[not_at].up) up.push_back(not_at);
  }
  if (up.empty()) {
    ++counts_.none_up;
    return std::nullopt;
  }
  if (not_at == kNone) {
    repeats_ = std::min(repeats_ + options_.repeat_share, options_.most_repeats);
    tries_ = std::min(tries_ + options_.try_share, kTryStock);
    probes_ = std::min(probes_ + options_.probes_a_start, kProbeStock);
  }
  Id chosen = kNone;
  if (!trials.empty() && not_at == kNone) {
    chosen = trials[draw_() % trials.size()];
    decision.why = Why::kTrial;
    ++counts_.trials;
  } else if (!open.empty()) {
    if (run.safe && not_at == kNone && (chosen = Untried(now, open)) != kNone) {
      decision.why = Why::kUntried;
      ++counts_.untried;
    } else {
      chosen = Pick(now, open, decision);
    }
  } else {
    // Guards against a node that serves nobody because it likes nobody: as if all were well.
    chosen = Pick(now, up, decision);
    if (up.size() > 1) decision.why = Why::kAllAside;
    ++counts_.all_aside;
  }
  if (not_at != kNone) decision.why = Why::kRepeat;
  Service& s = services_[chosen];
  decision.service = chosen;
  recent_.push_back(decision);
  if (recent_.size() > options_.most_recent) recent_.pop_front();
  if (s.own == 0) s.heard = now;
  ++s.own;
  ++own_;
  ++s.starts;
  s.net += 1;
  s.tried = now;
  last_start_ = now;
  ++counts_.starts;
  MindWidth(now);
  return Start{chosen, decision.why};
}

bool Spread::MayRepeat() {
  if (repeats_ < 1) {
    ++counts_.repeats_refused;
    return false;
  }
  repeats_ -= 1;
  ++counts_.repeats;
  return true;
}

void Spread::Forgotten(Milliseconds now, Id id) {
  Service& s = services_.at(id);
  if (s.own > 0) --s.own;
  if (own_ > 0) --own_;
  s.net -= 1;
  s.heard = now;
}

void Spread::Ended(Milliseconds now, Id id, const SpreadRun& run, RunEndsAs how, Milliseconds took) {
  Forgotten(now, id);
  Service& s = services_.at(id);
  s.answers += 1;
  if (how == RunEndsAs::kNeverRan) ++s.never_ran;
  // A refusal is no fault of its own, but it is no work either: it must not look like a service that is
  // quick.
  const bool bad = how != RunEndsAs::kWell;
  if (how == RunEndsAs::kError) ++s.errors_all;
  s.errors += kNew * ((bad ? 1 : 0) - s.errors);
  if (how == RunEndsAs::kWell) {
    const double ms = std::max(0.01, took.count());
    Kind& kind = kinds_[run.kind];
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
  if (s.standing == Standing::kBack) {
    if (s.back >= options_.back_answers || (s.back > 0 && now - s.back_at > options_.back_most)) {
      s.standing = Standing::kGood;
      s.good_since = now;
    }
  } else if (s.standing == Standing::kTrial) {
    if (bad) {
      PutAside(now, id, Fault::kErrors);
    } else if (++s.trial_runs >= static_cast<std::size_t>(options_.trials)) {
      ++counts_.returns;
      SetBack(now, s);
    }
    return;
  }
  Judge(now, id);
}

// ---- Judgement ----

bool Spread::MayPutAside() const {
  std::size_t up = 0, aside = 0;
  for (const Id id : in_use_) {
    const Service& s = services_[id];
    up += s.up ? 1 : 0;
    aside += s.up && (s.standing == Standing::kAside || s.standing == Standing::kTrial) ? 1 : 0;
  }
  return static_cast<double>(aside + 1) <= options_.aside_share * static_cast<double>(up);
}

void Spread::Judge(Milliseconds now, Id id) {
  Service& s = services_[id];
  if (s.standing != Standing::kGood && s.standing != Standing::kBack) return;
  if (s.answers < options_.least_answers / 2) return;
  std::vector<double> errors, slowness;
  for (const Id other : in_use_) {
    const Service& o = services_[other];
    if (other == id || !o.up || o.standing == Standing::kAside || o.answers < 1) continue;
    errors.push_back(o.errors);
    slowness.push_back(o.slowness);
  }
  if (errors.empty()) return;
  // What fails everywhere is the requests' fault or that of something below all: nobody stands out by it.
  if (s.errors > options_.error_share * (1 - std::pow(1 - kNew, s.answers)) &&
      s.errors > 3 * Median(errors) + 0.1) {
    return PutAside(now, id, Fault::kErrors);
  }
  if (s.slow_weight >= options_.least_answers && s.slowness > options_.latency_times * Median(slowness))
    PutAside(now, id, Fault::kLatency);
}

void Spread::PutAside(Milliseconds now, Id id, Fault fault) {
  Service& s = services_[id];
  if (s.standing != Standing::kTrial && !MayPutAside()) return;
  if (s.standing != Standing::kTrial && now - s.good_since > s.aside_for * kForgiven)
    s.aside_for = Milliseconds(0);
  s.aside_for = std::min(options_.aside_most, s.aside_for.count() > 0 ? s.aside_for * 2 : options_.aside);
  // Nodes that judged alike do not come back alike.
  s.aside_until = now + s.aside_for * (0.75 + 0.5 * Part());
  s.standing = Standing::kAside;
  s.fault = fault;
  s.trial_runs = 0;
  s.answers = 0;
  ++s.asides;
  ++counts_.asides;
  next_due_ = std::min(next_due_, s.aside_until);
}

void Spread::Tick(Milliseconds now) {
  next_due_ = now + options_.untried / 4;
  for (const Id id : in_use_) {
    Service& s = services_[id];
    if (!s.up) continue;
    if (s.standing == Standing::kAside && now >= s.aside_until) {
      s.standing = Standing::kTrial;
      s.trial_runs = 0;
      s.slow_weight = 0;
      s.slowness = 1;
      s.errors = 0;
    }
    if (s.standing == Standing::kAside) next_due_ = std::min(next_due_, s.aside_until);
    const Milliseconds patience = std::max(options_.silence, Milliseconds(options_.silence_times * run_ms_));
    const bool judged =
        s.standing == Standing::kGood || s.standing == Standing::kBack || s.standing == Standing::kTrial;
    if (judged && s.own > 0 && now - s.heard > patience) PutAside(now, id, Fault::kSilence);
  }
  MindWidth(now);
}

// ---- Width ----

// A node whose whole subset is busy, or which alone fills its share of it, uses more; later fewer again.
void Spread::MindWidth(Milliseconds now) {
  if (now - widened_at_ < options_.widen_each || in_use_.empty()) return;
  // Not at each choice: it looks at all in use.
  if (now - width_seen_ < options_.widen_each / 4) return;
  width_seen_ = now;
  double least = 1e9, fair = 0;
  std::size_t extras = 0;
  for (const Id id : in_use_) {
    const Service& s = services_[id];
    extras += s.extra ? 1 : 0;
    if (!s.up) continue;
    least = std::min(least, Believed(s, now) / s.record.capacity);
    fair += s.record.capacity / static_cast<double>(s.sharers);
  }
  const double own = static_cast<double>(own_);
  // Of few runs at a time nothing follows: they come in bunches.
  const bool much = own > 4 && own > options_.widen_at * 2 * fair;
  if (least > 2 * options_.widen_at || much) {
    wide_since_ = now;
    widened_at_ = now;
    if (in_use_.size() >= options_.most_in_use) return;
    const auto next =
        std::find_if(further_.begin(), further_.end(), [this](Id id) { return services_[id].up; });
    if (next == further_.end()) return;
    const Id id = *next;
    further_.erase(next);
    ++counts_.widened;
    Use(now, id, true);
  } else if (extras > 0 && now - wide_since_ > options_.narrow_after) {
    widened_at_ = now;
    for (std::size_t i = in_use_.size(); i-- > 0;) {
      Service& s = services_[in_use_[i]];
      if (!s.extra || s.own > 0) continue;
      s.extra = s.in_use = false;
      further_.insert(further_.begin(), in_use_[i]);
      in_use_.erase(in_use_.begin() + static_cast<std::ptrdiff_t>(i));
      ++figures_;
      ++counts_.narrowed;
      // One at a time, and slower than it grew.
      wide_since_ = now - options_.narrow_after * 0.9;
      break;
    }
  }
}

// ---- Figures ----

std::vector<Spread::Id> Spread::ToAsk(Milliseconds now) {
  std::vector<Id> ask;
  const bool figures = options_.way >= Way::kTwoAsked;
  const bool works = now - last_start_ < options_.ask_idle;
  for (const Id id : in_use_) {
    Service& s = services_[id];
    if (!s.up) continue;
    const Milliseconds each =
        figures && works && options_.way != Way::kProbes ? options_.ask_each : options_.ask_idle;
    if (now - s.asked_at < each) continue;
    // The first is followed sooner by the second, so that nodes that began together ask at times of their
    // own.
    s.asked_at = s.asked_at == kNeverAsked ? now - each * Part() : now;
    ask.push_back(id);
  }
  if (options_.way == Way::kProbes) {
    for (; probes_ >= 1 && !in_use_.empty(); probes_ -= 1) {
      const Id id = in_use_[draw_() % in_use_.size()];
      if (!services_[id].up || std::find(ask.begin(), ask.end(), id) != ask.end()) continue;
      services_[id].asked_at = now;
      ask.push_back(id);
    }
  }
  for (const Id id : ask) {
    Service& s = services_[id];
    s.questions.emplace_back(now, s.net);
    if (s.questions.size() > kMostQuestions) s.questions.pop_front();
  }
  counts_.asked += ask.size();
  return ask;
}

void Spread::Told(Milliseconds now, Id id, double running, Milliseconds asked_at) {
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
  if (s.standing == Standing::kGood && s.own == 0) s.heard = now;
}

Spread::Look Spread::LookAt(Milliseconds now, Id id) const {
  const Service& s = services_.at(id);
  Look look;
  look.name = s.record.name;
  look.zone = s.record.zone;
  look.capacity = s.record.capacity;
  look.standing = s.standing;
  look.fault = s.fault;
  look.in_use = s.in_use;
  look.extra = s.extra;
  look.sharers = s.sharers;
  look.own = s.own;
  look.starts = s.starts;
  look.errors = s.errors_all;
  look.never_ran = s.never_ran;
  look.asides = s.asides;
  look.told = s.figure;
  look.told_ago = s.figure < 0 ? Milliseconds(-1) : now - s.figure_at;
  look.tried_ago = s.starts == 0 ? Milliseconds(-1) : now - s.tried;
  look.believed = Believed(s, now);
  look.slowness = s.slowness;
  look.run_ms = s.run_ms;
  if (s.standing == Standing::kAside) look.aside_for = s.aside_until - now;
  return look;
}

}  // namespace hingelink::decide
