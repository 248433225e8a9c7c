#include "decide/membership/anti_entropy.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide::membership {
namespace {

// During the bootstrap period, a node that knows more alive members than this sends its sync requests to
// random members. When a whole fleet starts, the seeds alone could not answer the requests of all nodes.
constexpr std::size_t kMinMembersForRandomSync = 8;
// A joining node delays its sync request by this fraction of the probe timeout.
constexpr double kJoiningDelayFraction = 0.25;
// A node that knows at most this many live members, itself included, uses the delay of a joining node.
constexpr std::size_t kMaxLiveMembersOfJoiningNode = 2;

bool IsAlive(const Member& member) { return member.record.state == MemberState::kAlive; }

}  // namespace

void AntiEntropy::Begin(Milliseconds now, Milliseconds first_request) {
  began_at_ = now;
  next_request_ = first_request;
}

void AntiEntropy::Tick(Milliseconds now) {
  if (!differing_peer_ || now < next_request_) return;
  next_request_ = now + options_.sync_interval;
  PeerAddress peer = *std::exchange(differing_peer_, std::nullopt);
  if (now - began_at_ < options_.bootstrap_period && table_.alive() > kMinMembersForRandomSync) {
    const Member* member = table_.PickRandom(IsAlive);
    if (member != nullptr) peer = member->record.address;
  }
  SendRequest(peer);
}

std::optional<Milliseconds> AntiEntropy::NextDeadline() const {
  if (!differing_peer_) return std::nullopt;
  return next_request_;
}

void AntiEntropy::SendRequest(const PeerAddress& to) {
  GossipMessage request = sender_.Compose(GossipMessageKind::kSyncRequest, sender_.NextSequenceNumber());
  request.bucket_digests.assign(digest_.buckets().begin(), digest_.buckets().end());
  sender_.Send(to, std::move(request));
}

void AntiEntropy::OnRequest(const PeerAddress& from, const GossipMessage& request,
                            const std::string& receiver) {
  GossipMessage response = sender_.Compose(GossipMessageKind::kSyncResponse, request.sequence_number);
  BucketSet differing;
  if (request.bucket_digests.size() == kDigestBuckets) {
    for (std::size_t bucket = 0; bucket < kDigestBuckets; ++bucket) {
      differing[bucket] = request.bucket_digests[bucket] != digest_.buckets()[bucket];
      if (differing[bucket]) response.differing_buckets.push_back(static_cast<std::uint8_t>(bucket));
    }
  }
  const std::size_t unused_buckets = kDigestBuckets - response.differing_buckets.size();
  AppendRecords(response, differing, unused_buckets * kDifferingBucketBytes, {});
  sender_.Send(from, std::move(response), receiver);
}

void AntiEntropy::OnResponse(const PeerAddress& from, const GossipMessage& response,
                             const std::string& receiver) {
  BucketSet differing;
  for (const std::uint8_t bucket : response.differing_buckets) differing.set(bucket % kDigestBuckets);
  GossipMessage answer = sender_.Compose(GossipMessageKind::kGossip, response.sequence_number);
  AppendRecords(answer, differing, 0, response.records);
  if (!response.differing_buckets.empty()) sender_.Send(from, std::move(answer), receiver);
}

void AntiEntropy::OnMessage(Milliseconds now, const PeerAddress& from, const GossipMessage& message,
                            bool is_member) {
  if (message.view_digest == digest_.value() || !is_member) {
    if (differing_peer_ == from) differing_peer_.reset();
    return;
  }
  if (differing_peer_) return;
  differing_peer_ = from;
  const Milliseconds latest = now + RequestDelay();
  const bool is_response = message.kind == GossipMessageKind::kSyncResponse;
  next_request_ = is_response ? latest : std::min(std::max(next_request_, now), latest);
}

void AntiEntropy::AppendRecords(GossipMessage& message, const BucketSet& buckets, std::size_t reserved_bytes,
                                const std::vector<MemberRecord>& known) const {
  std::size_t bytes = MaxEncodedSize(message) + reserved_bytes;
  table_.VisitFromRandom([&](const Member& member) {
    const MemberRecord& record = member.record;
    if (!buckets[ViewDigest::BucketOf(record.name)]) return true;
    const std::size_t record_bytes = MaxEncodedSize(record);
    if (bytes + record_bytes > options_.max_message_bytes) return false;
    if (std::find(known.begin(), known.end(), record) != known.end()) return true;
    bytes += record_bytes;
    message.records.push_back(record);
    return true;
  });
}

Milliseconds AntiEntropy::RequestDelay() const {
  const bool is_joining =
      self_.record().phase == MemberPhase::kJoining || table_.live_members() <= kMaxLiveMembersOfJoiningNode;
  return is_joining ? options_.probe_timeout * kJoiningDelayFraction : options_.sync_interval;
}

}  // namespace hingelink::decide::membership
