// The deploy file's `run` against what the platform's page refuses, seen from outside; and the guard itself
// against planted faults. HINGELINK_GUARDED names the folder of the build that is looked at.
#include "guard.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "cli/process.h"
#include "cli/sample_config.h"
#include "standin/gateways.h"
#include "standin/host.h"
#include "standin/own_address.h"
#include "standin/pool.h"
#include "standin/registry.h"

namespace guard {
namespace {

namespace fs = std::filesystem;
namespace standin = hingelink::standin;
using namespace std::chrono_literals;

bool Await(const std::function<bool()>& holds) {
  const auto until = std::chrono::steady_clock::now() + 40s;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

std::string Read(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The value of a key of the deploy file.
std::string Deploy(const std::string& key) {
  const std::string text = Read(HINGELINK_SOURCE_DIR "/deploy/balancer.toml");
  const std::size_t at = text.find("\n" + key + " = \"");
  const std::size_t from = text.find('"', at) + 1;
  return at == std::string::npos ? std::string() : text.substr(from, text.find('"', from) - from);
}

// One run of a program by the deploy file's command: start, service, SIGHUP, drain, end.
struct Seen {
  std::vector<std::string> wrong;
  std::set<std::string> libraries;
  std::size_t threads = 0, processes = 0;
  std::multiset<std::string> sockets;
  std::string listen;
  standin::ClassAccount account;
  int status = -1;
};

Seen Observe(const std::string& program, const std::string& planted = {}, bool shared_folder = true) {
  Seen seen;
  const hingelink::cli::TemporaryFolder folder;
  fs::create_directories(folder.path() + "/build");
  fs::create_directories(folder.path() + "/shared");
  fs::create_symlink(program, folder.path() + "/build/hingelink");
  standin::Host host;
  std::optional<standin::Pool> pool;
  std::optional<standin::Registry> registry;
  std::optional<standin::Gateways> gateways;
  host.Do([&] {
    pool.emplace(host.base(), standin::PoolOptions{});
    registry.emplace(host.base(), standin::RegistryOptions{});
  });
  hingelink::cli::Sample sample;
  sample.listen = seen.listen = standin::OwnAddress();
  sample.pool = pool->address(0);
  sample.registry = registry->address();
  sample.stop_ms = 1000;
  std::ofstream(folder.path() + "/node.json") << hingelink::cli::SampleConfig(sample).dump();
  const std::string trace = folder.path() + "/trace", log = folder.path() + "/log";
  const std::string filter = TraceFilter();
  const pid_t tracer = fork();
  if (tracer == 0) {
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (chdir(folder.path().c_str()) != 0) _exit(126);
    setenv("NODE_CONFIG", (folder.path() + "/node.json").c_str(), 1);
    setenv("PLANTED", planted.c_str(), 1);
    shared_folder ? setenv("TMPDIR", (folder.path() + "/shared").c_str(), 1) : unsetenv("TMPDIR");
    execlp("strace", "strace", "-f", "-qq", "-e", filter.c_str(), "-o", trace.c_str(), "/bin/sh", "-c",
           Deploy("run").c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  // Serves: its program has replaced the shell, and a request has been answered.
  pid_t node = 0;
  const auto load = [&](int seconds_hundredths) {
    host.Do([&] {
      standin::GatewaysOptions options;
      options.targets = {seen.listen};
      options.classes = hingelink::cli::SampleLoad();
      options.rate = 200;
      options.length = standin::Millis(seconds_hundredths * 10);
      options.retries = 1;
      options.seed = static_cast<std::uint64_t>(gateways ? 2 : 1);
      gateways.emplace(host.base(), options);
    });
    EXPECT_TRUE(Await([&] {
      bool idle = false;
      host.Do([&] { idle = gateways->idle(); });
      return idle;
    }));
    host.Do([&] {
      const standin::ClassAccount sum = gateways->account().Sum();
      seen.account.requests += sum.requests;
      seen.account.good += sum.good;
      seen.account.wrong += sum.wrong + sum.lost + sum.unanswered + sum.twice;
    });
  };
  EXPECT_TRUE(Await([&] {
    std::uint64_t reports = 0;
    host.Do([&] { reports = registry->reports(); });
    return reports > 0;
  })) << Read(log);
  const std::vector<pid_t> started = Descendants(tracer);
  if (started.size() == 1) {
    node = started[0];
    load(30);
    if (!planted.empty()) {
      kill(node, SIGUSR2);
      // Until the call has been made: it is in the trace, or its effect in /proc.
      load(30);
    }
    const auto look = [&] {
      seen.processes = std::max(seen.processes, 1 + Descendants(node).size());
      seen.threads = std::max(seen.threads, Threads(node));
      seen.libraries.merge(Libraries(node));
      const std::multiset<std::string> sockets = Listeners(node);
      if (sockets.size() > seen.sockets.size()) seen.sockets = sockets;
    };
    look();
    kill(node, SIGHUP);
    EXPECT_TRUE(Await([&] { return Read(log).find("reload") != std::string::npos; })) << Read(log);
    load(30);
    look();
    for (const pid_t child : Descendants(node)) kill(child, SIGKILL);
    kill(node, SIGTERM);
  } else {
    seen.processes = started.size();
    for (const pid_t pid : started) kill(pid, SIGKILL);
  }
  waitpid(tracer, &seen.status, 0);
  seen.wrong = Refused(ReadTrace(trace), {"\"/bin/sh\"", "\"build/hingelink\""}, shared_folder);
  host.Do([&] {
    gateways.reset();
    registry.reset();
    pool.reset();
  });
  return seen;
}

std::string Lines(const auto& items) {
  std::string text;
  for (const auto& item : items) text.append(item).append("\n");
  return text;
}

// The dynamic loader of the machine that this build is for.
#if defined(__x86_64__)
constexpr char kLoader[] = "ld-linux-x86-64.so.2";
#elif defined(__aarch64__)
constexpr char kLoader[] = "ld-linux-aarch64.so.1";
#else
#error "the name of the dynamic loader is not known for this kind of machine"
#endif

// The libraries that a build may map, one a line: kept in the repository, so that a new one is seen. The line
// @loader@ stands for the loader, the only one whose name depends on the kind of machine.
std::set<std::string> Kept(const std::string& file) {
  std::istringstream lines(Read(HINGELINK_SOURCE_DIR "/tests/guard/" + file));
  std::set<std::string> kept{std::istream_iterator<std::string>(lines), {}};
  EXPECT_EQ(kept.erase("@loader@"), 1u) << file;
  kept.insert(kLoader);
  return kept;
}

// What must hold of `run` in any build: what is built in and off must not be seen.
void ExpectQuiet(const Seen& seen, bool shared_folder) {
  EXPECT_EQ(Lines(seen.wrong), "");
  EXPECT_EQ(seen.processes, 1u);
  EXPECT_EQ(seen.threads, 1u);
  std::multiset<std::string> sockets = {"tcp " + seen.listen};
  if (shared_folder) sockets.insert("unix");
  EXPECT_EQ(Lines(seen.sockets), Lines(sockets));
  EXPECT_TRUE(seen.libraries.contains("libc.so.6")) << "not linked dynamically against the C library";
  EXPECT_GT(seen.account.good, 0u);
  EXPECT_EQ(seen.account.wrong, 0u);
  EXPECT_TRUE(WIFEXITED(seen.status) && WEXITSTATUS(seen.status) == 0);
}

TEST(Guard, TheDeployFilesCommandKeepsToThePlatformsPage) {
  EXPECT_EQ(Deploy("run"), "trap '' HUP; exec build/hingelink serve");
  for (const bool shared_folder : {true, false}) {
    const Seen seen = Observe(HINGELINK_GUARDED, {}, shared_folder);
    ExpectQuiet(seen, shared_folder);
    EXPECT_EQ(Lines(seen.libraries), Lines(Kept(HINGELINK_GUARDED_LIBRARIES)))
        << "the libraries that `run` maps have changed: say why, then keep the new list in "
           "tests/guard/" HINGELINK_GUARDED_LIBRARIES;
  }
}

#ifdef HINGELINK_PLANTED
struct Plant {
  const char* what;
  const char* told;
  friend void PrintTo(const Plant& plant, std::ostream* out) { *out << plant.what; }
};

class PlantedFault : public testing::TestWithParam<Plant> {};

TEST_P(PlantedFault, IsFound) {
  const Seen seen = Observe(HINGELINK_PLANTED, GetParam().what);
  EXPECT_NE(Lines(seen.wrong).find(GetParam().told), std::string::npos) << Lines(seen.wrong);
}
INSTANTIATE_TEST_SUITE_P(Calls, PlantedFault,
                         testing::Values(Plant{"fork", "a second process: "},
                                         Plant{"program", "starts another program: "},
                                         Plant{"io_uring", "refused on the platform: io_uring_setup"},
                                         Plant{"splice", "refused on the platform: splice"},
                                         Plant{"sendfile", "refused on the platform: sendfile"},
                                         Plant{"unix", "neither TCP nor UDP over IPv4: socket(AF_UNIX"},
                                         Plant{"ipv6", "neither TCP nor UDP over IPv4: socket(AF_INET6"}),
                         [](const auto& instance) { return instance.param.what; });

TEST(Planted, ALibraryAThreadAListenerAndAProcessAreFound) {
  EXPECT_TRUE(Observe(HINGELINK_PLANTED, "library").libraries.contains("libutil.so.1"));
  EXPECT_EQ(Observe(HINGELINK_PLANTED, "thread").threads, 2u);
  EXPECT_EQ(Observe(HINGELINK_PLANTED, "listener").sockets.size(), 3u);
  EXPECT_EQ(Observe(HINGELINK_PLANTED, "process").processes, 2u);
}
#endif

}  // namespace
}  // namespace guard
