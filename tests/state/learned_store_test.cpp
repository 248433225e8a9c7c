// state::LearnedStore: a power cut or a failure at each file operation, and files that are damaged or written
// by a newer version.
#include "state/learned_store.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "learned_samples.h"
#include "recording_disk.h"

namespace hingelink::state {
namespace {

std::uint64_t SequenceOf(const LoadedLearned& loaded) { return loaded.entry ? loaded.entry->sequence : 0; }

TEST(LearnedStore, TheLastRecordAfterASnapshotIsLoaded) {
  RecordingDisk disk;
  LearnedStore store(disk, "/s");
  EXPECT_FALSE(store.Load().entry);
  EXPECT_TRUE(store.snapshot_due());
  store.WriteSnapshot(Sample(1));
  store.AppendRecord(Sample(2));
  store.AppendRecord(Sample(3));
  const LoadedLearned loaded = LearnedStore(disk, "/s").Load();
  ASSERT_TRUE(loaded.entry);
  EXPECT_EQ(loaded.entry->sequence, 3u);
  EXPECT_EQ(loaded.log_records, 2u);
  EXPECT_TRUE(loaded.warnings.empty());
  const LearnedClass& learned = loaded.entry->record.learned.classes.at(0);
  EXPECT_EQ(learned.name, "view");
  EXPECT_EQ(learned.run_ms, 34.5);
  EXPECT_EQ(learned.samples, 900);
  EXPECT_EQ(loaded.entry->record.class_signatures, Sample(3).record.class_signatures);
  EXPECT_EQ(loaded.entry->record.recorded_at, kRecordedAt);
}

TEST(LearnedStore, APowerCutAfterAnyOperationLeavesTheLastDurableEntryOrANewerOne) {
  RecordingDisk disk;
  // The number of operations after which an entry is durable, and its sequence number.
  std::vector<std::pair<std::size_t, std::uint64_t>> durable;
  std::uint64_t sequence = 0;
  for (int incarnation = 0; incarnation < 2; ++incarnation) {
    LearnedStore store(disk, "/s");
    for (int round = 0; round < 3; ++round) {
      store.WriteSnapshot(Sample(++sequence));
      durable.emplace_back(disk.recorded(), sequence);
      for (int record = 0; record < 3; ++record) {
        store.AppendRecord(Sample(++sequence));
        durable.emplace_back(disk.recorded(), sequence);
      }
    }
  }
  std::size_t states = 0;
  std::size_t truncated_logs = 0;
  for (std::size_t count = 0; count <= disk.recorded(); ++count) {
    std::uint64_t min_sequence = 0;
    std::uint64_t max_sequence = 1;
    for (const auto& [from, durable_sequence] : durable) {
      if (from > count) continue;
      min_sequence = durable_sequence;
      max_sequence = durable_sequence + 1;
    }
    disk.EachCut(count, [&](const std::map<std::string, std::string>& files) {
      ++states;
      RecordingDisk after(files);
      LearnedStore store(after, "/s");
      const LoadedLearned loaded = store.Load();
      ASSERT_GE(SequenceOf(loaded), min_sequence) << count;
      ASSERT_LE(SequenceOf(loaded), max_sequence) << count;
      if (loaded.entry) {
        ASSERT_EQ(loaded.entry->record.learned.classes.at(0).run_ms,
                  31.5 + static_cast<double>(loaded.entry->sequence));
      }
      truncated_logs += loaded.truncated_bytes > 0 ? 1 : 0;
      // The next incarnation can write to the store.
      store.WriteSnapshot(Sample(100));
      store.AppendRecord(Sample(101));
      ASSERT_EQ(SequenceOf(LearnedStore(after, "/s").Load()), 101u);
    });
  }
  EXPECT_GT(states, 400u);
  EXPECT_GT(truncated_logs, 10u);
}

TEST(LearnedStore, AFailureOfAnyOperationLosesNoDurableEntry) {
  int failures = 0;
  for (int call = 1; call <= 13; ++call) {
    RecordingDisk disk;
    LearnedStore store(disk, "/s");
    store.WriteSnapshot(Sample(1));
    store.AppendRecord(Sample(2));
    disk.calls = 0;
    disk.fail_at = call;
    std::uint64_t durable = 2;
    try {
      store.AppendRecord(Sample(3));
      durable = 3;
      store.WriteSnapshot(Sample(4));
      durable = 4;
      store.AppendRecord(Sample(5));
      durable = 5;
    } catch (const FileError&) {
      ++failures;
    }
    const LoadedLearned loaded = LearnedStore(disk, "/s").Load();
    EXPECT_GE(SequenceOf(loaded), durable) << call;
    EXPECT_LE(SequenceOf(loaded), durable + 1) << call;
    // After a failed write, the next entry is written as a snapshot.
    disk.fail_at = 0;
    if (durable < 5) {
      store.WriteSnapshot(Sample(6));
      store.AppendRecord(Sample(7));
      EXPECT_EQ(SequenceOf(LearnedStore(disk, "/s").Load()), 7u) << call;
    }
  }
  EXPECT_EQ(failures, 12);
}

TEST(LearnedStore, NothingIsAppendedAfterAFailedRecord) {
  RecordingDisk disk;
  LearnedStore store(disk, "/s");
  store.WriteSnapshot(Sample(1));
  disk.calls = 0;
  disk.fail_at = 2;  // The sync of the record.
  EXPECT_THROW(store.AppendRecord(Sample(2)), FileError);
  EXPECT_TRUE(store.snapshot_due());
  EXPECT_THROW(store.AppendRecord(Sample(3)), FileError);
}

TEST(LearnedStore, ASnapshotOfANewerVersionIsRenamedAndThePreviousOneIsLoaded) {
  const std::string valid = EncodeLearned(Sample(7), LearnedFrameKind::kSnapshot);
  std::string newer = valid;
  newer[8] = 9;  // The version.
  RecordingDisk disk({{"/s/learned.state", newer}, {"/s/learned.state.1", valid}});
  const LoadedLearned loaded = LearnedStore(disk, "/s").Load();
  EXPECT_EQ(SequenceOf(loaded), 7u);
  ASSERT_EQ(loaded.warnings.size(), 1u);
  EXPECT_NE(loaded.warnings[0].find("version 9 is not supported"), std::string::npos);
  EXPECT_TRUE(disk.Has("/s/learned.state.newer"));
  EXPECT_FALSE(disk.Has("/s/learned.state"));
}

TEST(LearnedStore, DamagedSnapshotsAreRenamed) {
  const std::string valid = EncodeLearned(Sample(7), LearnedFrameKind::kSnapshot);
  RecordingDisk disk({{"/s/learned.state", valid + "x"}, {"/s/learned.state.1", valid.substr(0, 40)}});
  const LoadedLearned loaded = LearnedStore(disk, "/s").Load();
  EXPECT_FALSE(loaded.entry);
  EXPECT_EQ(loaded.warnings.size(), 2u);
  EXPECT_TRUE(disk.Has("/s/learned.state.damaged"));
  EXPECT_TRUE(disk.Has("/s/learned.state.1.damaged"));
}

TEST(LearnedStore, TheLogIsBounded) {
  RecordingDisk disk;
  LearnedStore store(disk, "/s");
  store.WriteSnapshot(Sample(1));
  std::uint64_t sequence = 1;
  while (!store.snapshot_due()) store.AppendRecord(Sample(++sequence));
  EXPECT_LE(disk.Read("/s/learned.log")->size(), kMaxLogBytes + 1000);
  store.WriteSnapshot(Sample(++sequence));
  EXPECT_EQ(disk.Read("/s/learned.log")->size(), 0u);
  EXPECT_FALSE(store.snapshot_due());
}

}  // namespace
}  // namespace hingelink::state
