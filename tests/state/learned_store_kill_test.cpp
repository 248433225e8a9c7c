// A writer that is killed in the middle, again and again, on a real folder. HINGELINK_KILLS sets how often.
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

// Writes until it is killed; tells each entry that lasts.
[[noreturn]] void Write(const std::string& directory, int tell) {
  LearnedStore store(SystemFileSystem(), directory);
  const LoadedLearned found = store.Load();
  std::uint64_t sequence = found.entry ? found.entry->sequence : 0;
  for (;;) {
    const LearnedEntry entry = Entry(++sequence);
    if (store.snapshot_due() || sequence % 5 == 0) {
      store.Save(entry);
    } else {
      store.Append(entry);
    }
    if (write(tell, &sequence, sizeof sequence) != sizeof sequence) _exit(1);
  }
}

TEST(LearnedStore, AWriterKilledInTheMiddleLeavesNothingCorrupt) {
  const char* wanted = std::getenv("HINGELINK_KILLS");
  const int kills = wanted != nullptr ? std::atoi(wanted) : 60;
  char name[] = "/tmp/hingelink.kill.XXXXXX";
  const std::string directory = mkdtemp(name);
  std::mt19937_64 draw(20261201);
  int torn = 0, ahead = 0;
  std::uint64_t told = 0;
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
      ASSERT_EQ(read(ends[0], &told, sizeof told), static_cast<ssize_t>(sizeof told));
    }
    // A little into the next write, each time elsewhere.
    for (std::uint64_t spin = draw() % 400'000; spin > 0; --spin) asm volatile("");
    ASSERT_EQ(kill(writer, SIGKILL), 0);
    ASSERT_EQ(waitpid(writer, nullptr, 0), writer);
    while (read(ends[0], &told, sizeof told) == static_cast<ssize_t>(sizeof told)) {
    }
    close(ends[0]);
    LearnedStore store(SystemFileSystem(), directory);
    const LoadedLearned found = store.Load();
    ASSERT_TRUE(found.entry) << kill_number;
    ASSERT_GE(found.entry->sequence, told);
    ASSERT_LE(found.entry->sequence, told + 1);
    for (const auto& c : found.entry->record.learned.classes) {
      ASSERT_EQ(c.run_ms, static_cast<double>(found.entry->sequence));
    }
    // Half a record at the log's end is all that may be found wrong.
    for (const std::string& note : found.warnings) ASSERT_TRUE(note.starts_with("learned.log: ")) << note;
    torn += found.truncated_bytes > 0 ? 1 : 0;
    ahead += found.entry->sequence > told ? 1 : 0;
  }
  std::printf("%d kills: %d left half a record, %d an entry that had not been told yet\n", kills, torn,
              ahead);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace hingelink::state
