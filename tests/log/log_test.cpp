// Tests the log: line formats, limits, rotation, and behaviour when the disk is full or blocked.
#include "log/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <climits>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "cli/process.h"

namespace {

namespace log = hingelink::log;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

struct Log : testing::Test {
  ~Log() override { log::Configure({}); }
  hingelink::cli::TemporaryFolder folder;
  std::string path = folder.path() + "/x.log";
};

TEST_F(Log, WritesTextLinesWithKeysAndValues) {
  log::Configure({.file = path});
  log::Info("connection-end", {{"id", 7}, {"reason", "silent"}, {"open", std::size_t{0}}, {"yes", true}});
  log::Info("module", {{"", "stall: no run moves on"}});
  log::Close();
  const std::string text = ReadFile(path);
  EXPECT_NE(text.find(" connection-end id=7 reason=silent open=0 yes=yes\n"), std::string::npos) << text;
  EXPECT_NE(text.find(" module stall: no run moves on\n"), std::string::npos) << text;
  EXPECT_EQ(text.find_first_not_of("0123456789"), text.find(' '));
}

TEST_F(Log, WritesValidJson) {
  log::Configure({.json = true, .file = path});
  log::Warn("reload-failed", {{"what", "a \"b\"\n\xff"}, {"count", -3}});
  log::Close();
  const auto line = nlohmann::json::parse(ReadFile(path));
  EXPECT_EQ(line["event"], "reload-failed");
  EXPECT_EQ(line["level"], "warning");
  EXPECT_EQ(line["what"], "a \"b\"\\x0a\\xff");
  EXPECT_EQ(line["count"], -3);
  EXPECT_GT(line["ts"].get<std::int64_t>(), 1'700'000'000'000);
}

TEST_F(Log, EscapesControlCharactersInValues) {
  log::Configure({.file = path});
  log::Info("x", {{"v", std::string("a\nb\x1b[2J\0c\r", 10)}});
  log::Close();
  const std::string text = ReadFile(path);
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
  EXPECT_NE(text.find("a\\x0ab\\x1b[2J\\x00c\\x0d"), std::string::npos) << text;
}

TEST_F(Log, OmitsEventsBelowLevel) {
  log::Configure({.level = log::Level::kWarning, .file = path, .recent = 4});
  log::Info("no");
  log::Warn("yes");
  log::SetLevel(log::Level::kDebug);
  log::Event(log::Level::kDebug, "now");
  EXPECT_EQ(log::RecentLines().size(), 2u);
  for (int i = 0; i < 10; ++i) log::Info("more", {{"i", i}});
  EXPECT_EQ(log::RecentLines().size(), 4u);
  EXPECT_NE(log::RecentLines().back().find("i=9"), std::string::npos);
  log::Close();
  EXPECT_EQ(ReadFile(path).find(" no\n"), std::string::npos);
}

TEST_F(Log, RotatesFilesAndLimitsTheirNumber) {
  log::Configure({.file = path, .rotate_bytes = 4096, .keep = 2});
  for (int i = 0; i < 2000; ++i) {
    log::Info("line", {{"i", i}, {"fill", std::string(80, 'x')}});
    if (i % 100 == 0) std::this_thread::yield();
  }
  log::Close();
  std::uintmax_t bytes = 0;
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder.path())) {
    bytes += entry.file_size();
    ++files;
  }
  EXPECT_EQ(files, 3);
  EXPECT_LE(bytes, 3u * 4096 + 300);
}

// Every write fails because the disk is full. The log must count the lost lines, and the caller must neither
// block nor fail.
TEST_F(Log, CountsLostLinesWhenDiskIsFull) {
  if (!std::filesystem::exists("/dev/full")) GTEST_SKIP();
  std::filesystem::create_symlink("/dev/full", path);
  log::Configure({.file = path, .rotate_bytes = 1 << 30});
  const auto lost_before = log::LostLineCount();
  for (int i = 0; i < 20; ++i) log::Info("line", {{"i", i}});
  log::Close();
  EXPECT_GE(log::LostLineCount() - lost_before, 20u);
}

