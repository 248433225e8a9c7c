#include "decide/learned/learned_state_import.h"

#include <gtest/gtest.h>

#include <limits>

namespace hingelink::decide {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr milliseconds kRecordedAt = hours(500'000);
constexpr char kNodeName[] = "shire-1";

Settings TwoClasses() {
  Settings settings;
  settings.classes = {{.name = "view", .latency_objective_ms = 500, .deadline_ms = 1200},
                      {.name = "save", .latency_objective_ms = 700, .deadline_ms = 1600}};
  settings.cores = 4;
  return settings;
}

LearnedRecord TwoLearnedClasses() {
  Learned learned;
  learned.classes = {{"view", 32.5, 30, 28, 900}, {"save", 45, 44, 0, 40}};
  return MakeLearnedRecord(kNodeName, kRecordedAt, TwoClasses(), learned);
}

LearnedImport ImportAfter(milliseconds age, const LearnedRecord& record = TwoLearnedClasses(),
                          const Settings& settings = TwoClasses()) {
  return ImportLearnedRecord(record, kNodeName, kRecordedAt + age, settings);
}

TEST(LearnedStateImport, NewRecordIsImportedWithTheMaximumNumberOfSamples) {
  const LearnedImport imported = ImportAfter(milliseconds(0));
  ASSERT_EQ(imported.learned.classes.size(), 2u);
  EXPECT_EQ(imported.confidence, 1);
  EXPECT_EQ(imported.learned.classes[0].samples, 12);
}

TEST(LearnedStateImport, SamplesHalveWithEachHalfLife) {
  EXPECT_EQ(ImportAfter(hours(72)).learned.classes.at(0).samples, 6);
  EXPECT_EQ(ImportAfter(hours(144)).learned.classes.at(0).samples, 3);
}

TEST(LearnedStateImport, RecordOfThreeWeeksIsNotImported) {
  EXPECT_TRUE(ImportAfter(hours(21 * 24)).learned.classes.empty());
}

TEST(LearnedStateImport, RecordDatedInTheFutureIsImportedWithTheWeightOfAnOldRecord) {
  const LearnedImport imported = ImportAfter(-hours(1));
  EXPECT_EQ(imported.learned.classes.at(0).samples, 3);
  ASSERT_EQ(imported.skipped.size(), 1u);
  EXPECT_NE(imported.skipped[0].find("ahead of the clock"), std::string::npos);
}

TEST(LearnedStateImport, TheRecordOfAnotherNodeIsNotImported) {
  const LearnedImport imported =
      ImportLearnedRecord(TwoLearnedClasses(), "shire-2", kRecordedAt, TwoClasses());
  EXPECT_TRUE(imported.learned.classes.empty());
  EXPECT_EQ(imported.confidence, 0);
}

TEST(LearnedStateImport, ClassWhoseConfigurationChangedOrThatWasRemovedIsSkipped) {
  Settings changed = TwoClasses();
  changed.classes[0].deadline_ms = 2000;
  changed.classes[1].name = "other";
  const LearnedImport imported = ImportAfter(milliseconds(0), TwoLearnedClasses(), changed);
  EXPECT_TRUE(imported.learned.classes.empty());
  EXPECT_EQ(imported.skipped.size(), 2u);
}

constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinity = std::numeric_limits<double>::infinity();

TEST(LearnedStateImport, AClassThatFailsTheSanityCheckIsSkipped) {
  const LearnedClass implausible[] = {
      {"view", kNan, 1, 1, 9}, {"view", kInfinity, 1, 1, 9}, {"view", -1, -2, 1, 9},
      {"view", 10, 11, 1, 9},  {"view", 10, 9, kNan, 9},     {"view", 10, 9, 1, 0},
      {"view", 10, 9, 1, -5},  {"view", 1e300, 9, 1, 5},     {"", 10, 9, 1, 5}};
  for (const LearnedClass& learned : implausible) {
    LearnedRecord record = TwoLearnedClasses();
    record.learned.classes[0] = learned;
    const LearnedImport imported = ImportAfter(milliseconds(0), record);
    ASSERT_EQ(imported.learned.classes.size(), 1u);
    EXPECT_EQ(imported.learned.classes[0].name, "save");
    EXPECT_FALSE(SanityCheckFailure(learned).empty());
  }
}

}  // namespace
}  // namespace hingelink::decide
