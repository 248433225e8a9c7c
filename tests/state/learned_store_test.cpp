// state::LearnedStore: a power cut or a failure at each file operation, and files that are damaged or newer.
#include "state/learned_store.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "recording_disk.h"

namespace hingelink::state {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

hingelink::Settings Told() {
  hingelink::Settings s;
  s.classes = {{.name = "view", .latency_objective_ms = 500, .deadline_ms = 1200},
               {.name = "save", .latency_objective_ms = 700, .deadline_ms = 1600}};
  s.cores = 4;
  return s;
}
constexpr milliseconds kThen = hours(500'000);

LearnedEntry Sample(std::uint64_t sequence) {
  hingelink::Learned learned;
  learned.classes = {{"view", 31.5 + static_cast<double>(sequence), 30, 28, 900}, {"save", 45, 44, 0, 40}};
  return {sequence, decide::MakeLearnedRecord("shire-1", kThen, Told(), learned)};
}
std::uint64_t SequenceOf(const LoadedLearned& found) { return found.entry ? found.entry->sequence : 0; }

TEST(LearnedStore, WhatIsSavedAndAppendedIsLoaded) {
  RecordingDisk disk;
  LearnedStore store(disk, "/s");
  EXPECT_FALSE(store.Load().entry);
  EXPECT_TRUE(store.snapshot_due());
  store.Save(Sample(1));
  store.Append(Sample(2));
  store.Append(Sample(3));
  const LoadedLearned found = LearnedStore(disk, "/s").Load();
  ASSERT_TRUE(found.entry);
  EXPECT_EQ(found.entry->sequence, 3u);
  EXPECT_EQ(found.log_records, 2u);
  EXPECT_TRUE(found.warnings.empty());
  const auto& c = found.entry->record.learned.classes.at(0);
  EXPECT_EQ(c.name, "view");
  EXPECT_EQ(c.run_ms, 34.5);
  EXPECT_EQ(c.samples, 900);
  EXPECT_EQ(found.entry->record.class_signatures, Sample(3).record.class_signatures);
  EXPECT_EQ(found.entry->record.recorded_at, kThen);
}

// Two lives with snapshots and records; the power may go behind any call of either.
TEST(LearnedStore, APowerCutAnywhereLeavesTheLastThatWasSaidToLastOrANewerOne) {
  RecordingDisk disk;
  std::vector<std::pair<std::size_t, std::uint64_t>>
      lasting;  // From so many calls on, this sequence at least.
  std::uint64_t sequence = 0;
  for (int life = 0; life < 2; ++life) {
    LearnedStore store(disk, "/s");
    for (int round = 0; round < 3; ++round) {
      store.Save(Sample(++sequence));
      lasting.emplace_back(disk.recorded(), sequence);
      for (int record = 0; record < 3; ++record) {
        store.Append(Sample(++sequence));
        lasting.emplace_back(disk.recorded(), sequence);
      }
    }
  }
  std::size_t states = 0, torn = 0;
  for (std::size_t count = 0; count <= disk.recorded(); ++count) {
    std::uint64_t least = 0, most = 1;
    for (const auto& [from, status] : lasting) {
      if (from <= count) least = status;
      if (from <= count) most = status + 1;
    }
    disk.EachCut(count, [&](const std::map<std::string, std::string>& files) {
      ++states;
      RecordingDisk after(files);
      LearnedStore store(after, "/s");
      const LoadedLearned found = store.Load();
      ASSERT_GE(SequenceOf(found), least) << count;
      ASSERT_LE(SequenceOf(found), most) << count;
      if (found.entry) {
        ASSERT_EQ(found.entry->record.learned.classes.at(0).run_ms,
                  31.5 + static_cast<double>(found.entry->sequence));
      }
      torn += found.truncated_bytes > 0 ? 1 : 0;
      // And the life that follows can write.
      store.Save(Sample(100));
      store.Append(Sample(101));
      ASSERT_EQ(SequenceOf(LearnedStore(after, "/s").Load()), 101u);
    });
  }
  EXPECT_GT(states, 400u);
  EXPECT_GT(torn, 10u);
}

TEST(LearnedStore, EachCallFailingInTurnLosesNothingThatWasThere) {
  int failures = 0;
  for (int call = 1; call <= 13; ++call) {
    RecordingDisk disk;
    LearnedStore store(disk, "/s");
    store.Save(Sample(1));
    store.Append(Sample(2));
    disk.calls = 0;
    disk.fail_at = call;
    std::uint64_t lasts = 2;
    try {
      store.Append(Sample(3));
      lasts = 3;
      store.Save(Sample(4));
      lasts = 4;
      store.Append(Sample(5));
      lasts = 5;
    } catch (const FileError&) {
      ++failures;
    }
    const LoadedLearned found = LearnedStore(disk, "/s").Load();
    EXPECT_GE(SequenceOf(found), lasts) << call;
    EXPECT_LE(SequenceOf(found), lasts + 1) << call;
    // What failed is tried again with a snapshot.
    disk.fail_at = 0;
    if (lasts < 5) {
      store.Save(Sample(6));
      store.Append(Sample(7));
      EXPECT_EQ(SequenceOf(LearnedStore(disk, "/s").Load()), 7u) << call;
    }
  }
  EXPECT_EQ(failures, 12);
}

TEST(LearnedStore, AFailedRecordIsNotWrittenBehind) {
  RecordingDisk disk;
  LearnedStore store(disk, "/s");
  store.Save(Sample(1));
  disk.calls = 0;
  disk.fail_at = 2;  // The record's sync.
  EXPECT_THROW(store.Append(Sample(2)), FileError);
  EXPECT_TRUE(store.snapshot_due());
  EXPECT_THROW(store.Append(Sample(3)), FileError);
}

TEST(LearnedStore, AnyChangedByteAndAnyLengthIsNoticed) {
  for (const bool record : {false, true}) {
    const std::string good = EncodeLearned(Sample(7), record);
    for (std::size_t at = 0; at < good.size(); ++at) {
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ 0x15);
      EXPECT_NE(DecodeLearned(bad, record).status, DecodedLearned::Status::kValid) << at;
      EXPECT_EQ(DecodeLearned(good.substr(0, at), record).status, DecodedLearned::Status::kTruncated) << at;
    }
    EXPECT_EQ(DecodeLearned(good, !record).status, DecodedLearned::Status::kCorrupt);
  }
}

TEST(LearnedStore, DamagedAndNewerFilesAreSetAsideAndTheOneBeforeIsUsed) {
  const std::string good = EncodeLearned(Sample(7), false);
  std::string newer = good;
  newer[8] = 9;
  RecordingDisk disk({{"/s/learned.state", newer}, {"/s/learned.state.1", good}});
  LoadedLearned found = LearnedStore(disk, "/s").Load();
  EXPECT_EQ(SequenceOf(found), 7u);
  ASSERT_EQ(found.warnings.size(), 1u);
  EXPECT_NE(found.warnings[0].find("its version is 9"), std::string::npos);
  EXPECT_TRUE(disk.Has("/s/learned.state.newer"));
  EXPECT_FALSE(disk.Has("/s/learned.state"));

  RecordingDisk bad({{"/s/learned.state", good + "x"}, {"/s/learned.state.1", good.substr(0, 40)}});
  found = LearnedStore(bad, "/s").Load();
  EXPECT_FALSE(found.entry);
  EXPECT_EQ(found.warnings.size(), 2u);
  EXPECT_TRUE(bad.Has("/s/learned.state.damaged"));
  EXPECT_TRUE(bad.Has("/s/learned.state.1.damaged"));
}

TEST(LearnedStore, TheLogIsBounded) {
  RecordingDisk disk;
  LearnedStore store(disk, "/s");
  store.Save(Sample(1));
  std::uint64_t sequence = 1;
  while (!store.snapshot_due()) store.Append(Sample(++sequence));
  EXPECT_LE(disk.Read("/s/learned.log")->size(), kMaxLogBytes + 1000);
  store.Save(Sample(++sequence));
  EXPECT_EQ(disk.Read("/s/learned.log")->size(), 0u);
  EXPECT_FALSE(store.snapshot_due());
}

RC_GTEST_PROP(LearnedStoreProperty, AnyBytesAreReadWithoutHarm, (const std::string& noise, bool record)) {
  // Behind a good head and a good check, too.
  const DecodedLearned decoded = DecodeLearned(noise, record);
  RC_ASSERT(decoded.status != DecodedLearned::Status::kValid || decoded.bytes <= noise.size());
  std::string half = EncodeLearned(Sample(1), record);
  const std::size_t at = *rc::gen::inRange<std::size_t>(0, half.size());
  half.replace(at, noise.size(), noise);
  if (half.substr(0, EncodeLearned(Sample(1), record).size()) != EncodeLearned(Sample(1), record)) {
    RC_ASSERT(DecodeLearned(half, record).status != DecodedLearned::Status::kValid);
  }
}

}  // namespace
}  // namespace hingelink::state
