// The plan on the disk: each call failing in turn, the power cut behind each, and files that others left.
#include "state/supervisor_state_store.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <set>

namespace {

using namespace hingelink::state;
using hingelink::decide::DesiredState;
using hingelink::decide::Incarnation;
using hingelink::decide::SupervisorState;

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

// A disk in memory that forgets, at a power cut, all that was not synced: bytes of files, and names of
// folders. Its call number `fail_at` fails; the power goes behind call number `cut_at`.
class Disk : public FileSystem {
 public:
  int calls = 0, fail_at = 0, cut_at = 0;
  struct PowerCut {};

  std::unique_ptr<WritableFile> Create(const std::string& path) override {
    Call("open " + path);
    const int inode = ++last_inode_;
    names_[path] = inode;
    written_[inode].clear();
    After();
    return std::make_unique<File>(*this, inode);
  }
  void Rename(const std::string& from, const std::string& to) override {
    Call("rename " + from);
    names_[to] = names_.at(from);
    names_.erase(from);
    After();
  }
  void SyncDirectory(const std::string&) override {
    Call("fsync folder");
    lasting_names_ = names_;
    After();
  }
  std::optional<std::string> Read(const std::string& path) override {
    const auto it = names_.find(path);
    if (it == names_.end()) return std::nullopt;
    return written_[it->second];
  }
  // What is there when the power is back. Names that were not synced may have made it, or not; bytes that
  // were not synced are cut in half.
  void PowerBack(bool names_made_it) {
    if (!names_made_it) names_ = lasting_names_;
    for (auto& [inode, bytes] : written_) {
      if (synced_.count(inode) == 0) bytes = bytes.substr(0, bytes.size() / 2);
    }
    cut_at = fail_at = 0;
  }
  void Put(const std::string& path, const std::string& bytes) {
    const int inode = ++last_inode_;
    names_[path] = lasting_names_[path] = inode;
    written_[inode] = bytes;
    synced_.insert(inode);
  }
  bool Has(const std::string& path) const { return names_.count(path) != 0; }

 private:
  class File : public WritableFile {
   public:
    File(Disk& disk, int inode) : disk_(disk), inode_(inode) {}
    void Write(std::string_view bytes) override {
      disk_.Call("write");
      disk_.written_[inode_].append(bytes);
      disk_.After();
    }
    void Sync() override {
      disk_.Call("fsync");
      disk_.synced_.insert(inode_);
      disk_.After();
    }

   private:
    Disk& disk_;
    int inode_;
  };
  void Call(const std::string& status) {
    if (++calls == fail_at) throw FileError(status + ": No space left on device");
  }
  void After() const {
    if (calls == cut_at) throw PowerCut();
  }

