// Measures what keys and calls cost a node; no part of CI.
//   keys_measure [ROUNDS] [SECONDS] [RATE]
// Pairs of nodes side by side, each with a pool, a store and gateways of its own, the same load with the same
// seed; the one's `claim` is a keyed class, the other's may run twice and carries no key. Then calls in hand
// against the share that the settings tell.
#include "site.h"
#include "standin/store.h"

namespace {

using namespace measure;
namespace standin = hingelink::standin;

struct Result {
  double p50 = 0, p99 = 0, cpu_us = 0, rss_mb = 0, keys = 0, good = 0, most_calls = 0, mean_calls = 0;
};

class Pair {
 public:
  Pair(standin::Host& host, bool keyed, double rate, std::uint64_t seed, double upstream_call_quota,
       double window)
      : host_(host) {
    host_.Do([&] {
      pool_.emplace(host_.base(), standin::PoolOptions{.cores = {.count = 16}});
      store_.emplace(host_.base(), standin::StoreOptions{.slots = {.count = 64},
                                                         .work = standin::Millis(20),
                                                         .falls_over = standin::Millis(5000)});
    });
    const auto cls = [&](const char* name, const char* repeat) {
      return nlohmann::json{{"name", name},      {"goalTimeMs", 2000.0}, {"hardLimitMs", 4000.0},
                            {"repeat", repeat},  {"worth", 1.0},         {"lateShare", 0.2},
                            {"windowMs", window}};
    };
    nlohmann::json settings;
    settings["requestClasses"] = {cls("search", "safe"), cls("claim", keyed ? "keyed" : "safe")};
    settings["specifics"] = {{"cpus", 16},
                             {"memoryKb", 4'000'000.0},
                             {"passesDeadline", false},
                             {"dependsOn", "shared"},
                             {"callShare", upstream_call_quota},
                             {"callsOverMs", 5000.0},
                             {"lingersMs", 200.0},
                             {"classCalls", {true, true}},
                             {"worthWithout", {0.5, 0.0}},
                             {"keyKb", 1.0}};
    node_ =
        std::make_unique<NodeProcess>(HINGELINK_PROGRAM, 1, pool_->address(), std::string(),
                                      nlohmann::json{{"settings", settings}, {"store", store_->address()}});
    standin::GatewaysOptions load;
    load.targets = {node_->listen()};
    load.gateways = 8;
    for (const auto& [name, share, key] : {std::tuple{"search", 0.4, false}, {"claim", 0.6, keyed}}) {
      standin::ClassLoad c;
      c.name = name;
      c.share = share;
      c.work = standin::Millis(12);
      c.timeout = standin::Millis(4000);
      c.keyed = key;
      c.calls = 1;
      load.classes.push_back(c);
    }
    load.tells_wait = false;
    load.rate = rate;
    load.seed = seed;
    load.run = seed;
    host_.Do([&] { gateways_.emplace(host_.base(), load); });
  }
  ~Pair() {
    host_.Do([this] {
      gateways_.reset();
      pool_.reset();
      store_.reset();
    });
  }
  Result See() {
    Result seen;
    host_.Do([&] {
      const standin::Account& account = gateways_->account();
      seen.p50 = account.Wait(0.5);
      seen.p99 = account.Wait(0.99);
      seen.good = static_cast<double>(account.Sum().good);
      seen.keys = static_cast<double>(account.classes[1].good);
      seen.most_calls = static_cast<double>(store_->counts().most_in_hand);
      seen.mean_calls = store_->counts().most_mean;
    });
    seen.cpu_us = 1e6 * node_->Used().all / std::max(1.0, seen.good);
    seen.rss_mb = node_->RssMb();
    return seen;
  }

 private:
  standin::Host& host_;
  std::optional<standin::Pool> pool_;
  std::optional<standin::Store> store_;
  std::optional<standin::Gateways> gateways_;
  std::unique_ptr<NodeProcess> node_;
};

}  // namespace

int main(int argc, char** argv) {
  const int rounds = argc > 1 ? std::stoi(argv[1]) : 3;
  const int seconds = argc > 2 ? std::stoi(argv[2]) : 20;
  const double rate = argc > 3 ? std::stod(argv[3]) : 600;
  std::vector<double> p50[2], p99[2], cpu[2], rss[2], more50, more99, bytes;
  for (int round = 0; round < rounds; ++round) {
    standin::Host host;
    Result seen[2];
    std::unique_ptr<Pair> pair[2];
    for (const int keyed : {0, 1}) {
      pair[keyed] =
          std::make_unique<Pair>(host, keyed == 1, rate, static_cast<std::uint64_t>(round) + 1, 400, 60'000);
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    for (const int keyed : {0, 1}) {
      seen[keyed] = pair[keyed]->See();
      p50[keyed].push_back(seen[keyed].p50);
      p99[keyed].push_back(seen[keyed].p99);
      cpu[keyed].push_back(seen[keyed].cpu_us);
      rss[keyed].push_back(seen[keyed].rss_mb);
    }
    more50.push_back(seen[1].p50 - seen[0].p50);
    more99.push_back(seen[1].p99 - seen[0].p99);
    bytes.push_back(1e6 * (seen[1].rss_mb - seen[0].rss_mb) / std::max(1.0, seen[1].keys));
  }
  std::printf("| %d s at %.0f requests a second | without keys | with keys |\n| --- | --- | --- |\n", seconds,
              rate);
  std::printf("| p50, ms | %s | %s |\n", Spread(p50[0], "%.2f").c_str(), Spread(p50[1], "%.2f").c_str());
  std::printf("| p99, ms | %s | %s |\n", Spread(p99[0], "%.1f").c_str(), Spread(p99[1], "%.1f").c_str());
  std::printf("| CPU a request served, us | %s | %s |\n", Spread(cpu[0]).c_str(), Spread(cpu[1]).c_str());
  std::printf("| memory, MB | %s | %s |\n", Spread(rss[0], "%.1f").c_str(), Spread(rss[1], "%.1f").c_str());
  std::printf(
      "\nWith keys more, pair by pair: p50 %s ms, p99 %s ms, %s bytes for each key kept with its result.\n\n",
      Spread(more50, "%.2f").c_str(), Spread(more99, "%.1f").c_str(), Spread(bytes).c_str());
  std::printf("| share told | most calls in hand | largest mean over 5 s |\n| --- | --- | --- |\n");
  for (const double share : {2.0, 8.0, 24.0, 48.0}) {
    standin::Host host;
    Pair one(host, true, rate, 9, share, 60'000);
    std::this_thread::sleep_for(std::chrono::seconds(seconds / 2));
    const Result seen = one.See();
    std::printf("| %.0f | %.0f | %.1f |\n", share, seen.most_calls, seen.mean_calls);
  }
}
