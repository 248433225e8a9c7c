// Jobs on their helper thread, and what a node learned from one life to the next.
#include "background/learned_state_persister.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>

#include "../node/gate.h"
#include "../node/scripted_peers.h"
#include "log/log.h"
#include "net/handover.h"
#include "recording_disk.h"
#include "standin/host.h"

namespace hingelink::background {
namespace {

using namespace std::chrono_literals;
using peers::Gate;
using peers::Gateway;

Job JobOf(const char* name, std::function<JobResult(const std::atomic<bool>&)> work, bool final_run = false) {
  Job job;
  job.spec = {.name = name, .priority = 1, .hung_after = decide::JobTime(1), .run_on_drain = final_run};
  job.prepare = [work = std::move(work)](bool) { return work; };
  return job;
}
void Turn(event_base* base, const std::function<bool()>& until) {
  const auto end = net::Steady::now() + 40s;
  while (!until() && net::Steady::now() < end) event_base_loop(base, EVLOOP_ONCE);
}
// Since the start of the process: other tests may have said it, too, where several run in one.
std::ptrdiff_t TimesSaid(const std::string& what) {
  const std::vector<std::string> lines = log::Recent();
  return std::count_if(lines.begin(), lines.end(),
                       [&what](const std::string& line) { return line.find(what) != std::string::npos; });
}
bool Said(const std::string& what) { return TimesSaid(what) > 0; }

class Loop : public testing::Test {
 protected:
  Loop() {
    log::Options log;
    log.recent = 256;
    log::Configure(log);
  }
  net::BasePtr base = net::MakeBase();
  JobRunner::NodeConditions calm{.under_pressure = [] { return false; }, .draining = [] { return false; }};
};
using RunnerTest = Loop;
using KeeperTest = Loop;

TEST_F(RunnerTest, ACallThatHangsHoldsUpNeitherTheLoopNorTheEnd) {
  auto gate = std::make_shared<Gate>();
  int ticks = 0;
  net::Timer tick(base.get(), [&] {
    ++ticks;
    tick.After(1ms);
  });
  tick.After(1ms);
  {
    std::vector<Job> jobs;
    jobs.push_back(JobOf("snapshot", [gate](const std::atomic<bool>&) {
      gate->Wait();
      return JobResult{};
    }));
    JobRunner runner(base.get(), {}, std::move(jobs), calm);
    runner.RequestRun("snapshot");
    Turn(base.get(), [&] { return gate->waiting() && ticks > 20 && Said("background-stuck job=snapshot"); });
    EXPECT_GT(ticks, 20);
    EXPECT_TRUE(Said("background-stuck job=snapshot"));
    EXPECT_EQ(runner.JobReports()[0].stats.state, decide::JobState::kRunning);
    runner.Finish(5ms);
    EXPECT_TRUE(Said("background-left-behind"));
  }
  gate->Open();
}

TEST_F(RunnerTest, AFailureIsToldAndTriedAgain) {
  std::vector<Job> jobs;
  auto runs = std::make_shared<std::atomic<int>>(0);
  jobs.push_back(JobOf("clean", [runs](const std::atomic<bool>&) -> JobResult {
    if (++*runs == 1) throw state::FileError("write", "x", ENOSPC);
    return {};
  }));
  decide::JobSchedulerOptions options;
  options.initial_backoff = decide::JobTime(1);
  JobRunner runner(base.get(), options, std::move(jobs), calm);
  runner.RequestRun("clean");
  Turn(base.get(), [&] { return runner.JobReports()[0].stats.runs == 2 && *runs == 2; });
  EXPECT_EQ(runner.JobReports()[0].stats.failures, 1u);
  EXPECT_TRUE(Said("background-failed job=clean"));
}

TEST_F(RunnerTest, TheLastChanceIsGivenOnceAtTheEnd) {
  auto lasts = std::make_shared<std::atomic<int>>(0);
  std::vector<Job> jobs(1);
  jobs[0].spec = {.name = "snapshot", .run_on_drain = true};
  jobs[0].prepare = [lasts](bool final_run) {
    return [lasts, final_run](const std::atomic<bool>&) {
      *lasts += final_run ? 1 : 0;
      return JobResult{};
    };
  };
  JobRunner runner(base.get(), {}, std::move(jobs), calm);
  runner.Finish(40s);
  runner.Finish(40s);
  EXPECT_EQ(*lasts, 1);
}

// A node on scripted peers whose files are on the disk given.
class Life {
 public:
  // `shared`: where processes of this node take over from each other; empty: none does.
  Life(state::FileSystem& files, const std::string& directory, const std::string& shared = {})
      : node_(
            node::ParseConfig(json_), [this] { return node::ParseConfig(json_); }, shared),
        keeper_(node_, files, {.directory = directory, .record_interval = 20ms}),
        thread_([this] {
          node_.Run();
          keeper_.Finish();
        }),
        link_(pool_, 0) {
    link_.Bound();
  }
  ~Life() { End(); }
  void End() {
    if (!thread_.joinable()) return;
    assert(kill(getpid(), SIGTERM) == 0);
    thread_.join();
  }
  // Once it has ended: what its module knew.
  Learned Knew() {
    End();
    return node_.ExportLearned();
  }
  std::string Figures() const { return peers::Get(node_.admin_port(), "/ops/stats"); }
  void Serve(int count) {
    Gateway gateway(node_.port());
    for (int i = 1; i <= count; ++i) {
      char req[17];
      std::snprintf(req, sizeof req, "%016x", ++req_);
      gateway.Write(Gateway::Request(static_cast<std::uint32_t>(i), req, "body"));
      assert(link_.Command() == std::string("spawn ") + req + " order-lodge 4");
      link_.Finish(++notice_, req, "complete", "result");
      gateway.ReadAnswer(static_cast<std::uint32_t>(i), 0);
    }
  }