  std::map<std::string, int> names_, lasting_names_;
  std::map<int, std::string> written_;
  std::set<int> synced_;
  int last_inode_ = 0;
};

TEST(SupervisorStateStore, WhatIsSavedIsLoaded) {
  Disk disk;
  SupervisorStateStore store(disk, "/s", "boot");
  EXPECT_EQ(store.Load().status, LoadedSupervisorState::Status::kAbsent);
  store.Save(Sample(4));
  const LoadedSupervisorState found = store.Load();
  EXPECT_EQ(found.status, LoadedSupervisorState::Status::kValid);
  EXPECT_EQ(found.state, Sample(4));
}

TEST(SupervisorStateStore, AnyPlanComesBackAsItWas) {
  EXPECT_TRUE(rc::check([](std::uint8_t want, std::uint64_t last, std::uint32_t crashes, bool a, bool b,
                           bool c, std::uint16_t pid, std::uint64_t ticks) {
    SupervisorState state;
    state.desired = static_cast<DesiredState>(want % 3);
    state.last_generation = last;
    state.consecutive_crashes = crashes;
    const Incarnation life{.generation = last, .process = {pid + 2, ticks}, .ready = a, .draining = b};
    if (a) state.current = life;
    if (b) state.successor = life;
    if (c) state.predecessor = life;
    RC_ASSERT(SupervisorStateStore::Decode(SupervisorStateStore::Encode(state, "x"), "x").state == state);
  }));
}

// Saves a second plan over a first, with the disk's trouble at one of the calls; then `after`. Whether it was
// saved. Whatever came of it, the old plan or the new is found.
bool SavesOver(Disk& disk, SupervisorStateStore& store, int Disk::*trouble, int call,
               const std::function<void()>& after = {}) {
  store.Save(Sample(1));
  disk.calls = 0;
  disk.*trouble = call;
  bool saved = true;
  try {
    store.Save(Sample(2));
  } catch (const FileError&) {
    saved = false;
  } catch (const Disk::PowerCut&) {
    saved = false;
  }
  if (after) after();
  const LoadedSupervisorState found = store.Load();
  EXPECT_EQ(found.status, LoadedSupervisorState::Status::kValid) << call << found.detail;
  EXPECT_TRUE(found.state == Sample(2) || (!saved && found.state == Sample(1))) << call;
  return saved;
}

TEST(SupervisorStateStore, EachCallFailingInTurnLeavesTheOldPlanOrTheNew) {
  int failed = 0;
  for (int call = 1; call <= 8; ++call) {
    Disk disk;
    SupervisorStateStore store(disk, "/s", "boot");
    failed += SavesOver(disk, store, &Disk::fail_at, call) ? 0 : 1;
    // And it can be saved again.
    disk.fail_at = 0;
    store.Save(Sample(3));
    EXPECT_EQ(store.Load().state, Sample(3));
  }
  EXPECT_EQ(failed, 5);  // open, write, fsync, rename, fsync of the folder.
}

TEST(SupervisorStateStore, APowerCutBehindEachCallLeavesTheOldPlanOrTheNew) {
  int cuts = 0;
  for (int call = 1; call <= 16; ++call) {
    Disk disk;
    SupervisorStateStore store(disk, "/s", "boot");
    const auto back = [&disk, call] { disk.PowerBack(call > 8); };
    cuts += SavesOver(disk, store, &Disk::cut_at, (call - 1) % 8 + 1, back) ? 0 : 1;
  }
  EXPECT_EQ(cuts, 10);
}

TEST(SupervisorStateStore, AnyChangedByteIsNoticedAndTheFileIsSetAside) {
  const std::string good = SupervisorStateStore::Encode(Sample(4), "boot");
  int noticed = 0;
  for (std::size_t at = 0; at < good.size(); ++at) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 0x15);
    Disk disk;
    disk.Put("/s/plan.json", bad);
    const LoadedSupervisorState found = SupervisorStateStore(disk, "/s", "boot").Load();
    // White space between the words is no part of the plan.
    const bool same = found.status == LoadedSupervisorState::Status::kValid && found.state == Sample(4);
    if (!same) {
      ASSERT_NE(found.status, LoadedSupervisorState::Status::kValid) << at;
      EXPECT_EQ(found.state, SupervisorState{}) << at;
      ++noticed;
    }
  }
  EXPECT_GT(noticed, static_cast<int>(good.size()) / 2);
  for (std::size_t size = 0; size + 2 < good.size(); ++size) {
    Disk disk;
    disk.Put("/s/plan.json", good.substr(0, size));
    EXPECT_EQ(SupervisorStateStore(disk, "/s", "boot").Load().status, LoadedSupervisorState::Status::kCorrupt)
        << size;
    EXPECT_TRUE(disk.Has("/s/plan.json.damaged"));
    EXPECT_FALSE(disk.Has("/s/plan.json"));
  }
}

TEST(SupervisorStateStore, OfAnotherBootOnlyWhatWasWantedHolds) {
  Disk disk;
  SupervisorStateStore(disk, "/s", "yesterday").Save(Sample(4));
  const LoadedSupervisorState found = SupervisorStateStore(disk, "/s", "today").Load();
  EXPECT_EQ(found.status, LoadedSupervisorState::Status::kPreviousBoot);
  EXPECT_FALSE(found.state.current);
  EXPECT_FALSE(found.state.successor);
  EXPECT_EQ(found.state.desired, DesiredState::kServing);
  EXPECT_EQ(found.state.last_generation, 4u);
}

TEST(SupervisorStateStore, ANewerFormatIsSetAsideAndNeverGuessedAt) {
  Disk disk;
  disk.Put("/s/plan.json", R"({"format":2,"want":"serve"})");
  const LoadedSupervisorState found = SupervisorStateStore(disk, "/s", "boot").Load();
  EXPECT_EQ(found.status, LoadedSupervisorState::Status::kUnsupportedVersion);
  EXPECT_TRUE(disk.Has("/s/plan.json.newer"));
}

TEST(SupervisorStateStore, APidThatCannotBeOneIsDamage) {
  for (const std::int64_t pid : {std::int64_t{-5}, std::int64_t{1}, std::int64_t{1} << 40}) {
    SupervisorState state = Sample(1);
    state.current->process.pid = pid;
    EXPECT_THROW(SupervisorStateStore::Decode(SupervisorStateStore::Encode(state, "b"), "b"),
                 std::runtime_error);
  }
}

}  // namespace
