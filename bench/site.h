// What measurements share: the program under measurement as a process, and sites of it with stand-ins round
// them.
#ifndef HINGELINK_BENCH_SITE_H_
#define HINGELINK_BENCH_SITE_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "cli/sample_config.h"
#include "standin/gateways.h"
#include "standin/host.h"
#include "standin/own_address.h"
#include "standin/pool.h"

namespace measure {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

inline double Seconds(Steady::duration span) { return std::chrono::duration<double>(span).count(); }

inline int ConnectTo(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &at.sin_addr);
  at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
    throw std::runtime_error("cannot connect");
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// Seconds of CPU, user and system, that a process or thread has used, by its stat file.
struct UsedCpu {
  double user = 0, system = 0;
};
inline UsedCpu ReadCpu(const std::filesystem::path& stat) {
  std::ifstream file(stat);
  std::string line;
  std::getline(file, line);
  std::istringstream words(line.substr(line.rfind(')') + 2));
  std::string word;
  UsedCpu used;
  for (int field = 3; field < 14; ++field) words >> word;
  words >> used.user >> used.system;
  const double tick = static_cast<double>(sysconf(_SC_CLK_TCK));
  return {used.user / tick, used.system / tick};
}

struct Cpu {
  double all = 0, user = 0, deciding = 0;
};

class NodeProcess {
 public:
  // `listen`: shared with others that listen there; empty for one of its own.
  NodeProcess(const std::string& program, std::size_t threads, const std::string& pool,
              const std::string& listen = {}, const nlohmann::json& change = nlohmann::json::object(),
              const std::string& learned = {}) {
    char name[] = "/tmp/cores_measure.XXXXXX";
    folder_ = mkdtemp(name);
    hingelink::cli::Sample sample;
    sample.name = "cores";
    sample.listen = listen_ = listen.empty() ? hingelink::standin::OwnAddress() : listen;
    sample.pool = pool;
    sample.registry = "127.0.0.1:9";
    nlohmann::json config = hingelink::cli::SampleConfig(sample);
    config["settings"]["specifics"]["cpus"] = 64;
    config["settings"]["specifics"]["memoryKb"] = 4'000'000;
    config["limits"]["sockets"] = 20'000;
    config.merge_patch(change);
    std::ofstream(folder_ + "/node.json") << config.dump();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const std::string path = folder_ + "/node.json", count = std::to_string(threads),
                        log = folder_ + "/log";
      setenv("TMPDIR", folder_.c_str(), 1);
      std::vector<const char*> args = {program.c_str(), "serve",      "--config",
                                       path.c_str(),    "--log-file", log.c_str()};
      if (threads > 0) args.insert(args.end(), {"--threads", count.c_str()});
      if (!learned.empty()) args.insert(args.end(), {"--learned", learned.c_str()});
      args.push_back(nullptr);
      execv(program.c_str(), const_cast<char* const*>(args.data()));
      _exit(127);
    }
    for (int i = 0; i < 1000; ++i) {
      try {
        close(ConnectTo(listen_));
        return;
      } catch (const std::exception&) {
        std::this_thread::sleep_for(5ms);
      }
    }
    throw std::runtime_error("the node does not listen");
  }
  ~NodeProcess() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  const std::string& listen() const { return listen_; }
  void Signal(int number) const { kill(pid_, number); }
  // Seconds since its start.
  Cpu Used() const {
    Cpu used;
    for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/task")) {
      const UsedCpu of_task = ReadCpu(task.path() / "stat");
      used.user += of_task.user;
      used.all += of_task.user + of_task.system;
      if (task.path().filename() == std::to_string(pid_)) used.deciding = of_task.user + of_task.system;
    }
    return used;
  }
  double RssMb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    double size = 0, resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }
  pid_t pid() const { return pid_; }

 private:
  std::string folder_, listen_;
  pid_t pid_ = -1;
};

inline std::string Spread(std::vector<double> values, const char* format = "%.0f") {
  std::sort(values.begin(), values.end());
  char text[96];
  std::string all = std::string(format) + " (" + format + " to " + format + ")";
  std::snprintf(text, sizeof text, all.c_str(), values[values.size() / 2], values.front(), values.back());
  return text;
}

// 0 threads: another program, named by HINGELINK_OTHER, as from before there were threads.
inline std::string Program(std::size_t threads) {
  const char* other = std::getenv("HINGELINK_OTHER");
  if (threads == 0 && other == nullptr)
    throw std::runtime_error("0 threads: HINGELINK_OTHER names no program");
  return threads == 0 ? other : HINGELINK_PROGRAM;
}

// One node, or several that share a port, with a pool and gateways of their own. The stand-ins run on the
// caller's host.
struct Site {
  // `learned`: a folder for serve --learned, or empty. `speed`: of the pool's cores; the load is measured by
  // it.
  Site(hingelink::standin::Host& host, std::size_t threads, std::size_t processes, double load,
       std::uint64_t seed, const std::string& learned = {}, double speed = 1, int cores = 16)
      : host_(host) {
    hingelink::standin::PoolOptions pool;
    pool.listen.assign(processes, "127.0.0.1:0");
    pool.cores.count = cores;
    pool.cores.speed = speed;
    host_.Do([&] { pool_.emplace(host_.base(), pool); });
    const double part = 1.0 / static_cast<double>(processes);
    const nlohmann::json change = {
        {"settings",
         {{"specifics",
           {{"cpus", cores / static_cast<int>(processes)}, {"memoryKb", 10'000 * cores * part}}}}}};
    for (std::size_t i = 0; i < processes; ++i) {
      nodes_.push_back(std::make_unique<NodeProcess>(Program(threads), threads, pool_->address(i),
                                                     i == 0 ? std::string() : nodes_[0]->listen(), change,
                                                     learned));
    }
    hingelink::standin::GatewaysOptions gateways;
    gateways.targets = {nodes_[0]->listen()};
    gateways.gateways = 12;
    gateways.classes = hingelink::cli::SampleLoad();
    gateways.rate = load * speed * hingelink::cli::SampleCapacity(cores);
    gateways.retries = 1;
    gateways.seed = seed;
    host_.Do([&] { gateways_.emplace(host_.base(), gateways); });
  }
  ~Site() {
    host_.Do([this] {
      gateways_.reset();
      pool_.reset();
    });
  }
  // Of the requests, and those of them that were served in time, so far.
  hingelink::standin::ClassAccount Sum() {
    hingelink::standin::ClassAccount sum;
    host_.Do([&] { sum = gateways_->account().Sum(); });
    return sum;
  }

 private:
  hingelink::standin::Host& host_;
  std::optional<hingelink::standin::Pool> pool_;
  std::optional<hingelink::standin::Gateways> gateways_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};

}  // namespace measure

#endif  // HINGELINK_BENCH_SITE_H_
