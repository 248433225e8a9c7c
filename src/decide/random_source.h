// Where the decisions take their random numbers from, so that a seed reproduces a run.
#ifndef HINGELINK_DECIDE_RANDOM_SOURCE_H_
#define HINGELINK_DECIDE_RANDOM_SOURCE_H_

#include <cstdint>
#include <functional>

namespace hingelink::decide {

// Returns the next random number, uniformly distributed over 64 bits.
using RandomSource = std::function<std::uint64_t()>;

// A number in [0, bound). Takes none from the source and returns 0 if `bound` is 0.
[[nodiscard]] inline std::uint64_t UniformRandom(const RandomSource& random, std::uint64_t bound) {
  return bound == 0 ? 0 : random() % bound;
}

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_RANDOM_SOURCE_H_
