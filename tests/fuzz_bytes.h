// Bytes for fuzz targets in builds without libFuzzer: seeds with a few changes, the same in every run.
#ifndef HINGELINK_TESTS_FUZZ_BYTES_H_
#define HINGELINK_TESTS_FUZZ_BYTES_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace fuzz {

inline constexpr int kInputs = 30'000;

inline void Inputs(const std::vector<std::string>& seeds,
                   const std::function<void(const std::string&)>& take) {
  std::mt19937_64 draw(20261201);
  for (int i = 0; i < kInputs; ++i) {
    std::string bytes = seeds[draw() % seeds.size()];
    for (std::uint64_t changes = draw() % 6; changes > 0 && !bytes.empty(); --changes) {
      const std::size_t at = draw() % bytes.size();
      switch (draw() % 4) {
        case 0:
          bytes[at] = static_cast<char>(draw());
          break;
        case 1:
          bytes.erase(at, 1 + draw() % 8);
          break;
        case 2:
          bytes.insert(at, 1 + draw() % 8, static_cast<char>(draw()));
          break;
        default:
          bytes[at] = static_cast<char>(bytes[at] ^ 1 << draw() % 8);
      }
    }
    take(bytes);
  }
}

}  // namespace fuzz

#endif  // HINGELINK_TESTS_FUZZ_BYTES_H_
