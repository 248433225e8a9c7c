#include "decide/learned/learned_state_import.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace hingelink::decide {
namespace {

// One day. No execution takes longer, since no caller waits that long for its answer.
constexpr double kMaxExecutionMs = 86'400'000;
// Tolerances for a core time above the execution time. Both are means over the same samples, but are rounded
// separately.
constexpr double kRelativeRounding = 1.000001;
constexpr double kAbsoluteRoundingMs = 1e-6;

bool IsExecutionTime(double value_ms) {
  return std::isfinite(value_ms) && value_ms >= 0 && value_ms <= kMaxExecutionMs;
}

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

// `key`: the key of the value in the stored file.
std::string ExecutionTimeError(const char* key, double value_ms) {
  return std::string(key) + " is " + FormatNumber(value_ms) + "; it must be between 0 and " +
         FormatNumber(kMaxExecutionMs) + " ms";
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

// Returns why a class of the record is not imported, or an empty string if it is importable. Does not check
// the weight of the class.
std::string ReasonToSkip(const hingelink::LearnedClass& learned, const LearnedRecord& record,
                         const hingelink::Settings& settings) {
  std::string failure = SanityCheckFailure(learned);
  if (!failure.empty()) return failure;
  const hingelink::RequestClass* configured = FindByName(settings.classes, learned.name);
  if (configured == nullptr) return "the class is not configured";
  const ClassSignature* signature = FindByName(record.class_signatures, learned.name);
  if (signature == nullptr || *signature != SignatureOf(*configured))
    return "the recorded latency objective or deadline differs from the configured one";
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
  // The messages name the keys of the stored file.
  if (learned.name.empty()) return "the class has no name";
  if (!IsExecutionTime(learned.run_ms)) return ExecutionTimeError("run_ms", learned.run_ms);
  if (!IsExecutionTime(learned.core_time_ms)) return ExecutionTimeError("cost_ms", learned.core_time_ms);
  if (learned.core_time_ms > learned.run_ms * kRelativeRounding + kAbsoluteRoundingMs) {
    return "cost_ms (" + FormatNumber(learned.core_time_ms) + ") exceeds run_ms (" +
           FormatNumber(learned.run_ms) + "), which includes it";
  }
  if (!IsExecutionTime(learned.expected_work_ms)) {
    return ExecutionTimeError("hint_ms", learned.expected_work_ms);
  }
  if (learned.samples < 1) return "samples is " + std::to_string(learned.samples) + "; it must be at least 1";
  return {};
}

LearnedImport ImportLearnedRecord(const LearnedRecord& record, const std::string& node_name,
                                  std::chrono::milliseconds now, const hingelink::Settings& settings,
                                  const LearnedImportOptions& options) {
  LearnedImport result;
  if (record.node_name != node_name) {
    result.skipped.push_back("all classes: recorded by node \"" + record.node_name +
                             "\", but this node is \"" + node_name + "\"");
    return result;
  }
  auto age = now - record.recorded_at;
  if (age < std::chrono::milliseconds(0)) {
    age = options.future_dated_age;
    result.skipped.push_back(
        "recording time: it is ahead of the clock; the age of the record is taken to be " +
        std::to_string(std::chrono::duration_cast<std::chrono::hours>(age).count()) + " h");
  }
  result.confidence =
      std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(options.half_life));
  for (const hingelink::LearnedClass& learned : record.learned.classes) {
    std::string reason = ReasonToSkip(learned, record, settings);
    hingelink::LearnedClass imported = learned;
    imported.samples =
        static_cast<int>(std::lround(std::min(learned.samples, options.max_samples) * result.confidence));
    if (reason.empty() && imported.samples < 1)
      reason = "the record is too old or has too few samples of the class";
    if (reason.empty()) {
      result.learned.classes.push_back(std::move(imported));
    } else {
      result.skipped.push_back(learned.name + ": " + reason);
    }
  }
  return result;
}

}  // namespace hingelink::decide
