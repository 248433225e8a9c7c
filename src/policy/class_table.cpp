#include "policy/class_table.h"

#include <algorithm>

#include "policy/moving_fraction.h"

namespace hingelink::policy {
namespace {

// Initial estimate of the duration of an execution, as a fraction of the class's latency objective.
constexpr double kInitialRunFraction = 0.15;
// Weight of a new sample in the learned means, which cover about the last 30 executions of a class.
constexpr double kLearnWeight = 0.03;
// Weight of a new sample in the pace, which covers about the last five executions.
constexpr double kPaceWeight = 0.2;
// The time that must be left before a latency objective, as a fraction of the expected duration of the
// execution.
constexpr double kRequiredFraction = 0.8;
// Lower bounds of divisors, which could otherwise be 0.
constexpr double kMinTotalWeight = 1e-9;
constexpr double kMinArrivalFraction = 0.01;
constexpr double kMinTimeMs = 1;

bool IsFree(const ClassEntry& entry) { return !entry.configured && entry.open_requests == 0; }

}  // namespace

void ClassTable::Configure() {
  std::vector<bool> was_free;
  for (ClassEntry& entry : entries_) {
    was_free.push_back(IsFree(entry));
    entry.configured = false;
  }
  constexpr std::size_t kNone = static_cast<std::size_t>(-1);
  entry_index_.assign(settings_.classes.size(), kNone);
  // Classes that already have an entry are matched first, so that no new class reuses such an entry.
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const RequestClass& config = settings_.classes[i];
    for (std::size_t k = 0; k < was_free.size() && entry_index_[i] == kNone; ++k) {
      if (was_free[k] || entries_[k].config.name != config.name) continue;
      entries_[k].config = config;
      entries_[k].configured = true;
      entry_index_[i] = k;
    }
  }
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    if (entry_index_[i] == kNone) entry_index_[i] = AddEntry(settings_.classes[i]);
  }
  for (ClassEntry& entry : entries_) {
    if (!entry.configured) entry.arrival_fraction = 0;
  }
}

std::size_t ClassTable::AddEntry(const RequestClass& config) {
  auto entry = std::find_if(entries_.begin(), entries_.end(), IsFree);
  if (entry == entries_.end()) entry = entries_.insert(entries_.end(), ClassEntry{});
  const double estimate_ms = kInitialRunFraction * config.latency_objective_ms;
  *entry = {.config = config,
            .learned = {.name = config.name, .run_ms = estimate_ms, .core_time_ms = estimate_ms},
            .arrival_fraction = 1.0 / static_cast<double>(settings_.classes.size())};
  return static_cast<std::size_t>(entry - entries_.begin());
}

std::optional<std::size_t> ClassTable::IndexOf(std::size_t configured_index) const {
  if (configured_index >= entry_index_.size()) return std::nullopt;
  return entry_index_[configured_index];
}

void ClassTable::CountArrival(std::size_t index) {
  for (ClassEntry& entry : entries_) DecayTowardZero(entry.arrival_fraction, kClassSampleWeight);
  entries_[index].arrival_fraction += kClassSampleWeight;
}

void ClassTable::CountStarted(std::size_t index) {
  double& served = entries_[index].served_fraction;
  served += kClassSampleWeight * (1 - served);
}

void ClassTable::CountRejected(std::size_t index) {
  DecayTowardZero(entries_[index].served_fraction, kClassSampleWeight);
}

void ClassTable::Learn(const OpenRequest& request, double elapsed_ms) {
  LearnedClass& mean = entries_[request.class_index].learned;
  pace_ += kPaceWeight * (elapsed_ms / std::max(kMinTimeMs, request.relative_size * mean.run_ms) - pace_);
  const double weight = std::max(kLearnWeight, 1.0 / ++mean.samples);
  mean.run_ms += weight * (elapsed_ms - mean.run_ms);
  if (request.expected_work_ms > 0) {
    const double first_or_weight = mean.expected_work_ms > 0 ? weight : 1;
    mean.expected_work_ms += first_or_weight * (request.expected_work_ms - mean.expected_work_ms);
  }
  const double core_time_ms = std::max(0.0, elapsed_ms - request.time_in_calls_ms);
  mean.core_time_ms += weight * (core_time_ms - mean.core_time_ms);
}

double ClassTable::RequiredRunMs(const OpenRequest& request) const {
  return kRequiredFraction * pace_ * request.relative_size * LearnedOf(request).run_ms;
}

double ClassTable::RequiredCoreTimeMs(const OpenRequest& request) const {
  return kRequiredFraction * LearnedOf(request).core_time_ms;
}

double ClassTable::LongestMeanRunMs() const {
  double longest = 0;
  for (const ClassEntry& entry : entries_) {
    if (!IsFree(entry)) longest = std::max(longest, entry.learned.run_ms);
  }
  return longest;
}

double ClassTable::RequestWeight(const ClassEntry& entry) const {
  const double work = settings_.weight_by_work ? std::max(kMinTimeMs, entry.learned.core_time_ms) : 1;
  return entry.config.priority_weight * work;
}

double ClassTable::GoalWeightPerMs(std::size_t index) const {
  const ClassEntry& own = entries_[index];
  const ClassEntry* worst_served = nullptr;
  double total_weight = 0;
  for (const ClassEntry& entry : entries_) {
    total_weight += entry.arrival_fraction * RequestWeight(entry);
    const bool is_worse = worst_served == nullptr || entry.served_fraction < worst_served->served_fraction;
    if (entry.configured && is_worse) worst_served = &entry;
  }
  const double overall = (settings_.goal_weight_overall + settings_.goal_weight_worst_window) *
                         RequestWeight(own) / std::max(kMinTotalWeight, total_weight);
  const double of_worst_class = &own == worst_served ? settings_.goal_weight_worst_class /
                                                           std::max(kMinArrivalFraction, own.arrival_fraction)
                                                     : 0;
  return (overall + of_worst_class) / std::max(kMinTimeMs, own.learned.core_time_ms);
}

void ClassTable::Import(const Learned& learned) {
  for (const LearnedClass& known : learned.classes) {
    for (ClassEntry& entry : entries_) {
      if (entry.configured && entry.config.name == known.name && known.samples >= 1) entry.learned = known;
    }
  }
}

Learned ClassTable::Export() const {
  Learned learned;
  for (const ClassEntry& entry : entries_) {
    if (entry.configured && entry.learned.samples > 1) learned.classes.push_back(entry.learned);
  }
  return learned;
}

}  // namespace hingelink::policy
