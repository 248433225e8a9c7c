#include "decide/connections/connection_admission.h"

#include <algorithm>
#include <numeric>

namespace hingelink::decide {
namespace {

std::size_t Sum(const std::vector<std::size_t>& on) {
  return std::accumulate(on.begin(), on.end(), std::size_t{0});
}

}  // namespace

ConnectionAdmission::ConnectionAdmission(const Options& options)
    : options_(options), to_offer_(options.loops), offers_(options.loops), hung_(options.loops) {}

void ConnectionAdmission::NextNewcomer() {
  --waiting_;
  tries_ = 0;
}

void ConnectionAdmission::Ask(const std::vector<std::size_t>& on, Actions& steps) {
  bool asked = false;
  for (std::size_t i = 0; i < on.size(); ++i) {
    offers_[i].reset();
    to_offer_[i] = !hung_[i] && on[i] > 0;
    if (!to_offer_[i]) continue;
    asked = true;
    steps.emplace_back(RequestCandidate{i});
  }
  if (asked) {
    asking_ = Asking::kOffers;
  } else {
    NobodyCan(steps);
  }
}

void ConnectionAdmission::Choose(const std::vector<std::size_t>& on, Actions& steps) {
  if (std::find(to_offer_.begin(), to_offer_.end(), true) != to_offer_.end()) return;
  asking_ = Asking::kNothing;
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < offers_.size(); ++i) {
    if (offers_[i] && (!best || *offers_[i] < *offers_[*best])) best = i;
  }
  // Room may have come by itself meanwhile.
  const bool wanted = (waiting_ > 0 || crowded_) && Sum(on) >= options_.max_connections;
  if (best && wanted) {
    asking_ = Asking::kRoom;
    room_of_ = *best;
    steps.emplace_back(Evict{*best});
  } else if (!best && wanted) {
    NobodyCan(steps);
  }
  Go(on, steps);
}

void ConnectionAdmission::NobodyCan(Actions& steps) {
  if (shared_) {
    // What the other process holds comes free soon.
    no_room_ = true;
  } else if (waiting_ > 0) {
    steps.emplace_back(Reject{});
    NextNewcomer();
  }
}

void ConnectionAdmission::Go(const std::vector<std::size_t>& on, Actions& steps) {
  std::size_t standing = Sum(on);
  for (; waiting_ > 0 && standing < options_.max_connections; ++standing) {
    steps.emplace_back(Admit{});
    NextNewcomer();
  }
  crowded_ = crowded_ && shared_ && standing >= options_.max_connections;
  // Each Ask() that gets nobody to ask turns one newcomer away.
  while (asking_ == Asking::kNothing && !no_room_ && (waiting_ > 0 || crowded_)) {
    Ask(on, steps);
    if (shared_) break;
  }
  const bool rest = waiting_ >= options_.max_pending || crowded_;
  if (rest && !rests_) steps.emplace_back(PauseListener{});
  if (!rest && rests_) steps.emplace_back(ResumeListener{});
  rests_ = rest;
}

ConnectionAdmission::Actions ConnectionAdmission::OnAccepted(const std::vector<std::size_t>& on) {
  Actions steps;
  ++waiting_;
  crowded_ = shared_;
  Go(on, steps);
  return steps;
}

ConnectionAdmission::Actions ConnectionAdmission::OnCandidate(std::size_t loop,
                                                              const std::optional<ConnectionValue>& offer,
                                                              const std::vector<std::size_t>& on) {
  Actions steps;
  if (asking_ != Asking::kOffers || !to_offer_[loop]) return steps;
  to_offer_[loop] = false;
  offers_[loop] = offer;
  Choose(on, steps);
  return steps;
}

ConnectionAdmission::Actions ConnectionAdmission::OnEvicted(std::size_t loop, bool made,
                                                            const std::vector<std::size_t>& on) {
  Actions steps;
  if (asking_ != Asking::kRoom || room_of_ != loop) return steps;
  asking_ = Asking::kNothing;
  // Guards against loops whose offers are always taken back: the newcomer does not wait for ever.
  if (!made && ++tries_ >= options_.max_eviction_attempts) {
    tries_ = 0;
    NobodyCan(steps);
  }
  Go(on, steps);
  return steps;
}

ConnectionAdmission::Actions ConnectionAdmission::OnClosed(const std::vector<std::size_t>& on) {
  Actions steps;
  Go(on, steps);
  return steps;
}

ConnectionAdmission::Actions ConnectionAdmission::SetMaxConnections(std::size_t most, bool shared,
                                                                    const std::vector<std::size_t>& on) {
  Actions steps;
  options_.max_connections = most;
  shared_ = shared;
  no_room_ = no_room_ && shared;
  Go(on, steps);
  return steps;
}

ConnectionAdmission::Actions ConnectionAdmission::RetryPending(const std::vector<std::size_t>& on) {
  Actions steps;
  no_room_ = false;
  Go(on, steps);
  return steps;
}

ConnectionAdmission::Actions ConnectionAdmission::SetStalled(std::size_t loop, bool hung,
                                                             const std::vector<std::size_t>& on) {
  Actions steps;
  hung_[loop] = hung;
  if (hung && asking_ == Asking::kOffers && to_offer_[loop]) {
    to_offer_[loop] = false;
    Choose(on, steps);
  } else if (hung && asking_ == Asking::kRoom && room_of_ == loop) {
    asking_ = Asking::kNothing;
    Go(on, steps);
  }
  return steps;
}

}  // namespace hingelink::decide
