// Digests of a node's view of the fleet. Two nodes compare them to find out whether and where their views
// differ.
//
// Members are hashed by name into buckets. The digest of a bucket is the exclusive or of the digests of its
// members. A member's digest covers the facts on which the views must agree: that the member is live, its
// process epoch (which identifies a start of its process) and the phase that it announces. Suspicions and
// incarnations are excluded, because nodes send their changes to each other without anti-entropy, that is,
// without a comparison of digests. Dead members are excluded, because a node that has just joined does not
// know them.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_VIEW_DIGEST_H_
#define HINGELINK_DECIDE_MEMBERSHIP_VIEW_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "decide/membership/gossip_message.h"
#include "decide/membership/member.h"

namespace hingelink::decide::membership {

// Not thread-safe.
class ViewDigest {
 public:
  using Buckets = std::array<std::uint32_t, kDigestBuckets>;

  // Returns the index of the bucket of the member with this name.
  [[nodiscard]] static std::size_t BucketOf(const std::string& name);

  // Adds a record to the view, or removes a record that was added before: both are the same exclusive or.
  void Toggle(const MemberRecord& record);

  // The digest of the whole view. Equal views have equal digests.
  [[nodiscard]] std::uint64_t value() const { return value_; }
  [[nodiscard]] const Buckets& buckets() const { return buckets_; }

 private:
  std::uint64_t value_ = 0;
  Buckets buckets_{};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_VIEW_DIGEST_H_
