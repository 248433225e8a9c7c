// Fuzz target for the codec of learned state. `tests/fuzz.sh learned` runs it with clang's libFuzzer. Without
// libFuzzer, main() runs a bounded number of random changes of seed frames, from a fixed random seed.
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
  for (const state::LearnedFrameKind kind :
       {state::LearnedFrameKind::kSnapshot, state::LearnedFrameKind::kLogRecord}) {
    state::DecodedLearned decoded = state::DecodeLearned(bytes, kind);
    if (decoded.status != state::DecodedLearned::Status::kValid) {
      // Decodes the bytes as a payload without its header, because random bytes almost never match the
      // checksum.
      if (size > state::kMaxLearnedPayloadBytes) continue;
      decoded = state::DecodePayload(bytes);
      if (decoded.status != state::DecodedLearned::Status::kValid) continue;
    }
    // A decoded entry can be encoded and decoded again, and its imported values pass the sanity checks.
    const std::string reencoded = state::EncodeLearned(decoded.entry, kind);
    if (state::DecodeLearned(reencoded, kind).status != state::DecodedLearned::Status::kValid) std::abort();
    const decide::LearnedImport imported = decide::ImportLearnedRecord(
        decoded.entry.record, decoded.entry.record.node_name, std::chrono::hours(500'000), settings);
    for (const LearnedClass& learned : imported.learned.classes) {
      if (!decide::SanityCheckFailure(learned).empty() || learned.samples > 12) std::abort();
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
  const std::vector<std::string> seeds = {
      state::EncodeLearned(stored, state::LearnedFrameKind::kSnapshot),
      state::EncodeLearned(stored, state::LearnedFrameKind::kLogRecord),
      state::EncodeLearned(stored, state::LearnedFrameKind::kSnapshot).substr(24)};
  fuzz::Inputs(seeds, [](const std::string& bytes) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  });
  std::puts("learned_fuzz: 30000 inputs");
}
#endif
