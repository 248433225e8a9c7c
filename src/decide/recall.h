// How much of what an earlier life of the node learned a new one takes over: less the older it is, nothing
// that cannot be right. No I/O and no clock.
#ifndef HINGELINK_DECIDE_RECALL_H_
#define HINGELINK_DECIDE_RECALL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hingelink/server_policy.h"

namespace hingelink::decide {

// What was told of a class when it was learned: another class of the same name is another class.
struct ClassTold {
  std::string name;
  double latency_objective_ms = 0, deadline_ms = 0;
  bool operator==(const ClassTold&) const = default;
};

// What one life leaves to the next.
struct Remembered {
  std::string site;                 // The node's name: another node's knowledge is not taken.
  std::chrono::milliseconds at{0};  // Unix time at which it was so.
  int cores = 0;
  std::vector<ClassTold> told;
  hingelink::Learned learned;
};

Remembered Remember(const std::string& site, std::chrono::milliseconds now,
                    const hingelink::Settings& settings, hingelink::Learned learned);

struct RecallOptions {
  // Faith in old knowledge halves in this time: work changes with releases, which come weekly.
  std::chrono::milliseconds half_life = std::chrono::hours(72);
  // Samples that the best old knowledge counts for. So many fresh ones weigh as much: a wrong belief is half
  // gone after them.
  int most_samples = 12;
  // What the clock cannot date (it stands before the record) counts as this old.
  std::chrono::milliseconds undated = std::chrono::hours(144);
};

struct Recalled {
  hingelink::Learned learned;         // To be given to the module.
  double faith = 0;                   // 1: as if learned just now.
  std::size_t classes = 0;            // Taken over.
  std::vector<std::string> left_out;  // What was not taken over, and why, a line each.
};

Recalled Recall(const Remembered& remembered, const std::string& site, std::chrono::milliseconds now,
                const hingelink::Settings& settings, const RecallOptions& options = {});

// Empty where the values can have been learned; else what is wrong, for an operator. Guards the module
// against a file that was damaged and still checks out, or written by hand.
std::string Implausible(const hingelink::LearnedClass& learned);

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_RECALL_H_
