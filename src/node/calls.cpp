#include "node/calls.h"

#include <algorithm>
#include <vector>

namespace hingelink::node {

void Calls::Blocked(std::uint64_t req, std::uint64_t notice, std::string_view body) {
  Over(req);
  Stand& stand = stands_[req];
  stand.notice = notice;
  stand.text = body;
}

bool Calls::Make(std::uint64_t req, Millis limit) {
  const auto it = stands_.find(req);
  if (it == stands_.end() || it->second.state != State::kWaits) return true;
  it->second.state = State::kCalls;
  ++out_;
  if (below_.call(req, limit, it->second.text)) return true;
  it->second.state = State::kWaits;
  --out_;
  return false;
}

bool Calls::Ended(std::uint64_t req, hingelink::Outcome outcome, std::string_view reply) {
  const auto it = stands_.find(req);
  if (it == stands_.end() || it->second.state != State::kCalls) return false;
  --out_;
  it->second.state = State::kWaits;
  if (outcome != hingelink::Outcome::kOk) return true;
  it->second.state = State::kSupplied;
  it->second.text = reply;
  Send(req, it->second);
  return true;
}

void Calls::Pass(std::uint64_t req) {
  const auto it = stands_.find(req);
  if (it == stands_.end() || it->second.state == State::kSupplied || it->second.state == State::kPassed)
    return;
  if (it->second.state == State::kCalls) {
    --out_;
    below_.drop(req);
  }
  it->second.state = State::kPassed;
  it->second.text.clear();
  Send(req, it->second);
}

void Calls::Over(std::uint64_t req) {
  const auto it = stands_.find(req);
  if (it == stands_.end()) return;
  // Guards the store: a call that nobody waits for is load for all who share it.
  if (it->second.state == State::kCalls) {
    --out_;
    below_.drop(req);
  }
  stands_.erase(it);
}

void Calls::Resend(const std::function<bool(Mark)>& processed) {
  std::vector<std::uint64_t> again;
  for (const auto& [req, stand] : stands_) {
    const bool told = stand.state == State::kSupplied || stand.state == State::kPassed;
    if (told && !processed(stand.mark)) again.push_back(req);
  }
  std::sort(again.begin(), again.end());
  for (const std::uint64_t req : again) Send(req, stands_.at(req));
}

void Calls::Send(std::uint64_t req, Stand& stand) {
  stand.mark =
      stand.state == State::kSupplied ? below_.supply(req, stand.text) : below_.pass(req, stand.notice);
}

}  // namespace hingelink::node
