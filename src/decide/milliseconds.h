// The time unit of the decision logic: fractional milliseconds.
#ifndef HINGELINK_DECIDE_MILLISECONDS_H_
#define HINGELINK_DECIDE_MILLISECONDS_H_

#include <chrono>

namespace hingelink::decide {

// A duration, or a point in time on the node's monotonic clock, whose origin is arbitrary.
using Milliseconds = std::chrono::duration<double, std::milli>;

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MILLISECONDS_H_
