// Access to the fixtures in tests/compatibility/fixtures, which version 0.3.0 of the program wrote.
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

// Expects `bytes` to equal the contents of the fixture. If the environment variable HINGELINK_RECORD_FIXTURES
// is set, writes the fixture instead and fails the test, so that a recording run cannot pass as a test run.
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
