#include "decide/learned/learned_state_import.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hingelink::decide {
namespace {

// ms; no run lasts a day, as no caller waits for one.
constexpr double kLongestRun = 86'400'000;

bool InRange(double value, double least, double most) {
  return std::isfinite(value) && value >= least && value <= most;
}

}  // namespace

LearnedRecord MakeLearnedRecord(const std::string& node_name, std::chrono::milliseconds now,
                                const hingelink::Settings& settings, hingelink::Learned learned) {
  LearnedRecord record{node_name, now, settings.cores, {}, std::move(learned)};
  for (const hingelink::RequestClass& c : settings.classes) {
    record.class_signatures.push_back({c.name, c.latency_objective_ms, c.deadline_ms});
  }
  return record;
}

std::string SanityCheckFailure(const hingelink::LearnedClass& learned) {
  if (learned.name.empty()) return "a class without a name";
  if (!InRange(learned.run_ms, 0, kLongestRun)) return "run_ms is no time of a run";
  if (!InRange(learned.core_time_ms, 0, kLongestRun)) return "cost_ms is no time of a run";
  // Rounding apart: both are means with the same weights.
  if (learned.core_time_ms > learned.run_ms * 1.000001 + 1e-6)
    return "cost_ms is more than run_ms, of which it is a part";
  if (!InRange(learned.expected_work_ms, 0, kLongestRun)) return "hint_ms is no time of a run";
  if (learned.samples < 1) return "no samples";
  return {};
}

LearnedImport ImportLearnedRecord(const LearnedRecord& record, const std::string& node_name,
                                  std::chrono::milliseconds now, const hingelink::Settings& settings,
                                  const LearnedImportOptions& options) {
  LearnedImport imported;
  if (record.node_name != node_name) {
    imported.skipped.push_back("all: learned by \"" + record.node_name + "\", and this is \"" + node_name +
                               "\"");
    return imported;
  }
  auto age = now - record.recorded_at;
  if (age < std::chrono::milliseconds(0)) {
    imported.skipped.push_back("its date: it lies ahead of the clock, so it counts as old");
    age = options.undated_age;
  }
  imported.confidence =
      std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(options.half_life));
  for (const hingelink::LearnedClass& one : record.learned.classes) {
    const auto skip = [&](const std::string& why) { imported.skipped.push_back(one.name + ": " + why); };
    if (const std::string wrong = SanityCheckFailure(one); !wrong.empty()) {
      skip(wrong);
      continue;
    }
    const auto class_signatures =
        std::find_if(record.class_signatures.begin(), record.class_signatures.end(),
                     [&one](const ClassSignature& t) { return t.name == one.name; });
    const auto is = std::find_if(settings.classes.begin(), settings.classes.end(),
                                 [&one](const hingelink::RequestClass& c) { return c.name == one.name; });
    if (is == settings.classes.end()) {
      skip("there is no such class now");
      continue;
    }
    if (class_signatures == record.class_signatures.end() ||
        *class_signatures != ClassSignature{is->name, is->latency_objective_ms, is->deadline_ms}) {
      skip("it was told otherwise then");
      continue;
    }
    hingelink::LearnedClass taken = one;
    taken.samples =
        static_cast<int>(std::lround(std::min(taken.samples, options.max_samples) * imported.confidence));
    if (taken.samples < 1) {
      skip("too old, or seen too seldom");
      continue;
    }
    imported.learned.classes.push_back(std::move(taken));
    ++imported.classes;
  }
  return imported;
}

}  // namespace hingelink::decide
