#include "decide/membership/view_digest.h"

#include <functional>

namespace hingelink::decide::membership {
namespace {

// The finalizer of SplitMix64 (Steele, Lea, Flood 2014).
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

std::uint64_t DigestOf(const MemberRecord& record) {
  if (!IsLive(record.state)) return 0;
  std::uint64_t digest = std::hash<std::string>{}(record.name);
  digest = Mix(digest ^ record.version.process_epoch);
  digest = Mix(digest ^ static_cast<std::uint64_t>(record.phase));
  return digest;
}

}  // namespace

std::size_t ViewDigest::BucketOf(const std::string& name) {
  return std::hash<std::string>{}(name) % kDigestBuckets;
}

void ViewDigest::Toggle(const MemberRecord& record) {
  const std::uint64_t digest = DigestOf(record);
  value_ ^= digest;
  buckets_[BucketOf(record.name)] ^= static_cast<std::uint32_t>(digest);
}

}  // namespace hingelink::decide::membership
