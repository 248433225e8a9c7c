#include "node/upstream_calls.h"

#include <algorithm>
#include <vector>

namespace hingelink::node {

void UpstreamCalls::OnRequested(std::uint64_t attempt_id, std::uint64_t notice_number,
                                std::string_view body) {
  OnExecutionFinished(attempt_id);
  Call& call = calls_[attempt_id];
  call.notice_number = notice_number;
  call.text = body;
}

bool UpstreamCalls::Start(std::uint64_t attempt_id, Millis timeout) {
  const auto found = calls_.find(attempt_id);
  if (found == calls_.end() || found->second.state != State::kRequested) return true;
  // Set before the call starts, because the upstream may report its end before start() returns.
  found->second.state = State::kInFlight;
  if (links_.start(attempt_id, timeout, found->second.text)) return true;
  found->second.state = State::kRequested;
  return false;
}

bool UpstreamCalls::OnFinished(std::uint64_t attempt_id, hingelink::Outcome outcome, std::string_view reply) {
  const auto found = calls_.find(attempt_id);
  if (found == calls_.end() || found->second.state != State::kInFlight) return false;
  Call& call = found->second;
  if (outcome != hingelink::Outcome::kOk) {
    call.state = State::kRequested;
    return true;
  }
  call.state = State::kReplied;
  call.text = reply;
  SendOutcome(attempt_id, call);
  return true;
}

void UpstreamCalls::Skip(std::uint64_t attempt_id) {
  const auto found = calls_.find(attempt_id);
  if (found == calls_.end()) return;
  Call& call = found->second;
  if (call.state == State::kReplied || call.state == State::kSkipped) return;
  if (call.state == State::kInFlight) links_.abandon(attempt_id);
  call.state = State::kSkipped;
  call.text.clear();
  SendOutcome(attempt_id, call);
}

void UpstreamCalls::OnExecutionFinished(std::uint64_t attempt_id) {
  const auto found = calls_.find(attempt_id);
  if (found == calls_.end()) return;
  if (found->second.state == State::kInFlight) links_.abandon(attempt_id);
  calls_.erase(found);
}

void UpstreamCalls::Resend(const std::function<bool(CommandMark)>& processed) {
  std::vector<std::uint64_t> unread;
  for (const auto& [attempt_id, call] : calls_) {
    const bool decided = call.state == State::kReplied || call.state == State::kSkipped;
    if (decided && !processed(call.mark)) unread.push_back(attempt_id);
  }
  std::sort(unread.begin(), unread.end());
  for (const std::uint64_t attempt_id : unread) SendOutcome(attempt_id, calls_.at(attempt_id));
}

void UpstreamCalls::SendOutcome(std::uint64_t attempt_id, Call& call) {
  call.mark = call.state == State::kReplied ? links_.send_reply(attempt_id, call.text)
                                            : links_.send_skip(attempt_id, call.notice_number);
}

}  // namespace hingelink::node
