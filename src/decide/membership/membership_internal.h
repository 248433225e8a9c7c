// Bounds and small helpers that the parts of Membership share. Included by their sources alone.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_INTERNAL_H_
#define HINGELINK_DECIDE_MEMBERSHIP_INTERNAL_H_

#include <cstddef>
#include <functional>
#include <string>

#include "decide/membership/membership.h"

namespace hingelink::decide {

// Of the fixed parts of a record and a message on the link (src/fleet/codec.cpp), rounded up.
inline constexpr std::size_t kRecordBytes = 40, kBucketBytes = 2;
// Draws for a random member before giving up for this time.
inline constexpr int kDraws = 8;
// Between two looks at a suspicion that the guard against mass change holds.
inline constexpr Milliseconds kLookAgain{500};
inline constexpr Milliseconds kLeastHold{50};
inline constexpr std::size_t kMuchNews = 20;
// So many others must be known before one that has just come compares with any of them.
inline constexpr std::size_t kFewKnown = 8;
// A queue of so many words sends each as often as a single one, of twice as many half as often, down to this.
inline constexpr double kCrowd = 64, kLeastSent = 3;
// A node whose name others keep taking for a greater life raises its own at most so often, and says so then.
inline constexpr Milliseconds kRaiseEach{1'000};
inline constexpr int kRaisesOfAName = 3;
inline constexpr Milliseconds kForgetEach{5'000};
// Behind a thaw, in periods: what came meanwhile must be read before anybody is accused.
inline constexpr double kDoubtPeriods = 3;

inline std::size_t BucketOf(const std::string& name) {
  return std::hash<std::string>{}(name) % kDigestBuckets;
}

inline bool Here(MemberState belief) { return belief != MemberState::kDead; }

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_INTERNAL_H_
