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
#ifndef HINGELINK_DECIDE_SPREAD_H_
#define HINGELINK_DECIDE_SPREAD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decide/milliseconds.h"
#include "decide/random_source.h"
#include "decide/subset.h"

namespace hingelink::decide {

// How one is chosen of those that may be.
enum class Way : std::uint8_t {
  kRandom,      // Any.
  kRoundRobin,  // In turn.
  kLeastOwn,    // Where fewest of this node's own runs are.
  kTwoOwn,      // Of two drawn, the one with fewer of its own.
  kTwoAsked,    // Of two drawn, the one with less work by what it was asked, which counts less as it ages.
  kProbes,  // Of the newest answers, each used up after some choices: of those that are not hot the fastest.
  kWeighted,  // kTwoAsked, by the time that a run is expected to take there: learned speed and cores.
};
inline constexpr std::size_t kWays = 7;
const char* WayName(Way way);
std::optional<Way> WayOf(const std::string& name);

// Why a service was chosen.
enum class Why : std::uint8_t {
  kChosen,    // By the way of choosing.
  kOnly,      // Nothing else may be used.
  kUntried,   // It was not tried for long.
  kTrial,     // It was put aside, and this run shows whether it is well again.
  kAllAside,  // All are aside, or just back: as if none were.
  kRepeat,    // What never ran elsewhere.
};
const char* WhyName(Why why);

// What this node holds of a service.
enum class Standing : std::uint8_t {
  kGood,
  kBack,   // Just back or new: its share grows with what it answers.
  kAside,  // It stands out by errors, by latency or by silence.
  kTrial,  // Single runs, until some were answered well.
  kDown,   // No link.
};
const char* StandingName(Standing standing);
enum class Fault : std::uint8_t { kNone, kErrors, kLatency, kSilence };
const char* FaultName(Fault fault);

enum class RunEndsAs : std::uint8_t {
  kWell,
  kError,     // It ran and failed.
  kNeverRan,  // The service proves that.
};

struct SpreadOptions {
  Way way = Way::kProbes;  // By docs/measurements/spread.md.
  std::size_t subset = 8;
  std::size_t most_in_use = 64;  // With those by which it is widened.
  // Asked figures. One of `old` counts half, the rest of it is the mean of all.
  Milliseconds old{120};
  Milliseconds ask_each{250};  // Each service in use, while there is work; the answer's own way comes on top.
  Milliseconds ask_idle{2'000};
  // Probes (kProbes).
  double probes_a_start = 2;
  std::size_t probe_uses = 3;
  Milliseconds probe_old{250};
  double hot_share = 0.75;  // Of the probes, by work; those above are hot.
  // Against herds.
  double back_answers = 12;       // So many answers until a service that is back has its whole share.
  Milliseconds back_most{4'000};  // And at the latest.
  double reaction = 1.0;          // Of the time in which those that share it could fill it with one run each.
  Milliseconds reaction_most{2'000};
  // Against idleness.
  Milliseconds untried{2'000};
  double try_share = 0.05;  // Of the starts.
  double widen_at = 0.9;  // All in use have so many runs a core, or this node alone fills so much of its fair
                          // share of them.
  Milliseconds widen_each{100};
  Milliseconds narrow_after{10'000};
  // Repeats of what never ran.
  double repeat_share = 0.1;
  double most_repeats = 10;
  // Judgement.
  double aside_share = 0.34;
  double error_share = 0.5;
  double latency_times = 3.5;  // The median of the others.
  double least_answers = 8;
  Milliseconds silence{1'500};
  double silence_times = 12;  // The mean time of a run.
  Milliseconds aside{1'000};
  Milliseconds aside_most{30'000};
  double trials = 3;
  std::size_t most_recent = 256;
};

// What is to be run.
struct SpreadRun {
  std::uint32_t kind = 0;  // Of runs that take alike.
  bool safe = true;        // It may run twice.
};

class Spread {
 public:
  using Id = std::uint32_t;  // Of a service: stays its own as long as it is told.
  static constexpr Id kNone = UINT32_MAX;

  // Who uses what; Subsets() where none is given. For who runs many of them and computes it once for all.
  using SubsetsOf = std::function<std::vector<std::uint32_t>(
      const std::vector<SubsetNode>& nodes, const std::vector<SubsetService>& services, std::size_t size)>;

  Spread(SpreadOptions options, std::string self, std::string zone, RandomSource draw, SubsetsOf subset = {});

  // ---- Who is there ----
  // All services of the pool that this node may use; those that are no longer told are forgotten. New ones
  // are down until told otherwise.
  void SetServices(Milliseconds now, const std::vector<SubsetService>& services);
  // All nodes that share them, this one too (it is added where it is missing).
  void SetNodes(Milliseconds now, std::vector<SubsetNode> nodes);
  void SetUp(Milliseconds now, Id service, bool up);
  Id Find(const std::string& name) const;

  // ---- Runs ----
  struct Start {
    Id service = kNone;
    Why why = Why::kChosen;
  };
  // Where it goes, counted there from now on; nothing where none is up. `not_at` is passed over while there
  // is another (kNone: none).
  std::optional<Start> Choose(Milliseconds now, const SpreadRun& run, Id not_at = kNone);
  // `took`: as the service tells it, from its start to its end.
  void Ended(Milliseconds now, Id service, const SpreadRun& run, RunEndsAs how, Milliseconds took);
  // It is no longer waited for there: moved, or its end will not be told.
  void Forgotten(Milliseconds now, Id service);
  // Whether what never ran may run elsewhere, which uses up some of the budget.
  bool MayRepeat();

  // ---- Figures of services ----
  // Who is to be asked now, within the budgets.
  std::vector<Id> ToAsk(Milliseconds now);
  // `running`: all that it has in hand, of all nodes; asked at, on the caller's clock.
  void Told(Milliseconds now, Id service, double running, Milliseconds asked_at);

  // What is due: judgements by silence, returns. At least each `untried` / 4 and at NextDue().
  void Tick(Milliseconds now);
  Milliseconds NextDue() const { return next_due_; }

  // ---- For operators and advice ----
  struct Look {
    std::string name, zone;
    double capacity = 1;
    Standing standing = Standing::kDown;
    Fault fault = Fault::kNone;
    bool in_use = false, extra = false;
    std::size_t sharers = 0;  // Nodes that use it, this one among them.
    std::uint64_t own = 0;    // This node's runs there now.
    std::uint64_t starts = 0, errors = 0, never_ran = 0, asides = 0;
    double told = -1;  // Runs there by its last word; below 0: none.
    Milliseconds told_ago{-1}, tried_ago{-1};
    double believed = 0;  // What a choice counts with now.
    double slowness = 1;  // Its times over those of all.
    double run_ms = 0;    // Mean.
    Milliseconds aside_for{0};
  };
  Look LookAt(Milliseconds now, Id service) const;
  std::vector<Id> all() const;
  const std::vector<Id>& in_use() const { return in_use_; }
  // The next that it would be widened by.
  std::vector<Id> spares(std::size_t most) const;
  bool IsSpare(Id service, std::size_t most) const;
  struct Decision {
    Milliseconds at{0};
    Id service = kNone, other = kNone;
    Why why = Why::kChosen;
    double cost = 0, other_cost = 0;  // As the way of choosing has them: less is better.
  };
  const std::deque<Decision>& recent() const { return recent_; }
  struct Counts {
    std::uint64_t starts = 0, repeats = 0, repeats_refused = 0, untried = 0, trials = 0, asides = 0,
                  returns = 0, widened = 0, narrowed = 0, asked = 0, all_aside = 0, none_up = 0;
  };
  const Counts& counts() const { return counts_; }
  // How many nodes act on the same news as this one: of all, and of those that share a service.
  std::size_t nodes() const { return nodes_.size(); }

 private:
  struct Service {
    SubsetService record;
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
    Standing standing = Standing::kGood;
    Fault fault = Fault::kNone;
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
  void Use(Milliseconds now, Id id, bool extra);
  void SetBack(Milliseconds now, Service& s);
  bool Open(const Service& s, Milliseconds now) const;
  double Share(const Service& s, Milliseconds now) const;
  double Believed(const Service& s, Milliseconds now) const;
  double Cost(const Service& s, Milliseconds now) const;
  double CostByOwn(const Service& s) const;
  bool TooOld(const Service& s, Milliseconds now) const;
  Id Pick(Milliseconds now, const std::vector<Id>& open, Decision& decision);
  Id PickOfTwo(Milliseconds now, const std::vector<Id>& open, Decision& decision);
  Id PickByProbes(Milliseconds now, const std::vector<Id>& open, Decision& decision);
  Id Untried(Milliseconds now, const std::vector<Id>& open);
  void Judge(Milliseconds now, Id id);
  void PutAside(Milliseconds now, Id id, Fault fault);
  bool MayPutAside() const;
  void MindWidth(Milliseconds now);
  double MeanFigure(Milliseconds now) const;
  double Part() { return static_cast<double>(draw_() >> 11) * 0x1.0p-53; }

  SpreadOptions options_;
  std::string self_, zone_;
  RandomSource draw_;
  SubsetsOf subset_;  // This node's row of it.
  std::vector<Service> services_;
  std::map<std::string, Id> by_name_;
  std::vector<SubsetNode> nodes_;
  std::vector<Id> in_use_;
  std::vector<Id> further_;  // Not in the subset, the most suited first.
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
  std::deque<Decision> recent_;
  Counts counts_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_SPREAD_H_
