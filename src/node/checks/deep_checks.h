// Carries out decide::DeepChecks between the callers' side, the pool and the clock.
#ifndef HINGELINK_NODE_CHECKS_DEEP_CHECKS_H_
#define HINGELINK_NODE_CHECKS_DEEP_CHECKS_H_

#include <cstdint>
#include <functional>

#include "core/front_end.h"
#include "decide/health/deep_health_checks.h"
#include "net/event.h"

namespace hingelink::node {

class DeepChecks {
 public:
  struct Ends {
    std::function<bool(std::uint64_t tag)> verify;  // False where nothing carries commands just now.
    std::function<void(core::StreamAddress to, bool good)> answer;
  };
  DeepChecks(event_base* base, Ends ends);

  void Ask(core::StreamAddress from);
  void Left(core::StreamAddress from) { decide_.OnCallerDisconnected(from); }
  void Verified(std::uint64_t tag, bool good);
  // The pool's link has settled.
  void Rebound();

  std::size_t asking() const { return decide_.waiting(); }

 private:
  using Decide = decide::DeepHealthChecks<core::StreamAddress>;
  void CarryOut(const Decide::Actions& steps);

  Ends ends_;
  Decide decide_;
  net::Timer due_;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_CHECKS_DEEP_CHECKS_H_
