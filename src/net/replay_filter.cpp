#include "net/replay_filter.h"

#include <algorithm>

namespace hingelink::net {

bool ReplayFilter::Accept(std::uint64_t sender_id, std::uint64_t counter) {
  if (counter == 0) return false;
  Window& window = FindOrCreate(sender_id);
  window.last_used = ++datagrams_;
  if (counter + kWindow <= window.newest) return false;
  if (counter > window.newest) {
    Advance(window, counter);
  } else if (window.received.test(counter % kWindow)) {
    return false;
  }
  window.received.set(counter % kWindow);
  return true;
}

ReplayFilter::Window& ReplayFilter::FindOrCreate(std::uint64_t sender_id) {
  if (!windows_.contains(sender_id) && windows_.size() >= max_senders_) {
    windows_.erase(std::min_element(
        windows_.begin(), windows_.end(),
        [](const auto& left, const auto& right) { return left.second.last_used < right.second.last_used; }));
  }
  return windows_[sender_id];
}

void ReplayFilter::Advance(Window& window, std::uint64_t newest) {
  if (newest - window.newest >= kWindow) {
    window.received.reset();
  } else {
    for (std::uint64_t skipped = window.newest + 1; skipped < newest; ++skipped) {
      window.received.reset(skipped % kWindow);
    }
  }
  window.newest = newest;
}

}  // namespace hingelink::net
