// Fuzz target of the reader of what was learned. With clang: libFuzzer draws the bytes (tests/fuzz.sh
// learned). In every build: seeds and a bounded number of changes to them, drawn from a fixed seed.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "state/learned_store.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace hingelink;
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  Settings settings;
  settings.classes = {{.name = "view", .latency_objective_ms = 500, .deadline_ms = 1200}};
  for (const bool record : {false, true}) {
    state::DecodedLearned decoded = state::DecodeLearned(bytes, record);
    if (decoded.status != state::DecodedLearned::Status::kValid) {
      // The payload alone, behind a head that is right: the check would keep all draws out.
      if (size > state::kMaxLearnedPayloadBytes) continue;
      decoded = state::DecodePayload(bytes);
      if (decoded.status != state::DecodedLearned::Status::kValid) continue;
    }
    // What is read can be written, and what is taken over is plausible.
    const std::string again = state::EncodeLearned(decoded.entry, record);
    if (state::DecodeLearned(again, record).status != state::DecodedLearned::Status::kValid) std::abort();
    const decide::LearnedImport recalled = decide::ImportLearnedRecord(
        decoded.entry.record, decoded.entry.record.node_name, std::chrono::hours(500'000), settings);
    for (const LearnedClass& c : recalled.learned.classes) {
      if (!decide::SanityCheckFailure(c).empty() || c.samples > 12) std::abort();
    }
  }
  return 0;
}

#ifndef HINGELINK_LIBFUZZER
#include <cstdio>

#include "../fuzz_bytes.h"

int main() {
  using namespace hingelink;
  Settings settings;
  settings.classes = {{.name = "view", .latency_objective_ms = 500, .deadline_ms = 1200}};
  Learned learned;
  learned.classes = {{"view", 31.5, 30, 28, 900}, {"save", 45, 44, 0, 40}};
  const state::LearnedEntry stored{
      7, decide::MakeLearnedRecord("shire-1", std::chrono::hours(500'000), settings, learned)};
  const std::vector<std::string> seeds = {state::EncodeLearned(stored, false),
                                          state::EncodeLearned(stored, true),
                                          state::EncodeLearned(stored, false).substr(24)};
  fuzz::Inputs(seeds, [](const std::string& bytes) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  });
  std::puts("learned_fuzz: 30000 inputs");
}
#endif
