#include "decide/upstream/reconnect_backoff.h"

#include <algorithm>

namespace hingelink::decide {
namespace {

// Bounds the exponent. The delay reaches kMaxDelay after fewer doublings.
constexpr int kMaxDoublings = 8;

}  // namespace

Milliseconds ReconnectBackoff::OnFailure() {
  const Milliseconds limit = std::min(kMaxDelay, kMinDelay * (2 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  return kMinDelay + (limit - kMinDelay) * random_fraction_();
}

}  // namespace hingelink::decide
