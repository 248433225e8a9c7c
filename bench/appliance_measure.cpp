// Measures the appliance; no part of CI. Each figure is printed as a row of a Markdown table.
//   appliance_measure consoles [ROUNDS] [SECONDS]   throughput, CPU and waits with 0, 1 and 8 consoles, in
//   turn appliance_measure screen [SECONDS]              what the console sends to its terminal at 110% of
//   capacity appliance_measure kills [COUNT]                 time from a killed node to serving again
//   appliance_measure supervisors [COUNT]           what is lost when the supervisor is killed again and
//   again
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <random>

#include "pseudo_terminal.h"
#include "rig.h"
#include "site.h"

namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;
using rig::Rig;
using terminal::PseudoTerminal;
namespace standin = hingelink::standin;

double Seconds(Steady::duration span) { return std::chrono::duration<double>(span).count(); }

// Seconds of CPU that a process has used.
double CpuOf(pid_t pid) {
  const measure::UsedCpu used = measure::ReadCpu("/proc/" + std::to_string(pid) + "/stat");
  return used.user + used.system;
}

struct Spread {
  std::vector<double> values;
  void Add(double value) { values.push_back(value); }
  double At(double part) const {
    std::vector<double> sorted = values;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1) + 0.5)];
  }
  std::string Text(const char* format = "%.0f (%.0f to %.0f)") const {
    char text[128];
    std::snprintf(text, sizeof text, format, At(0.5), At(0), At(1));
    return text;
  }
};

// A node whose worker pool finishes at once, and gateways on threads of their own that ask for more than it
// can answer.
class Saturated {
 public:
  explicit Saturated(double rate) {
    rig_.config["node"]["settings"]["specifics"]["cpus"] = 64;
    rig_.config["node"]["settings"]["specifics"]["memoryKb"] = 4'000'000;
    rig_.WriteConfig();
    rig_.host.Do([&] {
      standin::PoolOptions options;
      options.listen = {"127.0.0.1:0", "127.0.0.1:0"};
      options.cores.count = 10'000;
      rig_.pool.emplace(rig_.host.base(), options);
    });
    rig_.config["node"]["pool"] = {rig_.pool->address(0), rig_.pool->address(1)};
    rig_.WriteConfig();
    rig_.StartSupervisor(false);
    if (!rig_.AwaitReady()) throw std::runtime_error("not ready");
    for (std::size_t i = 0; i < 3; ++i) {
      hosts_.push_back(std::make_unique<standin::Host>());
      gateways_.push_back(nullptr);
      hosts_[i]->Do([&] {
        standin::GatewaysOptions options;
        options.targets = {rig_.listen};
        options.gateways = 2;
        options.most_connections = 100;
        options.classes = hingelink::cli::SampleLoad();
        for (auto& c : options.classes) c.work = standin::Millis(0.001);
        options.rate = rate / 3;
        options.heeds = 0;
        options.seed = 1 + i;
        gateways_[i] = std::make_unique<standin::Gateways>(hosts_[i]->base(), options);
      });
    }
  }
  ~Saturated() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i]->Do([&] { gateways_[i].reset(); });
    }
  }
  standin::ClassAccount Sum() {
    standin::ClassAccount sum;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i]->Do([&] {
        const auto one = gateways_[i]->account().Sum();
        sum.served += one.served;
        sum.refused += one.refused;
        sum.failed += one.failed;
        sum.requests += one.requests;
        sum.lost += one.lost + one.unanswered;
      });
    }
    return sum;
  }
  // Waits since the last call, in ms.
  std::vector<float> TakeWaits() {
    std::vector<float> all;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i]->Do([&] {
        const auto& waits = gateways_[i]->account().waits;
        taken_.resize(hosts_.size());
        all.insert(all.end(), waits.begin() + static_cast<std::ptrdiff_t>(std::min(taken_[i], waits.size())),
                   waits.end());
        taken_[i] = waits.size();
      });
    }
    std::sort(all.begin(), all.end());
    return all;
  }
  Rig& rig() { return rig_; }

 private:
  Rig rig_;
  std::vector<std::unique_ptr<standin::Host>> hosts_;
  std::vector<std::unique_ptr<standin::Gateways>> gateways_;
  std::vector<std::size_t> taken_;
};

