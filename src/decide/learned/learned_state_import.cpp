#include "decide/learned/learned_state_import.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hingelink::decide {
namespace {

// ms; a day. No caller waits that long for an execution.
constexpr double kMaxExecutionMs = 86'400'000;
// Core time and execution time are means of the same samples, each rounded by itself.
constexpr double kRelativeRounding = 1.000001;
constexpr double kAbsoluteRoundingMs = 1e-6;

bool IsExecutionTime(double value_ms) {
  return std::isfinite(value_ms) && value_ms >= 0 && value_ms <= kMaxExecutionMs;
}

ClassSignature SignatureOf(const hingelink::RequestClass& request_class) {
  return {request_class.name, request_class.latency_objective_ms, request_class.deadline_ms};
}

template <typename Named>
const Named* FindByName(const std::vector<Named>& list, const std::string& name) {
  const auto found =
      std::find_if(list.begin(), list.end(), [&name](const Named& entry) { return entry.name == name; });
  return found == list.end() ? nullptr : &*found;
}

// Why a class of the record is not imported; empty where it is, apart from its weight.
std::string ReasonToSkip(const hingelink::LearnedClass& learned, const LearnedRecord& record,
                         const hingelink::Settings& settings) {
  std::string failure = SanityCheckFailure(learned);
  if (!failure.empty()) return failure;
  const hingelink::RequestClass* configured = FindByName(settings.classes, learned.name);
  if (configured == nullptr) return "there is no such class now";
  const ClassSignature* signature = FindByName(record.class_signatures, learned.name);
  if (signature == nullptr || *signature != SignatureOf(*configured))
    return "it was configured otherwise then";
  return {};
}

}  // namespace

LearnedRecord MakeLearnedRecord(const std::string& node_name, std::chrono::milliseconds now,
                                const hingelink::Settings& settings, hingelink::Learned learned) {
  LearnedRecord record{node_name, now, settings.cores, {}, std::move(learned)};
  for (const hingelink::RequestClass& request_class : settings.classes) {
    record.class_signatures.push_back(SignatureOf(request_class));
  }
  return record;
}

std::string SanityCheckFailure(const hingelink::LearnedClass& learned) {
  // The texts use the keys of the stored file.
  if (learned.name.empty()) return "a class without a name";
  if (!IsExecutionTime(learned.run_ms)) return "run_ms is no time of a run";
  if (!IsExecutionTime(learned.core_time_ms)) return "cost_ms is no time of a run";
  if (learned.core_time_ms > learned.run_ms * kRelativeRounding + kAbsoluteRoundingMs) {
    return "cost_ms is more than run_ms, of which it is a part";
  }
  if (!IsExecutionTime(learned.expected_work_ms)) return "hint_ms is no time of a run";
  if (learned.samples < 1) return "no samples";
  return {};
}

LearnedImport ImportLearnedRecord(const LearnedRecord& record, const std::string& node_name,
                                  std::chrono::milliseconds now, const hingelink::Settings& settings,
                                  const LearnedImportOptions& options) {
  LearnedImport result;
  if (record.node_name != node_name) {
    result.skipped.push_back("all: learned by \"" + record.node_name + "\", and this is \"" + node_name +
                             "\"");
    return result;
  }
  auto age = now - record.recorded_at;
  if (age < std::chrono::milliseconds(0)) {
    result.skipped.push_back("its date: it lies ahead of the clock, so it counts as old");
    age = options.future_dated_age;
  }
  result.confidence =
      std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(options.half_life));
  for (const hingelink::LearnedClass& learned : record.learned.classes) {
    std::string reason = ReasonToSkip(learned, record, settings);
    hingelink::LearnedClass imported = learned;
    imported.samples =
        static_cast<int>(std::lround(std::min(learned.samples, options.max_samples) * result.confidence));
    if (reason.empty() && imported.samples < 1) reason = "too old, or seen too seldom";
    if (reason.empty()) {
      result.learned.classes.push_back(std::move(imported));
    } else {
      result.skipped.push_back(learned.name + ": " + reason);
    }
  }
  return result;
}

}  // namespace hingelink::decide
