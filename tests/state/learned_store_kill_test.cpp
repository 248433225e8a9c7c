// state::LearnedStore in a real directory, with a writer process that is killed at random times. After each
// kill, the store must load the last durable entry or the next one. HINGELINK_KILLS sets the number of kills.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <string>

#include "state/learned_store.h"

namespace hingelink::state {
namespace {

LearnedEntry MakeEntry(std::uint64_t sequence) {
  hingelink::Learned learned;
  // Many classes make a write take longer, so that a kill is more likely to interrupt it.
  for (int i = 0; i < 60; ++i) {
    learned.classes.push_back({"class-" + std::to_string(i), static_cast<double>(sequence), 1, 1, 5});
  }
  return {sequence, decide::MakeLearnedRecord("shire-1", std::chrono::hours(1), {}, learned)};
}

// Writes entries until the process is killed. Writes the sequence number of each durable entry to the pipe.
[[noreturn]] void WriteUntilKilled(const std::string& directory, int durable_pipe) {
  LearnedStore store(SystemFileSystem(), directory);
  const LoadedLearned loaded = store.Load();
  std::uint64_t sequence = loaded.entry ? loaded.entry->sequence : 0;
  for (;;) {
    const LearnedEntry entry = MakeEntry(++sequence);
    if (store.snapshot_due() || sequence % 5 == 0) {
      store.WriteSnapshot(entry);
    } else {
      store.AppendRecord(entry);
    }
    if (write(durable_pipe, &sequence, sizeof sequence) != sizeof sequence) _exit(1);
  }
}

TEST(LearnedStore, AKilledWriterLeavesEveryDurableEntryReadable) {
  const char* kills_text = std::getenv("HINGELINK_KILLS");
  const int kills = kills_text != nullptr ? std::atoi(kills_text) : 60;
  char name[] = "/tmp/hingelink.kill.XXXXXX";
  const std::string directory = mkdtemp(name);
  std::mt19937_64 random(20261201);
  int truncated = 0;
  int newer_than_reported = 0;
  std::uint64_t durable = 0;
  for (int kill_number = 0; kill_number < kills; ++kill_number) {
    int pipe_fds[2];
    ASSERT_EQ(pipe(pipe_fds), 0);
    const pid_t writer = fork();
    ASSERT_GE(writer, 0);
    if (writer == 0) {
      close(pipe_fds[0]);
      WriteUntilKilled(directory, pipe_fds[1]);
    }
    close(pipe_fds[1]);
    for (std::uint64_t count = 1 + random() % 6; count > 0; --count) {
      ASSERT_EQ(read(pipe_fds[0], &durable, sizeof durable), static_cast<ssize_t>(sizeof durable));
    }
    // Waits for a random time, so that the kill hits any stage of the next write.
    for (std::uint64_t spin = random() % 400'000; spin > 0; --spin) asm volatile("");
    ASSERT_EQ(kill(writer, SIGKILL), 0);
    ASSERT_EQ(waitpid(writer, nullptr, 0), writer);
    while (read(pipe_fds[0], &durable, sizeof durable) == static_cast<ssize_t>(sizeof durable)) {
    }
    close(pipe_fds[0]);
    LearnedStore store(SystemFileSystem(), directory);
    const LoadedLearned loaded = store.Load();
    ASSERT_TRUE(loaded.entry) << kill_number;
    ASSERT_GE(loaded.entry->sequence, durable);
    ASSERT_LE(loaded.entry->sequence, durable + 1);
    for (const LearnedClass& learned : loaded.entry->record.learned.classes) {
      ASSERT_EQ(learned.run_ms, static_cast<double>(loaded.entry->sequence));
    }
    // Only an incomplete record at the end of the log is allowed.
    for (const std::string& warning : loaded.warnings)
      ASSERT_TRUE(warning.starts_with("learned.log: ")) << warning;
    truncated += loaded.truncated_bytes > 0 ? 1 : 0;
    newer_than_reported += loaded.entry->sequence > durable ? 1 : 0;
  }
  std::printf(
      "%d kills: %d left an incomplete record, %d left an entry whose sequence number had not been "
      "received\n",
      kills, truncated, newer_than_reported);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace hingelink::state
