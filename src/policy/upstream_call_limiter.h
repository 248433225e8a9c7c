// How many calls to the shared upstream this server may have in flight.
//
// The server uses a variable fraction of its quota: an upstream slows down long before it fails, so the
// fraction falls while calls take much longer than the fastest recent mean, and rises slowly otherwise. A
// quota below one call cannot be kept by a count; there the mean number of calls in flight over the quota's
// window is limited instead.
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
  // With a quota below one call each server starts somewhere in its window, drawn by `seed`: servers that
  // started together would otherwise all make their first call at once.
  UpstreamCallLimiter(const Settings& settings, std::uint64_t seed);

  // The settings have changed.
  void Reconfigure();

  // Begins and ends the starts of one step.
  void BeginStep(double now);
  void EndStep();

  // Whether one more call may start, and how long it may take: kForever, or the time until one call in flight
  // uses up a quota below one.
  bool MayStart() const;
  double MaxCallMs() const;
  // Whether so many calls wait that another one has no prospect of starting in time.
  bool IsSaturated(std::size_t waiting) const;

  void OnStarted() { ++in_flight_; }
  void OnEnded() { --in_flight_; }
  // A call was abandoned, broke or was rejected: it occupies the upstream for a while longer.
  void OnAbandoned(double now);
  // Adapts the fraction of the quota by the time that a call took.
  void OnOutcome(const UpstreamCallFinished& finished);

 private:
  double InFlightWithAbandoned() const;

  const Settings& settings_;
  std::deque<double> abandoned_until_;
  int in_flight_ = 0;
  double limit_ = 0;  // Calls in flight.
  double quota_fraction_;
  std::uint64_t outcomes_ = 0;
  double mean_call_ms_ = 0;  // Of recent calls.
  double fastest_mean_ms_ = kForever;
  double mean_in_flight_ = 0;  // Over the quota's window.
  double in_flight_before_ = 0;
  double step_began_at_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_UPSTREAM_CALL_LIMITER_H_
