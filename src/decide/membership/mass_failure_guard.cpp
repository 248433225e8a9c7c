#include "decide/membership/mass_failure_guard.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide::membership {
namespace {

// A single silent member says nothing about this node's link, however small the fleet is.
constexpr std::size_t kMinSilentMembers = 2;

}  // namespace

void MassFailureGuard::OnMessage(Milliseconds now, const std::string& name) {
  std::erase_if(recent_senders_, [&](const RecentSender& sender) { return sender.name == name; });
  recent_senders_.insert(recent_senders_.begin(), {now, name});
  // One more than is asked for: the suspect itself does not count.
  if (recent_senders_.size() > options_.min_recent_senders + 1) recent_senders_.pop_back();
}

std::optional<Milliseconds> MassFailureGuard::SinceLastMessage(Milliseconds now) const {
  if (recent_senders_.empty()) return std::nullopt;
  return now - recent_senders_.front().at;
}

void MassFailureGuard::ExpireRemovals(Milliseconds now) {
  while (!removals_.empty() && now - removals_.front() > options_.mass_failure_window) removals_.pop_front();
}

MassFailureGuard::Verdict MassFailureGuard::Decide(Milliseconds now, const Member& suspect) const {
  if (!MayRemove(now, suspect)) return Verdict::kDefer;
  const bool is_grace_period = now - last_deferral_ < options_.min_suspicion_timeout;
  if (is_grace_period && DeferringFor(now) <= options_.max_removal_deferral) return Verdict::kGracePeriod;
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

bool MassFailureGuard::Release(Member& member) {
  if (!std::exchange(member.is_removal_deferred, false)) return false;
  --deferred_;
  return deferred_ == 0;
}

bool MassFailureGuard::MayRemove(Milliseconds now, const Member& suspect) const {
  const std::size_t others = table_.live_members() - 2;
  const std::size_t wanted = std::min(options_.min_recent_senders, others);
  if (CountRecentSenders(suspect.state_since, suspect.record.name) < wanted) return false;
  const std::size_t silent = table_.suspects() + removals_.size();
  const auto known = static_cast<double>(table_.live_members() + removals_.size());
  const bool is_mass_failure =
      silent >= kMinSilentMembers && static_cast<double>(silent) > options_.mass_failure_fraction * known;
  if (!is_mass_failure) return true;
  return is_deferring() && DeferringFor(now) > options_.max_removal_deferral;
}

std::size_t MassFailureGuard::CountRecentSenders(Milliseconds since, const std::string& name) const {
  return static_cast<std::size_t>(
      std::count_if(recent_senders_.begin(), recent_senders_.end(),
                    [&](const RecentSender& sender) { return sender.at > since && sender.name != name; }));
}

}  // namespace hingelink::decide::membership