void Consoles(int rounds, double seconds) {
  const std::size_t counts[] = {0, 1, 8};
  Spread served[3], cpu[3], median[3], late[3], of_none[3];
  double before_all = 0;
  for (int round = 0; round < rounds; ++round) {
    for (std::size_t k = 0; k < 3; ++k) {
      Saturated node(70'000);
      std::vector<std::unique_ptr<PseudoTerminal>> all;
      std::atomic<bool> over{false};
      for (std::size_t i = 0; i < counts[k]; ++i) {
        all.push_back(std::make_unique<PseudoTerminal>(
            HINGELINK_PROGRAM, std::vector<std::string>{"console", "--state", node.rig().folder()}, 24, 100));
      }
      std::thread reads([&] {
        while (!over) {
          for (auto& t : all) t->Pass(5ms);
          if (all.empty()) std::this_thread::sleep_for(5ms);
        }
      });
      std::this_thread::sleep_for(1500ms);
      const pid_t pid = node.rig().NodePid();
      node.TakeWaits();
      const auto began = Steady::now();
      const auto first = node.Sum();
      const double cpu_first = CpuOf(pid);
      std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
      const double cpu_used = CpuOf(pid) - cpu_first;
      const auto last = node.Sum();
      const double span = Seconds(Steady::now() - began);
      const auto waits = node.TakeWaits();
      over = true;
      reads.join();
      const double answers = static_cast<double>(last.served + last.refused + last.failed - first.served -
                                                 first.refused - first.failed);
      served[k].Add(answers / span);
      cpu[k].Add(cpu_used / answers * 1e6);
      if (!waits.empty()) {
        median[k].Add(waits[waits.size() / 2]);
        late[k].Add(waits[waits.size() * 99 / 100]);
      }
      if (k == 0) before_all = answers / span;
      of_none[k].Add(100 * answers / span / before_all);
      std::fprintf(stderr, "round %d, %zu consoles: %.0f answers/s, node CPU %.0f%%, lost %llu\n", round,
                   counts[k], answers / span, 100 * cpu_used / span,
                   static_cast<unsigned long long>(last.lost - first.lost));
    }
  }
  std::printf(
      "| consoles | answers a second | of those without, pair by pair | CPU an answer (us) | median wait "
      "(ms) | 99th (ms) |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (std::size_t k = 0; k < 3; ++k) {
    std::printf("| %zu | %s | %s | %s | %s | %s |\n", counts[k], served[k].Text().c_str(),
                of_none[k].Text("%.1f%% (%.1f to %.1f)").c_str(), cpu[k].Text("%.1f (%.1f to %.1f)").c_str(),
                median[k].Text("%.2f (%.2f to %.2f)").c_str(), late[k].Text("%.2f (%.2f to %.2f)").c_str());
  }
}

// What the consoles cost a node that has nothing else to do: the whole of it is theirs.
void Idle(double seconds) {
  std::printf("| consoles | CPU of the node, share of a core |\n| --- | --- |\n");
  for (const std::size_t count : {0, 1, 8}) {
    Rig rig;
    rig.StartSupervisor(false);
    rig.AwaitReady();
    std::vector<std::unique_ptr<PseudoTerminal>> all;
    for (std::size_t i = 0; i < count; ++i) {
      all.push_back(std::make_unique<PseudoTerminal>(
          HINGELINK_PROGRAM, std::vector<std::string>{"console", "--state", rig.folder()}, 24, 100));
    }
    const pid_t pid = rig.NodePid();
    const double first = CpuOf(pid);
    const auto began = Steady::now();
    while (Seconds(Steady::now() - began) < seconds) {
      for (auto& t : all) t->Pass(5ms);
      if (all.empty()) std::this_thread::sleep_for(50ms);
    }
    std::printf("| %zu | %.2f%% |\n", count, 100 * (CpuOf(pid) - first) / Seconds(Steady::now() - began));
  }
}

void Screen(double seconds) {
  Rig rig;
  rig.StartSupervisor(false);
  rig.AwaitReady();
  rig.StartLoad(1.1, 1);
  PseudoTerminal t(HINGELINK_PROGRAM, {"console", "--state", rig.folder()}, 24, 100);
  t.AwaitText("SERVING");
  t.Pass(8000ms);
  const std::size_t before = t.bytes();
  int redraws = 0;
  std::size_t seen = before;
  const auto began = Steady::now();
  auto last = began;
  while (Seconds(Steady::now() - began) < seconds) {
    t.Pass(5ms);
    if (t.bytes() == seen) continue;
    // What comes within 30 ms is one drawing.
    if (Steady::now() - last > 30ms) ++redraws;
    last = Steady::now();
    seen = t.bytes();
  }
  const double span = Seconds(Steady::now() - began);
  std::printf(
      "| bytes a second | redraws a second | bytes a redraw (of 2400 cells) |\n| --- | --- | --- |\n");
  std::printf("| %.0f | %.1f | %.0f |\n\n%s\n", static_cast<double>(t.bytes() - before) / span,
              redraws / span, static_cast<double>(t.bytes() - before) / redraws, t.Screen().c_str());
}

void Kills(int count) {
  Rig rig;
  rig.config["supervisor"]["loop_crashes"] = 1000;
  rig.config["supervisor"]["backoff_most_ms"] = 50;
  rig.WriteConfig();
  rig.StartSupervisor(false);
  rig.AwaitReady();
  rig.StartLoad(0.5);
  Spread times;
  for (int i = 0; i < count; ++i) {
    rig::Await([&, served = rig.Account().Sum().served] { return rig.Account().Sum().served > served + 10; });
    const pid_t node = rig.NodePid();
    const auto began = Steady::now();
    kill(node, SIGKILL);
    // The first answer 'served' behind the kill: what was on its way is in within a few milliseconds.
    std::this_thread::sleep_for(10ms);
    const std::uint64_t served = rig.Account().Sum().served;
    while (rig.Account().Sum().served <= served) std::this_thread::sleep_for(1ms);
    times.Add(Seconds(Steady::now() - began) * 1000);
  }
  std::printf(
      "| kills of the node | to the first answer served: median | least | 90th percentile | most |\n"
      "| --- | --- | --- | --- | --- |\n| %d | %.0f ms | %.0f | %.0f | %.0f |\n",
      count, times.At(0.5), times.At(0), times.At(0.9), times.At(1));
}

void Supervisors(int count) {
  Rig rig;
  rig.StartSupervisor(false);
  rig.AwaitReady();
  rig.StartLoad(0.8);
  std::mt19937_64 draw(20261201);
  int upgrades = 0;
  for (int i = 0; i < count; ++i) {
    // At any moment, also within an upgrade.
    if (i % 4 == 0 && rig.SendCommand("upgrade") == "done") ++upgrades;
    std::this_thread::sleep_for(std::chrono::milliseconds(draw() % 300));
    rig.KillSupervisor();
    rig.StartSupervisor(true);
    rig.AwaitReady();
  }
  rig.AwaitPhase("serving");
  rig.StopLoad();
  const auto sum = rig.Account().Sum();
  std::printf(
      "| kills of the supervisor | upgrades begun | requests | served | refused | failed | lost or late | "
      "nodes at the end |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n| %d | %d | %llu | %llu | %llu | %llu | %llu | %zu "
      "|\n",
      count, upgrades, static_cast<unsigned long long>(sum.requests),
      static_cast<unsigned long long>(sum.served), static_cast<unsigned long long>(sum.refused),
      static_cast<unsigned long long>(sum.failed),
      static_cast<unsigned long long>(sum.lost + sum.unanswered + sum.late + sum.wrong + sum.twice),
      rig.Nodes().size());
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  const auto number = [&](int place, int otherwise) {
    return argc > place ? std::atoi(argv[place]) : otherwise;
  };
  if (what == "consoles") {
    Consoles(number(2, 5), number(3, 4));
  } else if (what == "screen") {
    Screen(number(2, 20));
  } else if (what == "idle") {
    Idle(number(2, 30));
  } else if (what == "kills") {
    Kills(number(2, 30));
  } else if (what == "supervisors") {
    Supervisors(number(2, 100));
  } else {
    std::fprintf(stderr, "consoles, idle, screen, kills or supervisors\n");
    return 2;
  }
  return 0;
}
