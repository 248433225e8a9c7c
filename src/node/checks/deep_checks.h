// Connects decide::DeepHealthChecks to the gateway front end, the worker pool link and the clock.
#ifndef HINGELINK_NODE_CHECKS_DEEP_CHECKS_H_
#define HINGELINK_NODE_CHECKS_DEEP_CHECKS_H_

#include <cstdint>
#include <functional>

#include "core/front_end.h"
#include "decide/health/deep_health_checks.h"
#include "net/event.h"

namespace hingelink::node {

// Answers the deep health checks of callers by verify commands to the worker pool. All methods are called,
// and all callbacks run, on the thread of `base`.
class DeepChecks {
 public:
  struct Callbacks {
    // Sends a verify command to the worker pool. Returns false if no link to the pool carries commands.
    std::function<bool(std::uint64_t tag)> verify;
    std::function<void(core::StreamAddress to, bool good)> answer;
  };
  DeepChecks(event_base* base, Callbacks callbacks);

  void OnDeepCheck(core::StreamAddress from);
  void OnCallerDisconnected(core::StreamAddress from) { decide_.OnCallerDisconnected(from); }
  // The worker pool has answered the verify command with this tag.
  void OnVerified(std::uint64_t tag, bool good);
  // The link to the worker pool carries commands again.
  void OnPoolLinkReady();

  std::size_t waiting_callers() const { return decide_.waiting(); }

 private:
  using Decide = decide::DeepHealthChecks<core::StreamAddress>;
  void Execute(const Decide::Actions& actions);

  Callbacks callbacks_;
  Decide decide_;
  net::Timer deadline_timer_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_CHECKS_DEEP_CHECKS_H_
