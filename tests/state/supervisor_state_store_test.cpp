// state::SupervisorStateStore: a power cut or a failure at each file operation, and files that are damaged,
// of a newer format or of another boot.
#include "state/supervisor_state_store.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "recording_disk.h"

namespace hingelink::state {
namespace {

using decide::DesiredState;
using decide::Incarnation;
using decide::SupervisorState;
using Files = std::map<std::string, std::string>;
using Status = LoadedSupervisorState::Status;

constexpr char kDirectory[] = "/s";
constexpr char kPath[] = "/s/plan.json";
constexpr char kBoot[] = "boot";

SupervisorState Sample(std::uint64_t generation) {
  SupervisorState state;
  state.desired = DesiredState::kServing;
  state.last_generation = generation;
  state.current =
      Incarnation{.generation = generation, .process = {1234, 99}, .ready = true, .draining = false};
  state.successor =
      Incarnation{.generation = generation + 1, .process = {1235, 100}, .ready = false, .draining = true};
  state.consecutive_crashes = 3;
  return state;
}

LoadedSupervisorState LoadFrom(RecordingDisk& disk) {
  return SupervisorStateStore(disk, kDirectory, kBoot).Load();
}

TEST(SupervisorStateStore, LoadReportsAbsentIfNothingWasSaved) {
  RecordingDisk disk;
  EXPECT_EQ(LoadFrom(disk).status, Status::kAbsent);
}

TEST(SupervisorStateStore, ASavedStateIsLoaded) {
  RecordingDisk disk;
  SupervisorStateStore(disk, kDirectory, kBoot).Save(Sample(4));
  const LoadedSupervisorState loaded = LoadFrom(disk);
  EXPECT_EQ(loaded.status, Status::kValid);
  EXPECT_EQ(loaded.state, Sample(4));
}

TEST(SupervisorStateStore, AnyStateIsDecodedAsItWasEncoded) {
  EXPECT_TRUE(
      rc::check([](std::uint8_t desired, std::uint64_t generation, std::uint32_t crashes, bool has_current,
                   bool has_successor, bool has_predecessor, std::uint16_t pid, std::uint64_t ticks) {
        SupervisorState state;
        state.desired = static_cast<DesiredState>(desired % 3);
        state.last_generation = generation;
        state.consecutive_crashes = crashes;
        const Incarnation incarnation{.generation = generation,
                                      .process = {pid + 2, ticks},
                                      .ready = has_current,
                                      .draining = has_successor};
        if (has_current) state.current = incarnation;
        if (has_successor) state.successor = incarnation;
        if (has_predecessor) state.predecessor = incarnation;
        RC_ASSERT(SupervisorStateStore::Decode(SupervisorStateStore::Encode(state, "x"), "x").state == state);
      }));
}

// ---- Failures ----

// Saves Sample(1) and then Sample(2), during which file operation number `call` fails. Returns whether the
// second save succeeded.
bool SaveWithFailure(RecordingDisk& disk, SupervisorStateStore& store, int call) {
  store.Save(Sample(1));
  disk.calls = 0;
  disk.fail_at = call;
  try {
    store.Save(Sample(2));
  } catch (const FileError&) {
    return false;
  }
  return true;
}

TEST(SupervisorStateStore, AFailedSaveLeavesTheOldStateOrTheNewOne) {
  int failures = 0;
  for (int call = 1; call <= 8; ++call) {
    RecordingDisk disk;
    SupervisorStateStore store(disk, kDirectory, kBoot);
    const bool saved = SaveWithFailure(disk, store, call);
    failures += saved ? 0 : 1;
    const LoadedSupervisorState loaded = store.Load();
    EXPECT_EQ(loaded.status, Status::kValid) << call << loaded.detail;
    EXPECT_TRUE(loaded.state == Sample(2) || (!saved && loaded.state == Sample(1))) << call;
  }
  EXPECT_EQ(failures, 5);  // open, write, fsync, rename, fsync of the directory.
}

TEST(SupervisorStateStore, AStateIsSavedAfterAFailedSave) {
  for (int call = 1; call <= 8; ++call) {
    RecordingDisk disk;
    SupervisorStateStore store(disk, kDirectory, kBoot);
    SaveWithFailure(disk, store, call);
    disk.fail_at = 0;
    store.Save(Sample(3));
    EXPECT_EQ(store.Load().state, Sample(3)) << call;
  }
}

TEST(SupervisorStateStore, APowerCutAfterAnyOperationLeavesTheOldStateOrTheNewOne) {
  RecordingDisk disk;
  SupervisorStateStore store(disk, kDirectory, kBoot);
  store.Save(Sample(1));
  const std::size_t first_saved = disk.recorded();
  store.Save(Sample(2));
  const std::size_t second_saved = disk.recorded();
  ASSERT_EQ(second_saved - first_saved, 5u);
  std::size_t old_states = 0;
  std::size_t new_states = 0;
  for (std::size_t count = first_saved; count <= second_saved; ++count) {
    disk.EachCut(count, [&](const Files& files) {
      RecordingDisk after(files);
      const LoadedSupervisorState loaded = LoadFrom(after);
      ASSERT_EQ(loaded.status, Status::kValid) << count << loaded.detail;
      const bool is_old = loaded.state == Sample(1) && count < second_saved;
      ASSERT_TRUE(is_old || loaded.state == Sample(2)) << count;
      ++(is_old ? old_states : new_states);
    });
  }
  EXPECT_GT(old_states, 10u);
  EXPECT_GT(new_states, 3u);
}

// ---- Damaged files and files of other versions ----

TEST(SupervisorStateStore, AChangedByteIsNeverLoadedAsAnotherState) {
  const std::string valid = SupervisorStateStore::Encode(Sample(4), kBoot);
  int rejected = 0;
  for (std::size_t at = 0; at < valid.size(); ++at) {
    std::string changed = valid;
    changed[at] = static_cast<char>(changed[at] ^ 0x15);
    RecordingDisk disk(Files{{kPath, changed}});
    const LoadedSupervisorState loaded = LoadFrom(disk);
    // A change of white space between the tokens does not change the state.
    if (loaded.status == Status::kValid && loaded.state == Sample(4)) continue;
    ASSERT_NE(loaded.status, Status::kValid) << at;
    EXPECT_EQ(loaded.state, SupervisorState{}) << at;
    ++rejected;
  }
  EXPECT_GT(rejected, static_cast<int>(valid.size()) / 2);
}

TEST(SupervisorStateStore, ATruncatedFileIsCorruptAndRenamed) {
  const std::string valid = SupervisorStateStore::Encode(Sample(4), kBoot);
  for (std::size_t size = 0; size + 2 < valid.size(); ++size) {
    RecordingDisk disk(Files{{kPath, valid.substr(0, size)}});
    EXPECT_EQ(LoadFrom(disk).status, Status::kCorrupt) << size;
    EXPECT_TRUE(disk.Has("/s/plan.json.damaged"));
    EXPECT_FALSE(disk.Has(kPath));
  }
}

TEST(SupervisorStateStore, AStateOfAPreviousBootHoldsNoProcesses) {
  RecordingDisk disk;
  SupervisorStateStore(disk, kDirectory, "yesterday").Save(Sample(4));
  const LoadedSupervisorState loaded = SupervisorStateStore(disk, kDirectory, "today").Load();
  EXPECT_EQ(loaded.status, Status::kPreviousBoot);
  EXPECT_FALSE(loaded.state.current);
  EXPECT_FALSE(loaded.state.successor);
  EXPECT_EQ(loaded.state.desired, DesiredState::kServing);
  EXPECT_EQ(loaded.state.last_generation, 4u);
}

TEST(SupervisorStateStore, AFileOfANewerFormatIsUnsupportedAndRenamed) {
  RecordingDisk disk(Files{{kPath, R"({"format":2,"want":"serve"})"}});
  EXPECT_EQ(LoadFrom(disk).status, Status::kUnsupportedVersion);
  EXPECT_TRUE(disk.Has("/s/plan.json.newer"));
}

TEST(SupervisorStateStore, APidOutOfRangeIsCorrupt) {
  for (const std::int64_t pid : {std::int64_t{-5}, std::int64_t{1}, std::int64_t{1} << 40}) {
    SupervisorState state = Sample(1);
    state.current->process.pid = pid;
    const std::string text = SupervisorStateStore::Encode(state, kBoot);
    EXPECT_THROW((void)SupervisorStateStore::Decode(text, kBoot), CorruptSupervisorState);
  }
}

}  // namespace
}  // namespace hingelink::state
