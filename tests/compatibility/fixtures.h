// Fixtures: bytes that version 0.3.0 of the program wrote, kept in tests/compatibility/fixtures.
#ifndef HINGELINK_TESTS_COMPATIBILITY_FIXTURES_H_
#define HINGELINK_TESTS_COMPATIBILITY_FIXTURES_H_

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace compatibility {

inline std::string FixturePath(const std::string& name) {
  return std::string(HINGELINK_SOURCE_DIR "/tests/compatibility/fixtures/") + name;
}

inline std::string ReadFixture(const std::string& name) {
  std::ifstream file(FixturePath(name), std::ios::binary);
  EXPECT_TRUE(file) << FixturePath(name) << " cannot be read";
  return {std::istreambuf_iterator<char>(file), {}};
}

// Expects that `bytes` are those of the fixture. With HINGELINK_RECORD_FIXTURES set they are written instead,
// and the test fails, so that a recording run is never taken for a passed one.
inline void ExpectFixture(const std::string& name, const std::string& bytes) {
  if (std::getenv("HINGELINK_RECORD_FIXTURES") != nullptr) {
    std::ofstream(FixturePath(name), std::ios::binary) << bytes;
    ADD_FAILURE() << name << " recorded";
    return;
  }
  EXPECT_EQ(bytes, ReadFixture(name)) << name;
}

}  // namespace compatibility

#endif  // HINGELINK_TESTS_COMPATIBILITY_FIXTURES_H_
