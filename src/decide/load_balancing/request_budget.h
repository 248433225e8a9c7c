// Limits an activity, such as retries, to a fraction of the requests.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_REQUEST_BUDGET_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_REQUEST_BUDGET_H_

#include <algorithm>

namespace hingelink::decide {

// A token bucket that is refilled by requests instead of by time. Unused tokens accumulate up to a maximum.
// Not thread-safe.
class RequestBudget {
 public:
  // Each request adds `tokens_per_request`, up to `max_tokens`.
  RequestBudget(double tokens_per_request, double max_tokens, double initial_tokens)
      : tokens_per_request_(tokens_per_request), max_tokens_(max_tokens), tokens_(initial_tokens) {}

  void OnRequest() { tokens_ = std::min(tokens_ + tokens_per_request_, max_tokens_); }
  [[nodiscard]] bool has_token() const { return tokens_ >= 1; }
  // Takes one token. To be called only if has_token().
  void Consume() { tokens_ -= 1; }

 private:
  double tokens_per_request_;
  double max_tokens_;
  double tokens_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_REQUEST_BUDGET_H_
