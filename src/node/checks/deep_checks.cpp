#include "node/checks/deep_checks.h"

#include <utility>

namespace hingelink::node {
namespace {

std::chrono::milliseconds Now() {
  return std::chrono::ceil<std::chrono::milliseconds>(net::Steady::now().time_since_epoch());
}

}  // namespace

DeepChecks::DeepChecks(event_base* base, Ends ends)
    : ends_(std::move(ends)), due_(base, [this] { CarryOut(decide_.ExpireWaiting(Now())); }) {}

void DeepChecks::Ask(core::StreamAddress from) { CarryOut(decide_.OnCheck(from, Now())); }

void DeepChecks::Verified(std::uint64_t tag, bool good) { CarryOut(decide_.OnVerified(tag, good)); }

void DeepChecks::Rebound() { CarryOut(decide_.OnReconnected()); }

void DeepChecks::CarryOut(const Decide::Actions& steps) {
  if (steps.verify && !ends_.verify(*steps.verify)) decide_.OnSendFailed();
  for (const auto& [to, good] : steps.answers) ends_.answer(to, good);
  if (const auto next = decide_.next_deadline()) {
    due_.Start(*next - Now());
  } else {
    due_.Stop();
  }
}

}  // namespace hingelink::node
