#include "decide/connections/connection_admission.h"

#include <algorithm>
#include <numeric>

namespace hingelink::decide {
namespace {

std::size_t Total(const std::vector<std::size_t>& connections) {
  return std::accumulate(connections.begin(), connections.end(), std::size_t{0});
}

}  // namespace

ConnectionAdmission::ConnectionAdmission(const Options& options)
    : options_(options), awaited_(options.loops), candidates_(options.loops), stalled_(options.loops) {}

void ConnectionAdmission::RemoveOldestPending() {
  --pending_;
  failed_evictions_ = 0;
}

void ConnectionAdmission::RequestCandidates(const LoopCounts& connections, Actions& actions) {
  bool is_any_awaited = false;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    candidates_[i].reset();
    awaited_[i] = !stalled_[i] && connections[i] > 0;
    if (!awaited_[i]) continue;
    is_any_awaited = true;
    actions.emplace_back(RequestCandidate{i});
  }
  if (is_any_awaited) {
    eviction_ = EvictionState::kAwaitingCandidates;
  } else {
    OnNoEvictableConnection(actions);
  }
}

std::optional<std::size_t> ConnectionAdmission::LoopWithLeastValuableCandidate() const {
  std::optional<std::size_t> least;
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    if (candidates_[i] && (!least || *candidates_[i] < *candidates_[*least])) least = i;
  }
  return least;
}

void ConnectionAdmission::EvictLeastValuable(const LoopCounts& connections, Actions& actions) {
  if (std::find(awaited_.begin(), awaited_.end(), true) != awaited_.end()) return;
  eviction_ = EvictionState::kIdle;
  // The eviction is no longer needed if enough connections were closed since the candidates were requested.
  const bool is_needed = (pending_ > 0 || is_saturated_) && Total(connections) >= options_.max_connections;
  const std::optional<std::size_t> loop = LoopWithLeastValuableCandidate();
  if (is_needed && loop) {
    eviction_ = EvictionState::kAwaitingEviction;
    evicting_loop_ = *loop;
    actions.emplace_back(Evict{*loop});
  } else if (is_needed) {
    OnNoEvictableConnection(actions);
  }
  Advance(connections, actions);
}

void ConnectionAdmission::OnNoEvictableConnection(Actions& actions) {
  if (is_shared_) {
    // Keep the connection pending: the sibling process releases its file descriptors soon.
    no_evictable_connection_ = true;
  } else if (pending_ > 0) {
    actions.emplace_back(Reject{});
    RemoveOldestPending();
  }
}

void ConnectionAdmission::AdmitPending(const LoopCounts& connections, Actions& actions) {
  std::size_t total = Total(connections);
  for (; pending_ > 0 && total < options_.max_connections; ++total) {
    actions.emplace_back(Admit{});
    RemoveOldestPending();
  }
  is_saturated_ = is_saturated_ && is_shared_ && total >= options_.max_connections;
}

void ConnectionAdmission::UpdateListener(Actions& actions) {
  const bool is_paused = pending_ >= options_.max_pending || is_saturated_;
  if (is_paused && !listener_paused_) actions.emplace_back(PauseListener{});
  if (!is_paused && listener_paused_) actions.emplace_back(ResumeListener{});
  listener_paused_ = is_paused;
}

void ConnectionAdmission::Advance(const LoopCounts& connections, Actions& actions) {
  AdmitPending(connections, actions);
  // RequestCandidates() rejects a pending connection if no loop can be asked, so the next pending connection
  // needs another attempt. While the limit is shared it rejects none, and one attempt is enough.
  while (eviction_ == EvictionState::kIdle && !no_evictable_connection_ && (pending_ > 0 || is_saturated_)) {
    RequestCandidates(connections, actions);
    if (is_shared_) break;
  }
  UpdateListener(actions);
}

ConnectionAdmission::Actions ConnectionAdmission::OnAccepted(const LoopCounts& connections) {
  Actions actions;
  ++pending_;
  is_saturated_ = is_shared_;
  Advance(connections, actions);
  return actions;
}

ConnectionAdmission::Actions ConnectionAdmission::OnCandidate(std::size_t loop,
                                                              const std::optional<ConnectionValue>& candidate,
                                                              const LoopCounts& connections) {
  Actions actions;
  if (eviction_ != EvictionState::kAwaitingCandidates || !awaited_[loop]) return actions;
  awaited_[loop] = false;
  candidates_[loop] = candidate;
  EvictLeastValuable(connections, actions);
  return actions;
}

ConnectionAdmission::Actions ConnectionAdmission::OnEvicted(std::size_t loop, bool evicted,
                                                            const LoopCounts& connections) {
  Actions actions;
  if (eviction_ != EvictionState::kAwaitingEviction || evicting_loop_ != loop) return actions;
  eviction_ = EvictionState::kIdle;
  if (!evicted && ++failed_evictions_ >= options_.max_eviction_attempts) {
    failed_evictions_ = 0;
    OnNoEvictableConnection(actions);
  }
  Advance(connections, actions);
  return actions;
}

ConnectionAdmission::Actions ConnectionAdmission::OnClosed(const LoopCounts& connections) {
  Actions actions;
  Advance(connections, actions);
  return actions;
}

ConnectionAdmission::Actions ConnectionAdmission::SetMaxConnections(std::size_t max_connections,
                                                                    bool is_shared,
                                                                    const LoopCounts& connections) {
  Actions actions;
  options_.max_connections = max_connections;
  is_shared_ = is_shared;
  no_evictable_connection_ = no_evictable_connection_ && is_shared;
  Advance(connections, actions);
  return actions;
}

ConnectionAdmission::Actions ConnectionAdmission::RetryPending(const LoopCounts& connections) {
  Actions actions;
  no_evictable_connection_ = false;
  Advance(connections, actions);
  return actions;
}

ConnectionAdmission::Actions ConnectionAdmission::SetStalled(std::size_t loop, bool is_stalled,
                                                             const LoopCounts& connections) {
  Actions actions;
  stalled_[loop] = is_stalled;
  if (!is_stalled) return actions;
  if (eviction_ == EvictionState::kAwaitingCandidates && awaited_[loop]) {
    awaited_[loop] = false;
    EvictLeastValuable(connections, actions);
  } else if (eviction_ == EvictionState::kAwaitingEviction && evicting_loop_ == loop) {
    eviction_ = EvictionState::kIdle;
    Advance(connections, actions);
  }
  return actions;
}

}  // namespace hingelink::decide
