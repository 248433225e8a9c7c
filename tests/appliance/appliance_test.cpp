// End-to-end tests of the appliance in which its processes are killed. Afterwards exactly one node must run,
// and the gateway stand-ins must not have counted a lost request.
#include <gtest/gtest.h>

#include "decide/supervision/supervisor.h"
#include "rig.h"
#include "state/learned_store.h"
#include "state/supervisor_state_store.h"

namespace {

using rig::Await;
using rig::json;
using rig::Rig;

std::int64_t Generation(const json& status) {
  return status["current"].is_object() ? status["current"].value("generation", 0) : 0;
}

// Expects that each request got exactly one correct response in time.
void ExpectNothingLost(const rig::standin::Account& account) {
  const auto sum = account.Sum();
  EXPECT_GT(sum.served, 0u);
  EXPECT_EQ(sum.lost, 0u);
  EXPECT_EQ(sum.unanswered, 0u);
  EXPECT_EQ(sum.wrong, 0u);
  EXPECT_EQ(sum.twice, 0u);
  EXPECT_EQ(sum.late, 0u);
}

class KilledAtStep : public testing::TestWithParam<int> {};

// Starts the node, upgrades it under load and drains it. The supervisor is killed before the action whose
// number is the parameter, and the next supervisor must continue from there.
TEST_P(KilledAtStep, NextSupervisorContinuesWithOneNodeAndNoLostRequests) {
  Rig rig;
  bool died = false;
  const auto restart_supervisor_if_dead = [&] {
    if (rig.SupervisorLives()) return;
    died = true;
    rig.StartSupervisor(true);
  };
  rig.StartSupervisor(false, GetParam());
  ASSERT_TRUE(Await([&] {
    restart_supervisor_if_dead();
    const auto status = rig.Status();
    return status && (*status)["current"].is_object() && (*status)["current"].value("ready", false);
  })) << rig.LogOf("supervisor.log");
  EXPECT_EQ(rig.Nodes().size(), 1u);
  const std::int64_t first = Generation(*rig.Status());
  rig.StartLoad(0.6);
  ASSERT_TRUE(Await([&] { return rig.Account().Sum().served > 5; }));
  ASSERT_TRUE(Await([&] {
    restart_supervisor_if_dead();
    const auto status = rig.Status();
    if (!status) return false;
    if (Generation(*status) > first && (*status)["predecessor"].is_null())
      return (*status)["current"].value("ready", false);
    if (Generation(*status) == first && (*status)["successor"].is_null()) rig.SendCommand("upgrade");
    return false;
  })) << rig.LogOf("supervisor.log");
  EXPECT_EQ(rig.Nodes().size(), 1u);
  const std::uint64_t served = rig.Account().Sum().served;
  ASSERT_TRUE(Await([&] { return rig.Account().Sum().served > served + 5; }));
  ASSERT_TRUE(Await([&] {
    restart_supervisor_if_dead();
    const auto status = rig.Status();
    if (!status) return false;
    if (status->value("phase", "") == "drained") return true;
    if (status->value("phase", "") != "draining") rig.SendCommand("drain");
    return false;
  })) << rig.LogOf("supervisor.log");
  EXPECT_TRUE(Await([&] { return rig.Nodes().empty(); }));
  rig.StopLoad();
  ExpectNothingLost(rig.Account());
  // The supervisor must have reached the action with this number, otherwise the case tests nothing.
  ASSERT_TRUE(Await([&] {
    restart_supervisor_if_dead();
    return died;
  })) << "no action of this number";
  rig.SendCommand("down");
  EXPECT_TRUE(Await([&] { return !rig.SupervisorLives(); }));
}

// A start takes 5 actions, an upgrade 6 to 8 (the old node may exit before it is requested to drain), a
// drain 3.
INSTANTIATE_TEST_SUITE_P(Steps, KilledAtStep, testing::Range(1, 15));

TEST(Appliance, KilledNodeIsRestarted) {
  Rig rig;
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  rig.StartLoad(0.5);
  ASSERT_TRUE(Await([&] { return rig.Account().Sum().served > 5; }));
  const pid_t before = rig.NodePid();
  kill(before, SIGKILL);
  ASSERT_TRUE(rig.AwaitStatus([&](const json& s) {
    return s["current"].is_object() && s["current"].value("pid", 0) != before &&
           s["current"].value("ready", false);
  }));
  const std::uint64_t served = rig.Account().Sum().served;
  EXPECT_TRUE(Await([&] { return rig.Account().Sum().served > served + 5; }));
  EXPECT_EQ(rig.Status()->value("crashes_in_row", 0), 1);
  EXPECT_EQ(rig.Nodes().size(), 1u);
}

TEST(Appliance, RestartedNodeImportsLearnedStateOfKilledNode) {
  Rig rig;
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  rig.StartLoad(0.9);
  // The node writes its first record within 5 s of learning.
  const std::string folder = rig.folder() + "/learned";
  const auto learned = [&folder]() -> std::size_t {
    const auto found = hingelink::state::LearnedStore(hingelink::state::SystemFileSystem(), folder).Load();
    return found.entry ? found.entry->record.learned.classes.size() : 0;
  };
  ASSERT_TRUE(Await([&] { return std::filesystem::exists(folder + "/learned.state") && learned() == 3; }));
  const pid_t before = rig.NodePid();
  kill(before, SIGKILL);
  ASSERT_TRUE(rig.AwaitStatus([&](const json& s) {
    return s["current"].is_object() && s["current"].value("pid", 0) != before &&
           s["current"].value("ready", false);
  }));
  bool imported = false;
  for (const char* log : {"/node-0.log", "/node-1.log"}) {
    std::ifstream file(rig.folder() + log);
    std::stringstream text;
    text << file.rdbuf();
    imported =
        imported || text.str().find("learned-imported classes=3 confidence_percent=100") != std::string::npos;
  }
  EXPECT_TRUE(imported);
}

TEST(Appliance, NodeIsStartedWithConfiguredThreadsAndPinning) {
  Rig rig;
  rig.config["threads"] = 3;
  rig.config["pin"] = true;
  rig.config["learned"] = false;
  rig.WriteConfig();
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  const std::string pid = std::to_string(rig.NodePid());
  EXPECT_EQ(rig::ProcessesWith({"serve", rig.folder(), "--threads", "--pin"}).size(), 1u);
  EXPECT_TRUE(rig::ProcessesWith({"serve", rig.folder(), "--learned"}).empty());
  std::size_t threads = 0;
  for (const auto& task : std::filesystem::directory_iterator("/proc/" + pid + "/task")) {
    std::ifstream file(task.path() / "comm");
    std::string comm;
    std::getline(file, comm);
    threads += comm.starts_with("loop-") ? 1 : 0;
  }
  EXPECT_EQ(threads, 2u);
}

TEST(Appliance, NodeKilledDuringDrainIsNotRestarted) {
  Rig rig;
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  const pid_t node = rig.NodePid();
  EXPECT_EQ(rig.SendCommand("drain"), "done");
  EXPECT_EQ(rig.SendCommand("drain"), "already");
  kill(node, SIGKILL);
  ASSERT_TRUE(rig.AwaitPhase("drained"));
  EXPECT_NE(rig.LogOf("supervisor.log").find("drain-incomplete"), std::string::npos);
  EXPECT_TRUE(rig.Nodes().empty());
  EXPECT_EQ(rig.SendCommand("up"), "done");
  ASSERT_TRUE(rig.AwaitReady());
}

TEST(Appliance, SecondSupervisorForSameStateDirectoryExits) {
  Rig rig;
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  Rig* other = &rig;
  const pid_t second = hingelink::cli::StartDetached(
      HINGELINK_TEST_SUPERVISOR, {other->folder(), other->config_path(), HINGELINK_PROGRAM, "up", "0"}, {},
      other->folder() + "/second.err");
  int status = 0;
  ASSERT_EQ(waitpid(second, &status, 0), second);
  EXPECT_EQ(WEXITSTATUS(status), 1);
  EXPECT_NE(rig.LogOf("second.err").find("another supervisor"), std::string::npos);
  EXPECT_EQ(rig.Nodes().size(), 1u);
}

// The plan file is overwritten with invalid content while a node serves and no supervisor runs. The next
// supervisor must find the node by its socket and keep it.
TEST(Appliance, DamagedPlanFileKeepsRunningNode) {
  for (const std::string& damaged :
       {std::string(), std::string("{\"format\":1,\"boo"), std::string(200, '\0')}) {
    Rig rig;
    rig.StartSupervisor(false);
    ASSERT_TRUE(rig.AwaitReady());
    const pid_t node = rig.NodePid();
    rig.KillSupervisor();
    std::ofstream(rig.folder() + "/plan.json", std::ios::trunc) << damaged;
    rig.StartSupervisor(true);
    ASSERT_TRUE(rig.AwaitReady());
    EXPECT_EQ(rig.NodePid(), node);
    EXPECT_EQ(rig.Nodes(), std::vector<pid_t>{node});
    EXPECT_TRUE(std::filesystem::exists(rig.folder() + "/plan.json.damaged"));
  }
}

// The plan file names a pid that now belongs to another program.
TEST(Appliance, ReusedPidIsNeitherAdoptedNorSignalled) {
  Rig rig;
  const pid_t other = hingelink::cli::StartDetached("/bin/sleep", {"1000"}, {}, "");
  hingelink::decide::SupervisorState plan;
  plan.desired = hingelink::decide::DesiredState::kStopped;
  plan.last_generation = 7;
  plan.current =
      hingelink::decide::Incarnation{.generation = 7, .process = {other, 1}, .ready = true, .draining = true};
  std::ofstream(rig.folder() + "/plan.json")
      << hingelink::state::SupervisorStateStore::Encode(plan, hingelink::state::BootId());
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  EXPECT_EQ(Generation(*rig.Status()), 8);
  EXPECT_EQ(kill(other, 0), 0);
  EXPECT_EQ(waitpid(other, nullptr, WNOHANG), 0);
  kill(other, SIGKILL);
  waitpid(other, nullptr, 0);
}

// The plan file is from a previous boot: its desired state stays valid, its processes do not.
TEST(Appliance, DesiredStateSurvivesReboot) {
  Rig rig;
  hingelink::decide::SupervisorState plan;
  plan.desired = hingelink::decide::DesiredState::kDrained;
  plan.last_generation = 7;
  plan.current = hingelink::decide::Incarnation{
      .generation = 7, .process = {getpid(), 1}, .ready = true, .draining = false};
  std::ofstream(rig.folder() + "/plan.json")
      << hingelink::state::SupervisorStateStore::Encode(plan, "another boot");
  rig.StartSupervisor(true);
  ASSERT_TRUE(rig.AwaitPhase("drained"));
  EXPECT_TRUE(rig.Nodes().empty());
  EXPECT_EQ(rig.SendCommand("up"), "done");
  ASSERT_TRUE(rig.AwaitReady());
  EXPECT_EQ(Generation(*rig.Status()), 8);
}

// Simulates a full disk: a directory in place of the temporary file makes every save of the plan fail.
TEST(Appliance, NodeServesWhenPlanCannotBeSaved) {
  Rig rig;
  std::filesystem::create_directory(rig.folder() + "/plan.json.new");
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  EXPECT_FALSE(rig.Status()->value("plan_saved", true));
  const pid_t node = rig.NodePid();
  // The killed supervisor leaves no plan file. The next one finds the node by its socket.
  rig.KillSupervisor();
  rig.StartSupervisor(true);
  ASSERT_TRUE(rig.AwaitReady());
  EXPECT_EQ(rig.NodePid(), node);
  std::filesystem::remove(rig.folder() + "/plan.json.new");
  EXPECT_TRUE(rig.AwaitStatus([](const json& s) { return s.value("plan_saved", false); }));
  EXPECT_EQ(rig.Nodes().size(), 1u);
}

// The successor never becomes ready, since nothing listens at its worker pool address. The current node
// continues to serve.
TEST(Appliance, UpgradeWithUnreadySuccessorRollsBackWithoutLoss) {
  Rig rig;
  rig.config["node"]["pool"][0] =
      rig::standin::OwnAddress();  // Generation 2 uses it; generation 1 uses the second.
  rig.config["supervisor"]["upgrade_within_ms"] = 700;
  rig.WriteConfig();
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  rig.StartLoad(0.6);
  ASSERT_TRUE(Await([&] { return rig.Account().Sum().served > 5; }));
  EXPECT_EQ(rig.SendCommand("upgrade"), "done");
  ASSERT_TRUE(
      rig.AwaitStatus([](const json& s) { return s.value("last_report", "") == "upgrade-rolled-back"; }));
  const std::uint64_t served = rig.Account().Sum().served;
  EXPECT_TRUE(Await([&] { return rig.Account().Sum().served > served + 20; }));
  EXPECT_EQ(Generation(*rig.Status()), 1);
  EXPECT_EQ(rig.Nodes().size(), 1u);
  rig.StopLoad();
  ExpectNothingLost(rig.Account());
}

TEST(Appliance, ReloadAppliesValidFileAndRejectsInvalidFile) {
  Rig rig;
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  const pid_t node = rig.NodePid();
  rig.config["node"]["settings"]["requestClasses"][0]["hardLimitMs"] = 1300;
  rig.WriteConfig();
  EXPECT_EQ(rig.SendCommand("reload"), "done");
  rig.config["node"]["settings"]["requestClasses"][0]["hardLimitMs"] = -1;
  rig.WriteConfig();
  EXPECT_EQ(rig.SendCommand("reload"), "reload-failed");
  EXPECT_EQ(rig.NodePid(), node);
  EXPECT_EQ(rig.Nodes().size(), 1u);
}

// A stopped process does not respond to status requests; the supervisor kills it and starts another.
TEST(Appliance, UnresponsiveNodeIsReplaced) {
  Rig rig;
  rig.config["supervisor"]["silent_looks"] = 2;
  rig.WriteConfig();
  rig.StartSupervisor(false);
  ASSERT_TRUE(rig.AwaitReady());
  const pid_t node = rig.NodePid();
  kill(node, SIGSTOP);
  EXPECT_TRUE(rig.AwaitStatus([&](const json& s) {
    return s["current"].is_object() && s["current"].value("pid", 0) != node &&
           s["current"].value("ready", false);
  }));
  EXPECT_NE(rig.LogOf("supervisor.log").find("unresponsive"), std::string::npos);
}

}  // namespace
