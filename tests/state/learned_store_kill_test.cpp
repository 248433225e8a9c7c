// state::LearnedStore on a real directory, with a writer process that is killed during its writes.
// HINGELINK_KILLS sets how often.
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

LearnedEntry Entry(std::uint64_t sequence) {
  hingelink::Learned learned;
  // Many classes, so that a write takes a while.
  for (int i = 0; i < 60; ++i) {
    learned.classes.push_back({"class-" + std::to_string(i), static_cast<double>(sequence), 1, 1, 5});
  }
  return {sequence, decide::MakeLearnedRecord("shire-1", std::chrono::hours(1), {}, learned)};
}

// Writes until it is killed; sends the sequence number of each durable entry.
[[noreturn]] void Write(const std::string& directory, int durable_pipe) {
  LearnedStore store(SystemFileSystem(), directory);
  const LoadedLearned loaded = store.Load();
  std::uint64_t sequence = loaded.entry ? loaded.entry->sequence : 0;
  for (;;) {
    const LearnedEntry entry = Entry(++sequence);
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
  std::mt19937_64 draw(20261201);
  int truncated = 0;
  int ahead = 0;
  std::uint64_t durable = 0;
  for (int kill_number = 0; kill_number < kills; ++kill_number) {
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const pid_t writer = fork();
    ASSERT_GE(writer, 0);
    if (writer == 0) {
      close(ends[0]);
      Write(directory, ends[1]);
    }
    close(ends[1]);
    for (std::uint64_t count = 1 + draw() % 6; count > 0; --count) {
      ASSERT_EQ(read(ends[0], &durable, sizeof durable), static_cast<ssize_t>(sizeof durable));
    }
    // A random time into the next write.
    for (std::uint64_t spin = draw() % 400'000; spin > 0; --spin) asm volatile("");
    ASSERT_EQ(kill(writer, SIGKILL), 0);
    ASSERT_EQ(waitpid(writer, nullptr, 0), writer);
    while (read(ends[0], &durable, sizeof durable) == static_cast<ssize_t>(sizeof durable)) {
    }
    close(ends[0]);
    LearnedStore store(SystemFileSystem(), directory);
    const LoadedLearned loaded = store.Load();
    ASSERT_TRUE(loaded.entry) << kill_number;
    ASSERT_GE(loaded.entry->sequence, durable);
    ASSERT_LE(loaded.entry->sequence, durable + 1);
    for (const LearnedClass& learned : loaded.entry->record.learned.classes) {
      ASSERT_EQ(learned.run_ms, static_cast<double>(loaded.entry->sequence));
    }
    // Only an incomplete record at the end of the log is allowed.
    for (const std::string& note : loaded.warnings) ASSERT_TRUE(note.starts_with("learned.log: ")) << note;
    truncated += loaded.truncated_bytes > 0 ? 1 : 0;
    ahead += loaded.entry->sequence > durable ? 1 : 0;
  }
  std::printf("%d kills: %d left half a record, %d an entry whose sequence number had not arrived yet\n",
              kills, truncated, ahead);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace hingelink::state
