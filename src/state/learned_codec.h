// The file format of learned state. The keys in the files differ from the names in the code; only this codec
// maps between them.
//
// A snapshot file is one frame, the log a sequence of frames. Numbers are little-endian:
//
//   magic 8 | version u32 | length u32 | checksum u64 | payload of `length` bytes
//
// The checksum is XXH3 (64 bits) over version, length and payload. The payload is CBOR (RFC 8949) of
//
//   {"sequence":17,"site":"shire-1","at_ms":1796153535000,"cores":4,
//    "told":[{"name":"usage-view","aim_ms":500.0,"deadline_ms":1200.0}],
//    "classes":[{"name":"usage-view","run_ms":31.5,"cost_ms":31.5,"hint_ms":30.0,"samples":812}]}
#ifndef HINGELINK_STATE_LEARNED_CODEC_H_
#define HINGELINK_STATE_LEARNED_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "decide/learned/learned_state_import.h"

namespace hingelink::state {

inline constexpr std::uint32_t kLearnedFormatVersion = 1;
inline constexpr std::size_t kMaxLearnedPayloadBytes = 1 << 20;

// The content of one frame. Among several entries, the one with the highest sequence number is the newest.
struct LearnedEntry {
  std::uint64_t sequence = 0;
  decide::LearnedRecord record;
};

// Frames in snapshots and in the log differ only in their magic number.
enum class LearnedFrameKind { kSnapshot, kLogRecord };

// Returns the frame of an entry. Throws std::length_error if the payload exceeds kMaxLearnedPayloadBytes.
[[nodiscard]] std::string EncodeLearned(const LearnedEntry& entry, LearnedFrameKind kind);

struct DecodedLearned {
  enum class Status {
    kValid,
    kTruncated,           // Ends within the frame, for example after an interrupted write.
    kCorrupt,             // Wrong checksum, a value out of bounds, or a frame of another kind.
    kUnsupportedVersion,  // Written by a newer version of the program.
  };
  Status status = Status::kCorrupt;
  LearnedEntry entry;     // With kValid.
  std::size_t bytes = 0;  // Size of the frame, with kValid.
  std::string detail;     // Without kValid: the fault, as a text for operators.
};

// Decodes the frame at the start of `bytes`; further bytes are ignored. Invalid bytes never throw.
[[nodiscard]] DecodedLearned DecodeLearned(std::string_view bytes, LearnedFrameKind kind);

// Decodes a payload without its header. Invalid bytes never throw.
[[nodiscard]] DecodedLearned DecodePayload(std::string_view payload);

}  // namespace hingelink::state

#endif  // HINGELINK_STATE_LEARNED_CODEC_H_
