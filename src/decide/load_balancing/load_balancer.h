// Where a run goes, when many nodes share many services below and each sees little. Times, answers and asked
// figures in, a service out; no I/O, no clock, random numbers from outside. What is started at all stays the
// module's decision. docs/design/spread.md names the ways that were weighed and what each part is for.
//
// Promises: only services that were told are chosen, and up ones while there are any; at most `aside_share`
// of those in use are put aside, and where nothing else is left they are used as if none were; a service in
// use is tried or asked at least each `untried`, while this node has any work or is ticked; repeats are at
// most `repeat_share` of the first tries and a small stock.
//
// Bounds: one record a service that was told, `most_recent` decisions.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decide/load_balancing/subsetting.h"
#include "decide/membership/membership.h"

namespace hingelink::decide {

// How one is chosen of those that may be.
enum class Policy : std::uint8_t {
  kRandom,                  // Any.
  kRoundRobin,              // In turn.
  kLeastLocalLoad,          // Where fewest of this node's own runs are.
  kTwoChoicesLocalLoad,     // Of two drawn, the one with fewer of its own.
  kTwoChoicesReportedLoad,  // Of two drawn, the one with less work by what it was asked, which counts less as
                            // it ages.
  kProbePool,  // Of the newest answers, each used up after some choices: of those that are not hot the
               // fastest.
  kTwoChoicesExpectedLatency,  // kTwoChoicesReportedLoad, by the time that a run is expected to take there:
                               // learned speed and cores.
};
inline constexpr std::size_t kPolicies = 7;
const char* PolicyName(Policy way);
std::optional<Policy> ParsePolicy(const std::string& name);

// ChoiceReason a service was chosen.
enum class ChoiceReason : std::uint8_t {
  kPolicy,         // By the way of choosing.
  kOnlyEndpoint,   // Nothing else may be used.
  kUnprobed,       // It was not tried for long.
  kHalfOpenProbe,  // It was put aside, and this run shows whether it is well again.
  kAllEjected,     // All are aside, or just back: as if none were.
  kRetry,          // What never ran elsewhere.
};
const char* ChoiceReasonName(ChoiceReason why);

// What this node holds of a service.
enum class EndpointState : std::uint8_t {
  kHealthy,
  kRecovering,    // Just back or new: its share grows with what it answers.
  kEjected,       // It stands out by errors, by latency or by silence.
  kHalfOpen,      // Single runs, until some were answered well.
  kDisconnected,  // No link.
};
const char* EndpointStateName(EndpointState standing);
enum class EjectionCause : std::uint8_t { kNone, kErrorRate, kLatency, kUnresponsive };
const char* EjectionCauseName(EjectionCause fault);

enum class RequestOutcome : std::uint8_t {
  kSuccess,
  kError,        // It ran and failed.
  kNotExecuted,  // The service proves that.
};

struct LoadBalancerOptions {
  Policy policy = Policy::kProbePool;  // By docs/measurements/spread.md.
  std::size_t subset_size = 8;
  std::size_t max_active_endpoints = 64;  // With those by which it is widened.
  // Asked figures. One of `old` counts half, the rest of it is the mean of all.
  Milliseconds load_report_half_life{120};
  Milliseconds poll_interval{
      250};  // Each service in use, while there is work; the answer's own way comes on top.
  Milliseconds idle_poll_interval{2'000};
  // Probes (kProbePool).
  double probes_per_request = 2;
  std::size_t max_probe_uses = 3;
  Milliseconds max_probe_age{250};
  double hot_quantile = 0.75;  // Of the probes, by work; those above are hot.
  // Against herds.
  double slow_start_responses = 12;    // So many answers until a service that is back has its whole share.
  Milliseconds max_slow_start{4'000};  // And at the latest.
  double reaction_delay_factor =
      1.0;  // Of the time in which those that share it could fill it with one run each.
  Milliseconds max_reaction_delay{2'000};
  // Against idleness.
  Milliseconds max_unprobed_time{2'000};
  double unprobed_request_fraction = 0.05;  // Of the starts.
  double expansion_threshold = 0.9;  // All in use have so many runs a core, or this node alone fills so much
                                     // of its fair share of them.
  Milliseconds expansion_interval{100};
  Milliseconds contraction_delay{10'000};
  // Repeats of what never ran.
  double retry_budget_fraction = 0.1;
  double max_retry_budget = 10;
  // Judgement.
  double max_ejected_fraction = 0.34;
  double ejection_error_rate = 0.5;
  double ejection_latency_factor = 3.5;  // The median of the others.
  double min_responses = 8;
  Milliseconds min_unresponsive_time{1'500};
  double unresponsive_latency_factor = 12;  // The mean time of a run.
  Milliseconds base_ejection_time{1'000};
  Milliseconds max_ejection_time{30'000};
  double half_open_successes = 3;
  std::size_t max_recent_choices = 256;
};

// What is to be run.
struct RequestTraits {
  std::uint32_t request_kind = 0;  // Of runs that take alike.
  bool is_idempotent = true;       // It may run twice.
};

using EndpointId = std::uint32_t;  // Of a service: stays its own as long as it is told.
static constexpr EndpointId kNoEndpoint = UINT32_MAX;

// Who uses what; Subsets() where none is given. For who runs many of them and computes it once for all.
using SubsetFunction = std::function<std::vector<std::uint32_t>(
    const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& services, std::size_t size)>;

struct Choice {
  EndpointId endpoint = kNoEndpoint;
  ChoiceReason reason = ChoiceReason::kPolicy;
};

struct EndpointSnapshot {
  std::string name, zone;
  double capacity = 1;
  EndpointState state = EndpointState::kDisconnected;
  EjectionCause ejection_cause = EjectionCause::kNone;
  bool is_active = false, is_expansion = false;
  std::size_t sharing_nodes = 0;      // Nodes that use it, this one among them.
  std::uint64_t local_in_flight = 0;  // This node's runs there now.
  std::uint64_t requests = 0, errors = 0, not_executed = 0, ejections = 0;
  double reported_load = -1;  // Runs there by its last word; below 0: none.
  Milliseconds report_age{-1}, last_request_age{-1};
  double estimated_load = 0;   // What a choice counts with now.
  double latency_ratio = 1;    // Its times over those of all.
  double mean_latency_ms = 0;  // Mean.
  Milliseconds ejection_time_left{0};
};
struct ChoiceRecord {
  Milliseconds at{0};
  EndpointId endpoint = kNoEndpoint, alternative = kNoEndpoint;
  ChoiceReason reason = ChoiceReason::kPolicy;
  double cost = 0, alternative_cost = 0;  // As the way of choosing has them: less is better.
};
struct LoadBalancerCounters {
  std::uint64_t requests = 0, retries = 0, retries_denied = 0, unprobed_choices = 0, half_open_probes = 0,
                ejections = 0, recoveries = 0, expansions = 0, contractions = 0, polls = 0,
                all_ejected_choices = 0, no_endpoint = 0;
};

class LoadBalancer {
 public:
  LoadBalancer(LoadBalancerOptions options, std::string self, std::string zone, RandomSource draw,
               SubsetFunction subset = {});

  // ---- Who is there ----
  // All services of the pool that this node may use; those that are no longer told are forgotten. New ones
  // are down until told otherwise.
  void SetEndpoints(Milliseconds now, const std::vector<SubsetEndpoint>& services);
  // All nodes that share them, this one too (it is added where it is missing).
  void SetNodes(Milliseconds now, std::vector<SubsetNode> nodes);
  void SetConnected(Milliseconds now, EndpointId service, bool up);
  EndpointId FindEndpoint(const std::string& name) const;

  // ---- Runs ----
  // Where it goes, counted there from now on; nothing where none is up. `not_at` is passed over while there
  // is another (kNoEndpoint: none).
  std::optional<Choice> ChooseEndpoint(Milliseconds now, const RequestTraits& run,
                                       EndpointId not_at = kNoEndpoint);
  // `took`: as the service tells it, from its start to its end.
  void OnRequestFinished(Milliseconds now, EndpointId service, const RequestTraits& run, RequestOutcome how,
                         Milliseconds took);
  // It is no longer waited for there: moved, or its end will not be told.
  void OnRequestAbandoned(Milliseconds now, EndpointId service);
  // Whether what never ran may run elsewhere, which uses up some of the budget.
  bool TryConsumeRetry();

  // ---- Figures of services ----
  // Who is to be asked now, within the budgets.
  std::vector<EndpointId> EndpointsToPoll(Milliseconds now);
  // `running`: all that it has in hand, of all nodes; asked at, on the caller's clock.
  void OnLoadReport(Milliseconds now, EndpointId service, double running, Milliseconds asked_at);

  // What is due: judgements by silence, returns. At least each `untried` / 4 and at NextDue().
  void Tick(Milliseconds now);
  Milliseconds NextDue() const { return next_due_; }

  // ---- For operators and advice ----
  EndpointSnapshot Snapshot(Milliseconds now, EndpointId service) const;
  std::vector<EndpointId> endpoints() const;
  const std::vector<EndpointId>& active_endpoints() const { return in_use_; }
  // The next that it would be widened by.
  std::vector<EndpointId> StandbyEndpoints(std::size_t most) const;
  bool IsStandby(EndpointId service, std::size_t most) const;
  const std::deque<ChoiceRecord>& recent_choices() const { return recent_; }
  const LoadBalancerCounters& counters() const { return counts_; }
  // How many nodes act on the same news as this one: of all, and of those that share a service.
  std::size_t node_count() const { return nodes_.size(); }

 private:
  struct Service {
    SubsetEndpoint record;
    bool told = true;  // In the list given last.
    bool in_use = false, extra = false, up = false;
    std::size_t sharers = 1;
    std::uint64_t own = 0, starts = 0, errors_all = 0, never_ran = 0, asides = 0;
    double figure = -1;
    Milliseconds figure_at{0};                              // When it was asked for: it is no younger.
    Milliseconds asked_at{-1e9};                            // The last question.
    double net = 0;                                         // Own starts less own ends, of all time ...
    double net_then = 0;                                    // ... and when the figure was asked for.
    std::deque<std::pair<Milliseconds, double>> questions;  // That are open: when, and `net` then.
    int uses = 0;                                           // Of this figure, by choices.
    double run_ms = 0;                                      // Mean of what it answered.
    double slowness = 1;
    double slow_weight = 0;  // Answers behind it.
    double errors = 0;       // Share, lately.
    double answers = 0;      // Since it was last judged.
    EndpointState standing = EndpointState::kHealthy;
    EjectionCause fault = EjectionCause::kNone;
    double back = 0;  // Answers since it is back.
    Milliseconds back_at{0}, open_at{0};
    Milliseconds aside_until{0}, aside_for{0}, good_since{0};
    Milliseconds tried{-1e9}, heard{0};  // Its last answer to a run, or since when one is owed.
    std::size_t trial_runs = 0;
  };
  struct Kind {
    double mean = 0;
    double weight = 0;
  };

  void Rebuild(Milliseconds now);
  void Use(Milliseconds now, EndpointId id, bool extra);
  void SetBack(Milliseconds now, Service& s);
  bool Open(const Service& s, Milliseconds now) const;
  double Share(const Service& s, Milliseconds now) const;
  double Believed(const Service& s, Milliseconds now) const;
  double Cost(const Service& s, Milliseconds now) const;
  double CostByOwn(const Service& s) const;
  bool TooOld(const Service& s, Milliseconds now) const;
  EndpointId Pick(Milliseconds now, const std::vector<EndpointId>& open, ChoiceRecord& decision);
  EndpointId PickOfTwo(Milliseconds now, const std::vector<EndpointId>& open, ChoiceRecord& decision);
  EndpointId PickByProbes(Milliseconds now, const std::vector<EndpointId>& open, ChoiceRecord& decision);
  EndpointId Untried(Milliseconds now, const std::vector<EndpointId>& open);
  void Judge(Milliseconds now, EndpointId id);
  void PutAside(Milliseconds now, EndpointId id, EjectionCause fault);
  bool MayPutAside() const;
  void MindWidth(Milliseconds now);
  double MeanFigure(Milliseconds now) const;
  double Part() { return static_cast<double>(draw_() >> 11) * 0x1.0p-53; }

  LoadBalancerOptions options_;
  std::string self_, zone_;
  RandomSource draw_;
  SubsetFunction subset_;  // This node's row of it.
  std::vector<Service> services_;
  std::map<std::string, EndpointId> by_name_;
  std::vector<SubsetNode> nodes_;
  std::vector<EndpointId> in_use_;
  std::vector<EndpointId> further_;  // Not in the subset, the most suited first.
  std::map<std::uint32_t, Kind> kinds_;
  std::size_t next_in_turn_ = 0;
  double repeats_ = 0, tries_ = 0, probes_ = 0;
  double run_ms_ = 0;  // Mean of all runs.
  // Of MeanFigure(), which each belief asks for: good for one moment and one state of the figures.
  std::uint64_t figures_ = 0;
  mutable std::uint64_t mean_of_ = UINT64_MAX;
  mutable Milliseconds mean_at_{-1};
  mutable double mean_ = 0;
  std::uint64_t own_ = 0;
  Milliseconds last_start_{-1e9}, widened_at_{-1e9}, width_seen_{-1e9}, wide_since_{0}, next_due_{0};
  std::deque<ChoiceRecord> recent_;
  LoadBalancerCounters counts_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_LOAD_BALANCER_H_
