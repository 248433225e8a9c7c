// Digests of a view of the fleet, by which two nodes find out whether and where their views differ.
//
// Members are hashed by name into buckets; the digest of a bucket is the exclusive or of the digests of its
// members. It covers what the views must agree on: which members are live, in which process epoch and phase.
// Suspicions and incarnations are left out, as they come and go without anti-entropy; dead members are left
// out, as a node that has just joined knows none.
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

  // The index of the bucket of a member.
  [[nodiscard]] static std::size_t BucketOf(const std::string& name);

  // Adds the record to the view or, the second time, removes it.
  void Toggle(const MemberRecord& record);

  // Of the whole view; equal views have equal digests.
  [[nodiscard]] std::uint64_t value() const { return value_; }
  [[nodiscard]] const Buckets& buckets() const { return buckets_; }

 private:
  std::uint64_t value_ = 0;
  Buckets buckets_{};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_VIEW_DIGEST_H_
