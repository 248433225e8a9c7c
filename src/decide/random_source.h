// The source of random numbers for the decision logic. It is injected so that a seeded run is reproducible.
#ifndef HINGELINK_DECIDE_RANDOM_SOURCE_H_
#define HINGELINK_DECIDE_RANDOM_SOURCE_H_

#include <cstdint>
#include <functional>

namespace hingelink::decide {

// Returns the next random number, uniformly distributed over 64 bits.
using RandomSource = std::function<std::uint64_t()>;

// Returns a random number in [0, bound). If `bound` is 0, returns 0 and draws no number from the source.
[[nodiscard]] inline std::uint64_t UniformRandom(const RandomSource& random, std::uint64_t bound) {
  return bound == 0 ? 0 : random() % bound;
}

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_RANDOM_SOURCE_H_
