// Limits the number of calls to the shared upstream that this server may have in flight.
//
// The server uses a variable fraction of its quota. An upstream slows down long before it fails, so the
// fraction falls while calls take much longer than the fastest recent mean, and rises slowly otherwise. A
// quota below one call cannot be enforced by counting calls; the mean number of calls in flight over the
// quota's window is limited instead.
#ifndef HINGELINK_POLICY_UPSTREAM_CALL_LIMITER_H_
#define HINGELINK_POLICY_UPSTREAM_CALL_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "hingelink/server_policy.h"
#include "policy/moving_fraction.h"

namespace hingelink::policy {

// Not thread-safe. `settings` must outlive the object. Times in ms.
class UpstreamCallLimiter {
 public:
  // With a quota below one call, the mean number of calls in flight starts at a random value, drawn with
  // `seed`. Otherwise servers that start together would all make their first call at the same time.
  UpstreamCallLimiter(const Settings& settings, std::uint64_t seed);

  // To be called when the settings have changed.
  void Reconfigure();

  // To be called before the first and after the last start of a call in each step.
  void BeginStep(double now);
  void EndStep();

  // Whether one more call may start.
  bool MayStart() const;
  // The longest time that a call may take. With a quota below one call, one call in flight uses up its
  // allowed part of the quota in this time; otherwise kForever.
  double MaxCallMs() const;
  // Whether `waiting` calls are so many that a further call is not expected to start in time.
  bool IsSaturated(std::size_t waiting) const;

  void OnStarted() { ++in_flight_; }
  void OnEnded() { --in_flight_; }
  // To be called when a call was abandoned, rejected or lost its connection. The call continues to count as
  // in flight for Settings::abandoned_call_ms, because the upstream may still work on it.
  void OnAbandoned(double now);
  // Adapts the used fraction of the quota to the duration of a call.
  void OnOutcome(const UpstreamCallFinished& finished);

 private:
  double InFlightWithAbandoned() const;

  const Settings& settings_;
  std::deque<double> abandoned_until_;  // Until when each abandoned call counts as in flight.
  int in_flight_ = 0;                   // Calls in flight, excluding abandoned calls.
  double limit_ = 0;                    // Calls that may be in flight.
  double quota_fraction_;               // Used fraction of the quota.
  std::uint64_t outcomes_ = 0;          // Calls in mean_call_ms_.
  double mean_call_ms_ = 0;             // Mean duration of recent calls.
  double fastest_mean_ms_ = kForever;   // Lowest recent value of mean_call_ms_.
  double mean_in_flight_ = 0;           // Mean number of calls in flight over the quota's window.
  double previous_in_flight_ = 0;  // Calls in flight at the end of the previous step, with abandoned calls.
  double step_began_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_UPSTREAM_CALL_LIMITER_H_
