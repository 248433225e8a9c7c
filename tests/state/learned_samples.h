// Entries of learned state for tests of the codec and of the store.
#ifndef HINGELINK_TESTS_STATE_LEARNED_SAMPLES_H_
#define HINGELINK_TESTS_STATE_LEARNED_SAMPLES_H_

#include <chrono>
#include <cstdint>

#include "state/learned_codec.h"

namespace hingelink::state {

inline constexpr std::chrono::milliseconds kRecordedAt = std::chrono::hours(500'000);

inline Settings TwoClasses() {
  Settings settings;
  settings.classes = {{.name = "view", .latency_objective_ms = 500, .deadline_ms = 1200},
                      {.name = "save", .latency_objective_ms = 700, .deadline_ms = 1600}};
  settings.cores = 4;
  return settings;
}

// Returns an entry with two classes. The execution time of the first class depends on the sequence number, so
// that a test can check which entry was loaded.
inline LearnedEntry Sample(std::uint64_t sequence) {
  Learned learned;
  learned.classes = {{"view", 31.5 + static_cast<double>(sequence), 30, 28, 900}, {"save", 45, 44, 0, 40}};
  return {sequence, decide::MakeLearnedRecord("shire-1", kRecordedAt, TwoClasses(), learned)};
}

}  // namespace hingelink::state

#endif  // HINGELINK_TESTS_STATE_LEARNED_SAMPLES_H_
