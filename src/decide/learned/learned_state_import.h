// Decides which learned values a node imports from an earlier incarnation of itself, and with which weight.
// The weight falls with the age of the values, and values that fail a sanity check are not imported. Does no
// I/O and reads no clock.
#ifndef HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_
#define HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::decide {

// The configuration of a request class at the time its values were learned. The values are imported only if
// the class is still configured the same way.
struct ClassSignature {
  std::string name;
  double latency_objective_ms = 0;
  double deadline_ms = 0;
  bool operator==(const ClassSignature&) const = default;
};

// The values that a node learned, with the node's name, the time of recording and the configuration.
struct LearnedRecord {
  std::string node_name;
  std::chrono::milliseconds recorded_at{0};  // Unix time.
  int cores = 0;
  std::vector<ClassSignature> class_signatures;
  hingelink::Learned learned;
};

// Returns a record of `learned`. `now`: Unix time. `settings`: the configuration under which the values were
// learned.
[[nodiscard]] LearnedRecord MakeLearnedRecord(const std::string& node_name, std::chrono::milliseconds now,
                                              const hingelink::Settings& settings,
                                              hingelink::Learned learned);

struct LearnedImportOptions {
  // The confidence in a record halves each time its age grows by this much, since new releases change the
  // execution times.
  std::chrono::milliseconds half_life = std::chrono::hours(72);
  // Weight of a record at full confidence: the number of new samples that would have the same weight.
  int max_samples = 12;
  // The age that is assumed for a record dated in the future.
  std::chrono::milliseconds future_dated_age = std::chrono::hours(144);
};

struct LearnedImport {
  hingelink::Learned learned;  // The values for the policy to import.
  double confidence = 0;       // From 0 to 1; 1 for a record of age 0.
  // One line for each class (or the whole record) that was not imported, and for a date in the future, with
  // the reason.
  std::vector<std::string> skipped;
};

// Selects the values of `record` to import into the node `node_name`. `now`: Unix time. Never fails: what
// cannot be imported is listed in LearnedImport::skipped.
[[nodiscard]] LearnedImport ImportLearnedRecord(const LearnedRecord& record, const std::string& node_name,
                                                std::chrono::milliseconds now,
                                                const hingelink::Settings& settings,
                                                const LearnedImportOptions& options = {});

// Returns a message for the operator that says why the values are implausible, or an empty string if they are
// plausible. The check is needed because a file with a valid checksum can still hold values that were
// corrupted in memory before they were written, or that were written by hand.
[[nodiscard]] std::string SanityCheckFailure(const hingelink::LearnedClass& learned);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_
