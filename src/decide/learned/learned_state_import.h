// How much of what an earlier incarnation of the node learned a new one imports: less the older it is, and
// nothing that fails a sanity check. No I/O and no clock.
#ifndef HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_
#define HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::decide {

// The configuration of a class when its values were learned. They are imported only by an equal class.
struct ClassSignature {
  std::string name;
  double latency_objective_ms = 0;
  double deadline_ms = 0;
  bool operator==(const ClassSignature&) const = default;
};

// What a node learned, and where and when.
struct LearnedRecord {
  std::string node_name;
  std::chrono::milliseconds recorded_at{0};  // Unix time.
  int cores = 0;
  std::vector<ClassSignature> class_signatures;
  hingelink::Learned learned;
};

// The record of `learned` under the configuration in force.
[[nodiscard]] LearnedRecord MakeLearnedRecord(const std::string& node_name, std::chrono::milliseconds now,
                                              const hingelink::Settings& settings,
                                              hingelink::Learned learned);

struct LearnedImportOptions {
  // Confidence in a record halves in this time, as a release changes the work.
  std::chrono::milliseconds half_life = std::chrono::hours(72);
  // Weight of a record at full confidence, in samples: so many new samples count as much.
  int max_samples = 12;
  // The age of a record that is dated in the future.
  std::chrono::milliseconds future_dated_age = std::chrono::hours(144);
};

struct LearnedImport {
  hingelink::Learned learned;        // To be imported by the policy.
  double confidence = 0;             // 0 to 1; 1: as if learned just now.
  std::vector<std::string> skipped;  // What was not imported and why, a line each.
};

// Never fails: what cannot be imported is listed in `skipped`.
[[nodiscard]] LearnedImport ImportLearnedRecord(const LearnedRecord& record, const std::string& node_name,
                                                std::chrono::milliseconds now,
                                                const hingelink::Settings& settings,
                                                const LearnedImportOptions& options = {});

// Why the values cannot have been learned, for an operator; empty where they can. A file may pass its
// checksum and still hold values that were damaged in memory or written by hand.
[[nodiscard]] std::string SanityCheckFailure(const hingelink::LearnedClass& learned);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_
