// Key files: which are accepted, and the error texts for the others.
#include "net/gossip_keys.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "cli/process.h"

namespace hingelink::net {
namespace {

class GossipKeysTest : public testing::Test {
 protected:
  // Returns the error text for a key file with this content and mode, or "none" if the file is accepted.
  std::string ErrorOf(const std::string& text, mode_t mode = 0600) {
    std::ofstream(path_) << text;
    chmod(path_.c_str(), mode);
    try {
      ReadGossipKeys(path_);
      return "none";
    } catch (const GossipKeyError& error) {
      EXPECT_EQ(error.path(), path_);
      return error.what();
    }
  }

  cli::TemporaryFolder folder_;
  std::string path_ = folder_.path() + "/keys";
  std::string key_ = GenerateGossipKey();
};

TEST_F(GossipKeysTest, AcceptsOneKeyOrTwo) {
  EXPECT_EQ(ErrorOf(key_), "none");
  EXPECT_EQ(ErrorOf("# the old one\n" + key_ + GenerateGossipKey()), "none");
}

TEST_F(GossipKeysTest, ErrorNamesTheLineThatIsNotAKey) {
  EXPECT_EQ(ErrorOf(key_ + "12\n"), path_ + " line 2: not a key; expected 64 hexadecimal digits");
}

TEST_F(GossipKeysTest, RejectsMoreThanTwoKeys) {
  EXPECT_EQ(ErrorOf(key_ + GenerateGossipKey() + GenerateGossipKey()),
            path_ + ": 3 keys; expected one key, or two during a key replacement");
}

TEST_F(GossipKeysTest, ErrorForAFileWithoutKeysNamesTheCommandThatCreatesOne) {
  EXPECT_NE(ErrorOf("").find("hingelink fleet key"), std::string::npos);
}

TEST_F(GossipKeysTest, RejectsAFileThatOthersCanRead) {
  EXPECT_NE(ErrorOf(key_, 0644).find("expected mode 0600"), std::string::npos);
}

TEST_F(GossipKeysTest, RejectsAMissingFile) {
  std::filesystem::remove(path_);
  EXPECT_THROW(ReadGossipKeys(path_), GossipKeyError);
}

}  // namespace
}  // namespace hingelink::net
