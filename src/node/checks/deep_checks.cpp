#include "node/checks/deep_checks.h"

#include <utility>

namespace hingelink::node {
namespace {

std::chrono::milliseconds Now() {
  return std::chrono::ceil<std::chrono::milliseconds>(net::Steady::now().time_since_epoch());
}

}  // namespace

DeepChecks::DeepChecks(event_base* base, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      deadline_timer_(base, [this] { Execute(decide_.ExpireWaiting(Now())); }) {}

void DeepChecks::OnDeepCheck(core::StreamAddress from) { Execute(decide_.OnCheck(from, Now())); }

void DeepChecks::OnVerified(std::uint64_t tag, bool good) { Execute(decide_.OnVerified(tag, good)); }

void DeepChecks::OnPoolLinkReady() { Execute(decide_.OnReconnected()); }

void DeepChecks::Execute(const Decide::Actions& actions) {
  if (actions.verify && !callbacks_.verify(*actions.verify)) decide_.OnSendFailed();
  for (const auto& [to, good] : actions.answers) callbacks_.answer(to, good);
  if (const auto next = decide_.next_deadline()) {
    deadline_timer_.Start(*next - Now());
  } else {
    deadline_timer_.Stop();
  }
}

}  // namespace hingelink::node
