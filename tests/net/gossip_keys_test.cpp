// The file of keys: what is accepted, and what the errors name.
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
  // Whether a file with this text and mode is accepted: the text of the error, or "none".
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

TEST_F(GossipKeysTest, NamesTheLineThatIsNoKey) {
  EXPECT_EQ(ErrorOf(key_ + "12\n"), path_ + " line 2: not a key; expected 64 hexadecimal digits");
}

TEST_F(GossipKeysTest, RejectsMoreThanTwoKeys) {
  EXPECT_EQ(ErrorOf(key_ + GenerateGossipKey() + GenerateGossipKey()),
            path_ + ": 3 keys; expected one key, or two during a key replacement");
}

TEST_F(GossipKeysTest, SaysHowToMakeAKeyIfThereIsNone) {
  EXPECT_NE(ErrorOf("").find("hingelink fleet key"), std::string::npos);
}

TEST_F(GossipKeysTest, RejectsAFileThatOthersMayRead) {
  EXPECT_NE(ErrorOf(key_, 0644).find("expected mode 0600"), std::string::npos);
}

TEST_F(GossipKeysTest, RejectsAFileThatIsMissing) {
  std::filesystem::remove(path_);
  EXPECT_THROW(ReadGossipKeys(path_), GossipKeyError);
}

}  // namespace
}  // namespace hingelink::net