 private:
  peers::Listener pool_, registry_;
  std::string json_ = peers::RunningNode::Json(pool_, registry_, 600, 1024);
  node::Node node_;
  LearnedStatePersister keeper_;
  std::thread thread_;
  peers::PoolLink link_;
  int notice_ = 0;
  unsigned req_ = 0;
};

TEST_F(KeeperTest, WhatOneLifeLearnedTheNextBeginsWith) {
  char name[] = "/tmp/hingelink.keeper.XXXXXX";
  const std::string directory = mkdtemp(name);
  state::RecordingDisk disk;
  { Life(disk, directory).Serve(40); }
  state::LoadedLearned found = state::LearnedStore(disk, directory).Load();
  ASSERT_TRUE(found.entry);
  ASSERT_EQ(found.entry->record.learned.classes.size(), 1u);
  EXPECT_EQ(found.entry->record.learned.classes[0].name, "order-lodge");
  EXPECT_EQ(found.entry->record.learned.classes[0].samples, 41);
  const std::uint64_t before = found.entry->sequence;
  { Life(disk, directory).Serve(3); }
  EXPECT_TRUE(Said("learned-taken classes=1 faith_percent=100"));
  found = state::LearnedStore(disk, directory).Load();
  // 12 at most are taken over, and three are new.
  EXPECT_EQ(found.entry->record.learned.classes[0].samples, 15);
  EXPECT_GT(found.entry->sequence, before);
  std::filesystem::remove_all(directory);
}

TEST_F(KeeperTest, TheSecondAddressHasFiguresOfEachJob) {
  char name[] = "/tmp/hingelink.keeper.XXXXXX";
  const std::string directory = mkdtemp(name);
  state::RecordingDisk disk;
  Life life(disk, directory);
  life.Serve(20);
  std::string figures;
  for (const auto end = net::Steady::now() + 40s; net::Steady::now() < end;) {
    figures = life.Figures();
    const std::size_t at = figures.find("edge_node_background_runs{job=\"record\"} ");
    if (at != std::string::npos && figures[at + 40] != '0') break;
  }
  EXPECT_NE(figures.find("edge_node_calls{tier=\"order-lodge\",code=\"success\"} 20\n"), std::string::npos);
  EXPECT_NE(figures.find("# TYPE edge_node_background_bytes counter\n"), std::string::npos);
  EXPECT_NE(figures.find("edge_node_background_runs{job=\"snapshot\"} 0\n"), std::string::npos);
  EXPECT_EQ(figures.find("edge_node_background_runs{job=\"record\"} 0\n"), std::string::npos);
  std::filesystem::remove_all(directory);
}

TEST_F(KeeperTest, ADiskThatIsFullIsLoggedAndTheNodeServes) {
  char name[] = "/tmp/hingelink.keeper.XXXXXX";
  const std::string directory = mkdtemp(name);
  state::RecordingDisk disk;
  disk.fail_at = 1;
  { Life(disk, directory).Serve(20); }
  EXPECT_TRUE(Said("background-failed job="));
  std::filesystem::remove_all(directory);
}

TEST_F(KeeperTest, AFolderThatCannotBeIsLoggedAndTheNodeServes) {
  { Life(state::SystemFileSystem(), "/proc/no/such/folder").Serve(20); }
  EXPECT_TRUE(Said("background-failed job=snapshot"));
}

TEST_F(KeeperTest, OfTwoProcessesOneWritesAndTheOtherGoesOnBehindIt) {
  char name[] = "/tmp/hingelink.keeper.XXXXXX";
  const std::string directory = mkdtemp(name);
  state::RecordingDisk disk;
  state::LearnedStore other(disk, directory);
  {
    const std::ptrdiff_t failures = TimesSaid("background-failed");
    auto held = state::DirectoryLock::TryAcquire(directory + "/learned.lock");
    ASSERT_TRUE(held);
    { Life(disk, directory).Serve(20); }
    EXPECT_FALSE(other.Load().entry);
    // To wait for the other is no failure.
    EXPECT_EQ(TimesSaid("background-failed"), failures);
    // The next one begins, and then the other, which still has the lock, writes for the last time.
    Life next(disk, directory);
    other.WriteSnapshot({500, decide::MakeLearnedRecord("n3", 0ms, {}, {})});
    held.reset();
    next.Serve(20);
  }
  const state::LoadedLearned found = other.Load();
  ASSERT_TRUE(found.entry);
  EXPECT_GT(found.entry->sequence, 500u);
  EXPECT_EQ(found.entry->record.learned.classes.size(), 1u);
  std::filesystem::remove_all(directory);
}

// ---- Over the handover channel, with a real node on one side of it ----

class HandoverOfLearned : public KeeperTest {
 protected:
  HandoverOfLearned() {
    char name[] = "/tmp/hingelink.handover.XXXXXX";
    directory = mkdtemp(name);
    std::filesystem::create_directory(directory + "/state");
  }
  ~HandoverOfLearned() override { std::filesystem::remove_all(directory); }
  static net::Handover::Events Deaf() {
    return {.successor_ready = [] {},
            .successor_lost = [] {},
            .load = [] {},
            .learned = [] { return std::vector<proto::LearnedClassMessage>(); },
            .predecessor_learned = [](const proto::LearnedClassMessage&) {}};
  }

