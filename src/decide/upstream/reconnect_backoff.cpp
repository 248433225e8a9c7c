#include "decide/upstream/reconnect_backoff.h"

#include <algorithm>

namespace hingelink::decide {
namespace {

// Bounds the shift; kMaxDelay is reached long before.
constexpr int kMaxDoublings = 8;

}  // namespace

ReconnectBackoff::Span ReconnectBackoff::OnFailure() {
  const Span limit = std::min(kMaxDelay, kMinDelay * (2 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  return kMinDelay + (limit - kMinDelay) * draw_();
}

}  // namespace hingelink::decide
