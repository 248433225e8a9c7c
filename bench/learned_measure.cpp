// Measures what knowledge from an earlier life is worth to a node that starts under load; no part of CI.
//   learned_measure [ROUNDS] [SECONDS] [CORES] [LOADS...]      loads as shares of what the pool can do
// All kinds start side by side, each with a pool and gateways of its own; the gateways begin once the node
// listens.
#include "decide/learned/learned_state_import.h"
#include "site.h"
#include "state/learned_store.h"

namespace {

using namespace measure;
namespace state = hingelink::state;
namespace decide = hingelink::decide;

std::chrono::milliseconds UnixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

struct Kind {
  const char* name;
  double factor;  // What is kept over what is so; 0: nothing is kept.
  std::chrono::hours age{0};
  double speed = 1;  // Of the cores now; what is kept was learned at 1.
};

void Leave(const std::string& folder, const Kind& kind) {
  std::filesystem::create_directories(folder);
  if (kind.factor == 0) return;
  hingelink::Settings settings;
  settings.classes = {{.name = "usage-view", .latency_objective_ms = 500, .deadline_ms = 1200},
                      {.name = "settings-save", .latency_objective_ms = 700, .deadline_ms = 1600},
                      {.name = "order-lodge", .latency_objective_ms = 700, .deadline_ms = 1600}};
  hingelink::Learned learned;
  // Runs share cores, so that they take somewhat longer than their work.
  for (const auto& [name, work] :
       {std::pair{"usage-view", 30.0}, {"settings-save", 40.0}, {"order-lodge", 40.0}}) {
    const double run = work * 1.15 * kind.factor;
    learned.classes.push_back({name, run, run, work, 1000});
  }
  state::LearnedStore store(state::SystemFileSystem(), folder);
  store.WriteSnapshot({1, decide::MakeLearnedRecord("cores", UnixNow() - kind.age, settings, learned)});
}

}  // namespace

int main(int argc, char** argv) {
  const int rounds = argc > 1 ? std::stoi(argv[1]) : 3;
  const int seconds = argc > 2 ? std::stoi(argv[2]) : 30;
  const std::vector<Kind> kinds = {
      {"nothing kept", 0},
      {"kept just now", 1},
      {"an hour old", 1, std::chrono::hours(1)},
      {"three weeks old", 1, std::chrono::hours(21 * 24)},
      {"wrong: a quarter of what is so", 0.25},
      {"wrong: four times what is so", 4},
      {"cores 4 times slower, nothing kept", 0, std::chrono::hours(0), 0.25},
      {"cores 4 times slower, kept from before", 1, std::chrono::hours(0), 0.25}};
  const int cores = argc > 3 ? std::stoi(argv[3]) : 16;
  std::vector<double> loads;
  for (int i = 4; i < argc; ++i) loads.push_back(std::stod(argv[i]));
  if (loads.empty()) loads = {1.0, 1.1};
  const int looks[] = {2, 5, seconds};
  // By kind, load and look.
  std::vector<std::vector<double>> shares(kinds.size() * loads.size() * std::size(looks));
  std::vector<std::vector<double>> steady(kinds.size() * loads.size());
  char name[] = "/tmp/learned_measure.XXXXXX";
  const std::string folder = mkdtemp(name);
  for (int round = 0; round < rounds; ++round) {
    hingelink::standin::Host host;
    std::vector<std::unique_ptr<Site>> sites;
    std::vector<Steady::time_point> began;
    std::vector<std::vector<hingelink::standin::ClassAccount>> sums(kinds.size() * loads.size());
    for (std::size_t k = 0; k < kinds.size(); ++k) {
      for (std::size_t l = 0; l < loads.size(); ++l) {
        const std::string own =
            folder + '/' + std::to_string(round) + '-' + std::to_string(k) + '-' + std::to_string(l);
        Leave(own, kinds[k]);
        sites.push_back(std::make_unique<Site>(host, 1, 1, loads[l], static_cast<std::uint64_t>(round) + 1,
                                               own, kinds[k].speed, cores));
        began.push_back(Steady::now());
      }
    }
    for (int second = 1; second <= seconds; ++second) {
      for (std::size_t i = 0; i < sites.size(); ++i) {
        std::this_thread::sleep_until(began[i] + std::chrono::seconds(second));
        sums[i].push_back(sites[i]->Sum());
      }
    }
    for (std::size_t i = 0; i < sites.size(); ++i) {
      const auto share = [&](int from, int to) {
        const auto& after = sums[i][static_cast<std::size_t>(to) - 1];
        const std::uint64_t good = from == 0 ? 0 : sums[i][static_cast<std::size_t>(from) - 1].good;
        const std::uint64_t all = from == 0 ? 0 : sums[i][static_cast<std::size_t>(from) - 1].requests;
        return 100.0 * static_cast<double>(after.good - good) / static_cast<double>(after.requests - all);
      };
      for (std::size_t at = 0; at < std::size(looks); ++at) {
        shares[i * std::size(looks) + at].push_back(share(0, looks[at]));
      }
      // The first second from which on each window of 3 s is within 2 points of the last third of the run.
      const double last = share(seconds * 2 / 3, seconds);
      int first = seconds;
      while (first > 3 && std::abs(share(first - 3, first) - last) <= 2) --first;
      steady[i].push_back(first);
    }
  }
  std::filesystem::remove_all(folder);
  for (std::size_t l = 0; l < loads.size(); ++l) {
    std::printf(
        "| at %.0f%% | first 2 s | first 5 s | %d s | s until within 2 points |\n| --- | --- | --- | --- | "
        "--- |\n",
        loads[l] * 100, seconds);
    for (std::size_t k = 0; k < kinds.size(); ++k) {
      const std::size_t i = k * loads.size() + l;
      std::printf("| %s |", kinds[k].name);
      for (std::size_t at = 0; at < std::size(looks); ++at) {
        std::printf(" %s |", Spread(shares[i * std::size(looks) + at], "%.1f").c_str());
      }
      std::printf(" %s |\n", Spread(steady[i]).c_str());
    }
  }
}
