#include "state/learned_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "learned_samples.h"

namespace hingelink::state {
namespace {

using Status = DecodedLearned::Status;

LearnedFrameKind KindOf(bool is_log_record) {
  return is_log_record ? LearnedFrameKind::kLogRecord : LearnedFrameKind::kSnapshot;
}

class LearnedCodec : public testing::TestWithParam<bool> {
 protected:
  const LearnedFrameKind kind_ = KindOf(GetParam());
  const std::string valid_ = EncodeLearned(Sample(7), kind_);
};

TEST_P(LearnedCodec, AnyChangedByteIsDetected) {
  for (std::size_t at = 0; at < valid_.size(); ++at) {
    std::string changed = valid_;
    changed[at] = static_cast<char>(changed[at] ^ 0x15);
    EXPECT_NE(DecodeLearned(changed, kind_).status, Status::kValid) << at;
  }
}

TEST_P(LearnedCodec, AFrameCutAtAnyLengthIsTruncated) {
  for (std::size_t size = 0; size < valid_.size(); ++size) {
    EXPECT_EQ(DecodeLearned(valid_.substr(0, size), kind_).status, Status::kTruncated) << size;
  }
}

TEST_P(LearnedCodec, AFrameOfTheOtherKindIsCorrupt) {
  EXPECT_EQ(DecodeLearned(valid_, KindOf(!GetParam())).status, Status::kCorrupt);
}

INSTANTIATE_TEST_SUITE_P(Kinds, LearnedCodec, testing::Bool(),
                         [](const testing::TestParamInfo<bool>& is_log_record) {
                           return is_log_record.param ? "LogRecord" : "Snapshot";
                         });

RC_GTEST_PROP(LearnedCodecProperty, AnyBytesAreDecodedWithinTheirBounds,
              (const std::string& noise, bool is_log_record)) {
  const DecodedLearned decoded = DecodeLearned(noise, KindOf(is_log_record));
  RC_ASSERT(decoded.status != Status::kValid || decoded.bytes <= noise.size());
}

RC_GTEST_PROP(LearnedCodecProperty, AFrameOverwrittenInPartIsNotValid,
              (const std::string& noise, bool is_log_record)) {
  const LearnedFrameKind kind = KindOf(is_log_record);
  const std::string valid = EncodeLearned(Sample(1), kind);
  std::string overwritten = valid;
  const std::size_t at = *rc::gen::inRange<std::size_t>(0, overwritten.size());
  overwritten.replace(at, noise.size(), noise);
  if (overwritten.substr(0, valid.size()) != valid) {
    RC_ASSERT(DecodeLearned(overwritten, kind).status != Status::kValid);
  }
}

}  // namespace
}  // namespace hingelink::state
