// Random draws of a soak run, reproducible by the seed.
#ifndef HINGELINK_TESTS_SOAK_DRAW_H_
#define HINGELINK_TESTS_SOAK_DRAW_H_

#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

namespace hingelink::soak {

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : generator_(seed, kStream) {}

  // Uniform in [0, 1).
  double Fraction() { return static_cast<double>(generator_() >> 11) * 0x1.0p-53; }
  double Between(double low, double high) { return low + (high - low) * Fraction(); }
  // Uniform in [low, high].
  int Int(int low, int high) {
    return low + static_cast<int>(generator_() % static_cast<std::uint64_t>(high - low + 1));
  }
  bool Chance(double probability) { return Fraction() < probability; }
  template <typename T>
  const T& OneOf(const std::vector<T>& values) {
    return values[generator_() % values.size()];
  }

 private:
  static constexpr std::uint64_t kStream = 21;
  pcg64 generator_;
};

}  // namespace hingelink::soak

#endif  // HINGELINK_TESTS_SOAK_DRAW_H_
