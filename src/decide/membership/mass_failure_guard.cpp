#include "decide/membership/mass_failure_guard.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide::membership {
namespace {

// Fewer failed members than this are no mass failure, however small the fleet is: the failure of a single
// member does not indicate a fault of this node's own link.
constexpr std::size_t kMinFailedMembers = 2;

}  // namespace

void MassFailureGuard::OnMessage(Milliseconds now, const std::string& name) {
  std::erase_if(recent_senders_, [&](const RecentSender& sender) { return sender.name == name; });
  recent_senders_.insert(recent_senders_.begin(), {now, name});
  // Keeps one sender more than required, as MayRemove() does not count the suspect itself.
  if (recent_senders_.size() > options_.min_recent_senders + 1) recent_senders_.pop_back();
}

std::optional<Milliseconds> MassFailureGuard::TimeSinceLastMessage(Milliseconds now) const {
  if (recent_senders_.empty()) return std::nullopt;
  return now - recent_senders_.front().last_message_at;
}

void MassFailureGuard::ExpireRemovals(Milliseconds now) {
  while (!removals_.empty() && now - removals_.front() > options_.mass_failure_window) removals_.pop_front();
}

MassFailureGuard::Verdict MassFailureGuard::Decide(Milliseconds now, const Member& suspect) const {
  if (!MayRemove(now, suspect)) return Verdict::kDefer;
  const bool is_grace_period = now - last_deferral_ < options_.min_suspicion_timeout;
  if (is_grace_period && TimeSinceDeferralStart(now) <= options_.max_removal_deferral)
    return Verdict::kGracePeriod;
  return Verdict::kRemove;
}

Milliseconds MassFailureGuard::GracePeriodEnd() const {
  return last_deferral_ + options_.min_suspicion_timeout;
}

bool MassFailureGuard::Defer(Milliseconds now, Member& member) {
  const bool is_first = deferred_ == 0;
  if (is_first) deferring_since_ = now;
  last_deferral_ = now;
  if (!std::exchange(member.is_removal_deferred, true)) ++deferred_;
  return is_first;
}

bool MassFailureGuard::EndDeferral(Member& member) {
  if (!std::exchange(member.is_removal_deferred, false)) return false;
  --deferred_;
  return deferred_ == 0;
}

bool MassFailureGuard::MayRemove(Milliseconds now, const Member& suspect) const {
  // The live members other than this node and the suspect.
  const std::size_t possible_senders = table_.live_members() - 2;
  const std::size_t required_senders = std::min(options_.min_recent_senders, possible_senders);
  if (CountRecentSenders(suspect.state_since, suspect.record.name) < required_senders) return false;
  const std::size_t failed = table_.suspects() + removals_.size();
  const auto members = static_cast<double>(table_.live_members() + removals_.size());
  const bool is_mass_failure =
      failed >= kMinFailedMembers && static_cast<double>(failed) > options_.mass_failure_fraction * members;
  if (!is_mass_failure) return true;
  return is_deferring() && TimeSinceDeferralStart(now) > options_.max_removal_deferral;
}

std::size_t MassFailureGuard::CountRecentSenders(Milliseconds since, const std::string& excluded) const {
  return static_cast<std::size_t>(std::count_if(
      recent_senders_.begin(), recent_senders_.end(),
      [&](const RecentSender& sender) { return sender.last_message_at > since && sender.name != excluded; }));
}

}  // namespace hingelink::decide::membership