// The log file is a pipe without an active reader, so writes block as on a stalled disk. The log must drop
// the oldest queued lines, and each call must return without waiting.
TEST_F(Log, DropsQueuedLinesWithoutBlockingWhenDiskStalls) {
  ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
  const int reader = open(path.c_str(), O_RDONLY | O_NONBLOCK);
  log::Configure({.file = path, .rotate_bytes = 1 << 30});
  const auto lost_before = log::LostLineCount();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 20'000; ++i) log::Info("line", {{"i", i}, {"fill", std::string(100, 'x')}});
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(10));
  EXPECT_GT(log::LostLineCount() - lost_before, 10'000u);
  // Read the pipe, so that the log can write the queued lines and close.
  std::atomic<bool> closed{false};
  std::thread pipe_reader([&] {
    char bytes[65536];
    while (!closed) {
      if (read(reader, bytes, sizeof bytes) <= 0) std::this_thread::yield();
    }
  });
  log::Close();
  closed = true;
  pipe_reader.join();
  close(reader);
}

// A pipe in place of standard error, full and unread until Read() is called.
class UnreadStandardError {
 public:
  UnreadStandardError() {
    EXPECT_EQ(pipe2(ends_, O_CLOEXEC), 0);
    fcntl(ends_[1], F_SETFL, O_NONBLOCK);
    const std::string filler(PIPE_BUF, 'x');
    while (write(ends_[1], filler.data(), filler.size()) > 0) filled_ += filler.size();
    fcntl(ends_[1], F_SETFL, 0);
    dup2(ends_[1], STDERR_FILENO);
  }
  ~UnreadStandardError() {
    dup2(saved_, STDERR_FILENO);
    for (const int fd : {ends_[0], ends_[1], saved_}) close(fd);
  }
  // Returns the next bytes behind those that filled the pipe, until the pipe is empty.
  std::string Read() {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char bytes[65536];
    for (ssize_t size = 0; (size = read(ends_[0], bytes, sizeof bytes)) > 0;)
      text.append(bytes, static_cast<std::size_t>(size));
    const std::size_t filler = std::min(filled_, text.size());
    filled_ -= filler;
    return text.substr(filler);
  }

 private:
  int saved_ = dup(STDERR_FILENO);
  int ends_[2] = {-1, -1};
  std::size_t filled_ = 0;
};

// Guards against an event loop that stops, and answers no caller, while nobody reads its standard error.
TEST_F(Log, ReturnsWithoutWaitingWhileStandardErrorIsUnread) {
  UnreadStandardError standard_error;
  log::Configure({});
  std::atomic<int> written{0};
  std::thread writer([&written] {
    for (; written < 10; ++written) log::Info("line", {{"i", written.load()}});
  });
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (written < 10 && std::chrono::steady_clock::now() < deadline) std::this_thread::yield();
  EXPECT_EQ(written, 10);
  std::string text = standard_error.Read();  // Also lets a writer go on that waits.
  writer.join();
  // The queued lines follow once the pipe is read, in their order.
  log::Info("line", {{"i", 10}});
  text += standard_error.Read();
  for (int i = 0; i < 10; ++i)
    EXPECT_LT(text.find("line i=" + std::to_string(i) + '\n'),
              text.find("line i=" + std::to_string(i + 1) + '\n'))
        << i;
}

// Guards against a queue that grows as long as nobody reads standard error.
TEST_F(Log, DropsTheOldestLinesWhileStandardErrorIsUnread) {
  UnreadStandardError standard_error;
  log::Configure({});
  const auto lost_before = log::LostLineCount();
  std::atomic<bool> done{false};
  std::thread writer([&done] {
    for (int i = 0; i < 20'000; ++i) log::Info("line", {{"i", i}, {"fill", std::string(100, 'x')}});
    done = true;
  });
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!done && std::chrono::steady_clock::now() < deadline) std::this_thread::yield();
  EXPECT_TRUE(done);
  EXPECT_GT(log::LostLineCount() - lost_before, 10'000u);
  while (!done) standard_error.Read();
  writer.join();
  standard_error.Read();
}

}  // namespace