  std::string directory;
  state::RecordingDisk disk;
};

TEST_F(HandoverOfLearned, ANodeTellsItsSuccessorWhatItHasLearned) {
  Life predecessor(disk, directory + "/state", directory);
  predecessor.Serve(40);
  std::vector<proto::LearnedClassMessage> heard;
  net::Handover::Events events = Deaf();
  events.predecessor_learned = [&heard](const proto::LearnedClassMessage& line) { heard.push_back(line); };
  net::Handover successor(base.get(), directory, std::move(events));
  ASSERT_GE(successor.TakeListener().get(), 0);
  Turn(base.get(), [&] { return !heard.empty(); });
  ASSERT_EQ(heard.size(), 1u);
  EXPECT_EQ(heard[0].name, "order-lodge");
  EXPECT_EQ(heard[0].deadline_ms, 4900);
  EXPECT_EQ(heard[0].samples, 41);
}

TEST_F(HandoverOfLearned, ANodeBeginsWithWhatItsPredecessorKnowsRatherThanTheFolder) {
  node::Config told = node::ParseConfig(peers::RunningNode::Json({}, {}, 600, 1024));
  const auto known = [](double run) {
    Learned learned;
    learned.classes = {{"order-lodge", run, run, 300, 100}};
    return learned;
  };
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  state::LearnedStore(disk, directory + "/state")
      .WriteSnapshot({1, decide::MakeLearnedRecord("n3", now, told.settings, known(111))});
  // The predecessor: its listener, and then its lines, one of them of a class that was told otherwise.
  const net::Descriptor listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  ASSERT_EQ(listen(listener.get(), 8), 0);
  standin::Host host;
  std::optional<net::Handover> predecessor;
  host.Do([&] {
    net::Handover::Events events = Deaf();
    events.learned = [] {
      return std::vector<proto::LearnedClassMessage>{{"order-lodge", 2000, 4900, 222, 222, 300, 100},
                                                     {"usage-view", 1500, 9999, 333, 333, 300, 100}};
    };
    predecessor.emplace(host.base(), directory, std::move(events));
    predecessor->Offer(listener.get());
  });
  {
    Life successor(disk, directory + "/state", directory);
    const Learned knew = successor.Knew();
    ASSERT_EQ(knew.classes.size(), 1u);
    EXPECT_EQ(knew.classes[0].name, "order-lodge");
    EXPECT_EQ(knew.classes[0].run_ms, 222);
    EXPECT_EQ(knew.classes[0].samples, 12);
  }
  host.Do([&] { predecessor.reset(); });
}

}  // namespace
}  // namespace hingelink::background
