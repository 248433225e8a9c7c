// How much of what an earlier life of the node learned a new one takes over: less the older it is, nothing
// that cannot be right. No I/O and no clock.
#ifndef HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_
#define HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::decide {

// What was told of a class when it was learned: another class of the same name is another class.
struct ClassSignature {
  std::string name;
  double latency_objective_ms = 0, deadline_ms = 0;
  bool operator==(const ClassSignature&) const = default;
};

// What one life leaves to the next.
struct LearnedRecord {
  std::string node_name;                     // The node's name: another node's knowledge is not taken.
  std::chrono::milliseconds recorded_at{0};  // Unix time at which it was so.
  int cores = 0;
  std::vector<ClassSignature> class_signatures;
  hingelink::Learned learned;
};

LearnedRecord MakeLearnedRecord(const std::string& node_name, std::chrono::milliseconds now,
                                const hingelink::Settings& settings, hingelink::Learned learned);

struct LearnedImportOptions {
  // Faith in old knowledge halves in this time: work changes with releases, which come weekly.
  std::chrono::milliseconds half_life = std::chrono::hours(72);
  // Samples that the best old knowledge counts for. So many fresh ones weigh as much: a wrong belief is half
  // gone after them.
  int max_samples = 12;
  // What the clock cannot date (it stands before the record) counts as this old.
  std::chrono::milliseconds undated_age = std::chrono::hours(144);
};

struct LearnedImport {
  hingelink::Learned learned;        // To be given to the module.
  double confidence = 0;             // 1: as if learned just now.
  std::size_t classes = 0;           // Taken over.
  std::vector<std::string> skipped;  // What was not taken over, and why, a line each.
};

LearnedImport ImportLearnedRecord(const LearnedRecord& record, const std::string& node_name,
                                  std::chrono::milliseconds now, const hingelink::Settings& settings,
                                  const LearnedImportOptions& options = {});

// Empty where the values can have been learned; else what is wrong, for an operator. Guards the module
// against a file that was damaged and still checks out, or written by hand.
std::string SanityCheckFailure(const hingelink::LearnedClass& learned);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LEARNED_LEARNED_STATE_IMPORT_H_
