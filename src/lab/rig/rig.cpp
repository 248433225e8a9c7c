#include "lab/rig/rig.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <pcg_random.hpp>
#include <set>
#include <stdexcept>
#include <thread>

#include "lab/rig/datagram_forger.h"
#include "lab/rig/node_process.h"
#include "proto/pool_lines.h"
#include "standin/host.h"
#include "standin/own_address.h"
#include "standin/pool.h"
#include "standin/registry.h"

namespace hingelink::lab {
namespace {

using namespace std::chrono_literals;
using net::Steady;

constexpr auto kBeat = 5ms;
// Of services that are shared: up to so many pairs each node can reach all.
constexpr std::size_t kAllPairs = 500, kSpareServices = 3;
constexpr auto kPatience = 60s;
// Unanswered attempts that are described one by one.
constexpr std::size_t kMaxUnansweredDescribed = 20;

double Round(double value) { return std::round(value * 1000) / 1000; }

struct Event {
  Millis at{0};
  std::function<void()> what;
};

class Rig {
 public:
  Rig(const Scenario& scenario, const RigOptions& options)
      : scenario_(scenario),
        options_(options),
        count_(scenario.fleet.nodes),
        weather_(scenario),
        draw_(scenario.seed, 5),
        nodes_(count_) {}
  ~Rig() {
    forgers_.clear();
    for (Node& node : nodes_) Stop(node);
    relays_.Do([this] {
      beat_.reset();
      datagrams_.reset();
      connections_.clear();
    });
    standins_.Do([this] {
      gateways_.reset();
      pools_.clear();
      registry_.reset();
    });
  }

  RigResult Run() {
    result_.scenario = scenario_.name;
    result_.seed = scenario_.seed;
    SetUp();
    Plan();
    Play();
    Conclude();
    return std::move(result_);
  }

 private:
  struct Node {
    std::string name, folder, listen, peers;
    std::string config, control;  // Of the newest process.
    std::unique_ptr<NodeProcess> process = std::make_unique<NodeProcess>();
    std::vector<std::unique_ptr<NodeProcess>> predecessors;
    int upgrades = 0;
    bool frozen = false, wanted = false;
    Millis began{0}, lived{0};
    Millis core_wait_most{0};  // Between two looks.
  };
  struct Kill {
    std::size_t node = 0;
    Millis at{0};
    std::set<std::size_t> knows;
    KillTimes times;
  };

  Millis Now() const { return Millis(Steady::now() - began_); }
  double Part() { return static_cast<double>(draw_() >> 11) * 0x1.0p-53; }
  void Say(const std::string& line) const {
    if (options_.progress) options_.progress(line);
  }

  void SetUp() {
    for (std::size_t i = 0; i < count_; ++i) {
      Node& node = nodes_[i];
      node.name = "n" + std::to_string(i);
      node.folder = options_.folder + '/' + node.name;
      std::filesystem::create_directories(node.folder + "/run");
      node.listen = standin::OwnAddress();
      node.peers = standin::OwnAddress();
    }
    std::vector<std::string> pools;
    std::string registry;
    standins_.Do([&] {
      registry_ = std::make_unique<standin::Registry>(standins_.base(), standin::RegistryOptions{});
      registry = registry_->address();
      const std::vector<std::size_t> users = Users();
      for (std::size_t i = 0; i < weather_.parties().pools; ++i) {
        standin::PoolOptions pool;
        pool.cores.count = scenario_.fleet.cores;
        if (shared()) pool.listen.assign(std::max<std::size_t>(1, users[i]), "127.0.0.1:0");
        pools_.push_back(std::make_unique<standin::Pool>(standins_.base(), pool));
        pools.push_back(pools_.back()->address());
      }
    });
    const Parties& parties = weather_.parties();
    relays_.Do([&] {
      RelayHost host{relays_.base(), &weather_, [this] { return Now(); }, [this] { return Part(); }};
      std::vector<std::string> real;
      for (const Node& node : nodes_) real.push_back(node.peers);
      datagrams_ = std::make_unique<DatagramRelay>(host, real, counts_);
      for (std::size_t i = 0; i < count_; ++i) {
        connections_.push_back(
            std::make_unique<ConnectionRelay>(host, parties.Gateways(), i, nodes_[i].listen, counts_));
        connections_.push_back(std::make_unique<ConnectionRelay>(host, i, parties.Pool(shared() ? 0 : i),
                                                                 pools[shared() ? 0 : i], counts_));
        connections_.push_back(
            std::make_unique<ConnectionRelay>(host, i, parties.Registry(), registry, counts_));
      }
      std::vector<std::size_t> next(shared() ? pools_.size() : 0, 0);
      for (std::size_t i = 0; i < rows_.size(); ++i) {
        for (const std::uint32_t s : rows_[i]) {
          connections_.push_back(std::make_unique<ConnectionRelay>(host, i, parties.Pool(s),
                                                                   pools_[s]->address(next[s]++), counts_));
          service_at_[{i, s}] = connections_.back()->address();
        }
      }
      beat_.emplace(relays_.base(), [this] { Beat(); });
      next_beat_ = Steady::now() + kBeat;
      beat_->Start(kBeat);
    });
    for (std::size_t i = 0; i < count_; ++i) {
      WriteKeys(i, {kFirstKey});
      WriteConfig(i, connections_[3 * i + 1]->address());
      if (shared()) WriteServices(i);
    }
  }

  bool shared() const { return scenario_.fleet.services > 0; }

  // How many nodes may come to use each service; rows_ has which. A relay for each pair would be more sockets
  // than a process has, and a node needs those that it uses and some to widen to.
  std::vector<std::size_t> Users() {
    std::vector<std::size_t> users(weather_.parties().pools, 0);
    if (!shared()) return users;
    // While its start lasts a node knows few others, and may use other services than later.
    const bool all = count_ * users.size() <= kAllPairs;
    rows_ = options_.services_of(scenario_, all ? users.size() : scenario_.fleet.subset + kSpareServices);
    for (const auto& row : rows_) {
      for (const std::uint32_t s : row) ++users[s];
    }
    return users;
  }

  void WriteServices(std::size_t i) {
    nlohmann::ordered_json json = {{"zone", scenario_.fleet.zones[i % scenario_.fleet.zones.size()]},
                                   {"subset", scenario_.fleet.subset}};
    if (!scenario_.fleet.way.empty()) json["way"] = scenario_.fleet.way;
    json["services"] = nlohmann::ordered_json::array();
    for (std::size_t s = 0; s < pools_.size(); ++s) {
      nlohmann::ordered_json one = {{"name", "s" + std::to_string(s)},
                                    {"zone", scenario_.fleet.zones[s % scenario_.fleet.zones.size()]},
                                    {"cores", scenario_.fleet.cores}};
      if (const auto at = service_at_.find({i, s}); at != service_at_.end()) one["address"] = at->second;
      json["services"].push_back(std::move(one));
    }
    std::ofstream(nodes_[i].folder + "/services.json") << json.dump(2);
  }

  void WriteKeys(std::size_t i, const std::vector<std::string>& names) {
    std::string lines;
    for (const std::string& name : names) {
      const auto [at, fresh] = keys_.try_emplace(name);
      if (fresh) at->second = options_.new_key();
      lines += at->second;
    }
    const std::string path = nodes_[i].folder + "/keys";
    const int fd = open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    if (fd < 0 || write(fd, lines.data(), lines.size()) < 0) throw std::runtime_error(path);
    close(fd);
  }

  void WriteConfig(std::size_t i, const std::string& pool) {
    Node& node = nodes_[i];
    const std::string start = std::to_string(node.upgrades);
    node.config = node.folder + "/node-" + start + ".json";
    node.control = node.folder + "/control-" + start;
    nlohmann::ordered_json config = options_.node_config(scenario_.fleet.cores, scenario_.fleet.gateways);
    config["name"] = node.name;
    config["listen"] = node.listen;
    config["pool"] = pool;
    config["registry"] = connections_[3 * i + 2]->address();
    std::ofstream(node.config) << config.dump(2);
    nlohmann::ordered_json peers = {{"listen", node.peers},
                                    {"advertise", datagrams_->address(i)},
                                    {"keys", node.folder + "/keys"},
                                    {"zone", scenario_.fleet.zones[i % scenario_.fleet.zones.size()]}};
    peers["seeds"] = nlohmann::ordered_json::array();
    for (std::size_t s = 0; s < scenario_.fleet.seeds && s < count_; ++s) {
      peers["seeds"].push_back(datagrams_->address(s));
    }
    std::ofstream(node.folder + "/peers.json") << peers.dump(2);
  }

  // On the relays' loop: how late it is itself.
  void Beat() {
    const Steady::time_point now = Steady::now();
    const Millis late = now - next_beat_;
    late_.push_back(static_cast<float>(std::max(0.0, late.count())));
    for (const auto& connection : connections_) connection->Sweep();
    next_beat_ = Steady::now() + kBeat;
    beat_->Start(kBeat);
  }

  void Start(std::size_t i) {
    Node& node = nodes_[i];
    if (node.process->running()) return;
    std::filesystem::remove(node.control);
    Launch(node);
    node.wanted = true;
    node.frozen = false;
    node.began = Now();
    for (Kill& kill : kills_) kill.times.open = kill.times.open && kill.node != i;
  }

  void Launch(Node& node) {
    std::vector<std::string> words = {options_.program, "serve",     "--config",
                                      node.config,      "--control", node.control};
    if (options_.peers) words.insert(words.end(), {"--peers", node.folder + "/peers.json"});
    if (shared()) words.insert(words.end(), {"--services", node.folder + "/services.json"});
    // What a node learns is kept only where the scenario says what becomes of it.
    if (KeepsDisks()) words.insert(words.end(), {"--learned", node.folder + "/learned"});
    node.process->Start(words, node.folder);
  }

  bool KeepsDisks() const {
    return std::any_of(scenario_.faults.begin(), scenario_.faults.end(),
                       [](const Fault& fault) { return fault.do_ == Do::kKill && !fault.disk_lost; });
  }

  void Stop(Node& node) {
    node.process->Kill();
    for (const auto& before : node.predecessors) before->Kill();
  }

  // A second process beside the one that serves, with a worker pool of its own; they settle the rest.
  void Upgrade(std::size_t i) {
    Node& node = nodes_[i];
    // With shared services it would need addresses of its own at each of them.
    if (!node.process->running() || node.frozen || shared()) return;
    std::string pool;
    standins_.Do([&] {
      standin::PoolOptions options;
      options.cores.count = scenario_.fleet.cores;
      pools_.push_back(std::make_unique<standin::Pool>(standins_.base(), options));
      pool = pools_.back()->address();
    });
    const std::size_t party = weather_.parties().Pool(i);
    relays_.Do([&] {
      RelayHost host{relays_.base(), &weather_, [this] { return Now(); }, [this] { return Part(); }};
      connections_.push_back(std::make_unique<ConnectionRelay>(host, i, party, pool, counts_));
      pool = connections_.back()->address();
    });
    ++node.upgrades;
    WriteConfig(i, pool);
    node.predecessors.push_back(std::exchange(node.process, std::make_unique<NodeProcess>()));
    Launch(node);
  }

  void Forge(std::size_t i, double rate) {
    std::string heard;
    relays_.Do([&] { heard = datagrams_->last(i); });
    if (heard.size() > 8) {
      forgers_[i] = std::make_unique<DatagramForger>(std::move(heard), nodes_[i].peers, rate);
    } else {
      Violate("no datagram came for " + nodes_[i].name + " that could be forged");
    }
  }
  void EndForging(std::size_t i) {
    if (const auto at = forgers_.find(i); at != forgers_.end()) {
      result_.forged += at->second->sent();
      forgers_.erase(at);
    }
  }

  void End(std::size_t i) {
    Node& node = nodes_[i];
    if (!node.process->running()) return;
    Stop(node);
    node.wanted = false;
    node.lived += Now() - node.began;
    Kill kill;
    kill.node = i;
    kill.at = Now();
    kill.times.node = node.name;
    kills_.push_back(std::move(kill));
  }

  void Add(Millis at, std::function<void()> what) { events_.push_back({at, std::move(what)}); }

  void Plan() {
    for (std::size_t i = 0; i < count_; ++i) {
      Add(scenario_.fleet.start_within * (static_cast<double>(i) / static_cast<double>(count_)),
          [this, i] { Start(i); });
    }
    for (std::size_t f = 0; f < scenario_.faults.size(); ++f) {
      const Fault& fault = scenario_.faults[f];
      const Millis end = fault.lasts.count() > 0 ? fault.at + fault.lasts : scenario_.length;
      if (fault.do_ == Do::kReset) {
        Add(fault.at, [this, f] {
          relays_.Do([&] {
            for (const auto& connection : connections_) {
              if (weather_.Touches(f, connection->from(), connection->to())) connection->Reset();
            }
          });
        });
      } else if (fault.do_ >= Do::kDegrade) {
        Add(fault.at, [this, &fault, end] {
          standins_.Do([&] {
            for (std::size_t s = fault.who.first; s <= fault.who.last; ++s) {
              standin::PoolFault cause;
              cause.kind = fault.do_ == Do::kDegrade  ? standin::PoolFault::Kind::kSlow
                           : fault.do_ == Do::kErrors ? standin::PoolFault::Kind::kErrors
                                                      : standin::PoolFault::Kind::kHang;
              cause.lasts = end - fault.at;
              cause.factor = fault.share;
              pools_[s]->Cause(cause);
            }
          });
        });
      } else if (OnLinks(fault.do_)) {
        Add(fault.at, [this, f] { relays_.Do([&] { weather_.Switch(f, true); }); });
        Add(end, [this, f] { relays_.Do([&] { weather_.Switch(f, false); }); });
      } else if (fault.do_ == Do::kPace || fault.do_ == Do::kWall || fault.do_ == Do::kSlow) {
        Say(std::string(NameOf(fault.do_)) + " is for simulated time alone, and left out here");
      } else {
        const std::vector<bool> who = NodesOf(scenario_, fault.who);
        Millis at = fault.at;
        for (std::size_t i = 0; i < count_; ++i) {
          if (!who[i]) continue;
          PlanOne(fault, i, at, at + (end - fault.at));
          at += fault.stagger;
        }
      }
      const Millis over = fault.at + fault.lasts + fault.restart.value_or(Millis(0));
      if (over < scenario_.length) ends_.push_back(over);
    }
    std::sort(ends_.begin(), ends_.end());
    result_.agreed_after.assign(ends_.size(), Millis(-1));
    std::stable_sort(events_.begin(), events_.end(),
                     [](const Event& a, const Event& b) { return a.at < b.at; });
  }

  // A fault of one process.
  void PlanOne(const Fault& fault, std::size_t i, Millis at, Millis end) {
    switch (fault.do_) {
      case Do::kKill:
        Add(at, [this, i, &fault] {
          End(i);
          if (fault.disk_lost) std::filesystem::remove_all(nodes_[i].folder + "/learned");
        });
        if (fault.restart) Add(at + *fault.restart, [this, i] { Start(i); });
        break;
      case Do::kFreeze:
        Add(at, [this, i] { Freeze(i, true); });
        Add(end, [this, i] { Freeze(i, false); });
        break;
      case Do::kUpgrade:
        Add(at, [this, i] { Upgrade(i); });
        break;
      case Do::kKeys:
        Add(at, [this, i, &fault] {
          WriteKeys(i, fault.keys);
          nodes_[i].process->Signal(SIGHUP);
        });
        break;
      case Do::kForge:
        Add(at, [this, i, &fault] { Forge(i, fault.rate); });
        Add(end, [this, i] { EndForging(i); });
        break;
      default:
        break;
    }
  }
  void Freeze(std::size_t i, bool on) {
    Node& node = nodes_[i];
    node.frozen = on;
    node.process->Signal(on ? SIGSTOP : SIGCONT);
    for (const auto& before : node.predecessors) before->Signal(on ? SIGSTOP : SIGCONT);
  }

  void StartLoad() {
    if (scenario_.load.empty() || scenario_.fleet.gateways == 0) return;
    standins_.Do([&] {
      standin::GatewaysOptions gateways;
      for (std::size_t i = 0; i < count_; ++i) gateways.targets.push_back(connections_[3 * i]->address());
      gateways.gateways = static_cast<int>(scenario_.fleet.gateways);
      gateways.classes = options_.classes;
      gateways.rate = Rate(scenario_.load.front().share);
      gateways.retries = 1;
      gateways.seed = scenario_.seed;
      gateways.on_attempt_ended = [this](const standin::AttemptReport& attempt) {
        if (attempt.outcome == standin::AttemptOutcome::kUnanswered) Describe(attempt);
      };
      gateways_ = std::make_unique<standin::Gateways>(standins_.base(), gateways);
    });
  }
  // On the loop of the stand-ins.
  void Describe(const standin::AttemptReport& attempt) {
    if (result_.unanswered.size() >= kMaxUnansweredDescribed) return;
    UnansweredReport report;
    report.attempt = attempt;
    report.node = nodes_[attempt.target].name;
    for (const auto& pool : pools_) {
      const auto state = pool->StateOf(attempt.request_id);
      if (state != standin::Pool::RunState::kNone) report.run_state = state;
    }
    report.sweep_lag = gateways_->account().worst_sweep_lag;
    report.scenario_time = Now();
    result_.unanswered.push_back(std::move(report));
  }
  double Rate(double share) const {
    return std::max(0.1, share * options_.capacity(scenario_.fleet.cores) *
                             static_cast<double>(shared() ? pools_.size() : count_));
  }

  // Until every node that was started answers; the scenario's time begins then.
  void AwaitAll() {
    const Steady::time_point until = Steady::now() + kPatience;
    for (Node& node : nodes_) {
      while (node.wanted && !options_.look(node.control)) {
        if (Steady::now() > until)
          throw std::runtime_error("rig: " + node.name + " does not answer; see its log");
        std::this_thread::sleep_for(10ms);
      }
    }
  }

  void Play() {
    // Starts come first, and on their own time: a process takes as long as the machine lets it.
    std::size_t next = 0;
    while (next < events_.size() && events_[next].at < scenario_.fleet.start_within) events_[next++].what();
    AwaitAll();
    for (Node& node : nodes_) node.began = Millis(0);
    Say("all " + std::to_string(count_) + " nodes answer");
    began_ = Steady::now();
    relays_.Do([this] { late_.clear(); });
    StartLoad();
    std::size_t next_load = 1;
    // Looks are one after the other, and a view is as long as the fleet.
    const double looked = static_cast<double>(count_ * count_) * 0.02;
    const Millis each = std::max(options_.look_each, Millis(looked));
    Millis next_look = each, next_window{1'000};
    grain_ = each;
    while (Now() < scenario_.length) {
      if (next < events_.size() && events_[next].at <= Now()) {
        events_[next++].what();
        continue;
      }
      if (next_load < scenario_.load.size() && scenario_.load[next_load].at <= Now()) {
        standins_.Do([&] {
          if (gateways_) gateways_->SetRate(Rate(scenario_.load[next_load].share));
        });
        ++next_load;
        continue;
      }
      if (shared() && next_window <= Now()) {
        Window();
        next_window += 1s;
        continue;
      }
      if (next_look <= Now()) {
        Look();
        next_look = std::max(Now(), next_look + each);
        continue;
      }
      Millis until = std::min(next_look, scenario_.length);
      if (shared()) until = std::min(until, next_window);
      if (next < events_.size()) until = std::min(until, events_[next].at);
      if (next_load < scenario_.load.size()) until = std::min(until, scenario_.load[next_load].at);
      std::this_thread::sleep_until(began_ + std::chrono::duration_cast<Steady::duration>(until));
    }
  }

  void Look() {
    std::vector<std::optional<NodeView>> views(count_);
    std::vector<Millis> seen_at(count_,
                                Millis(0));  // Of hundreds, the last is seen much later than the first.
    const Millis at = Now();
    std::size_t live = 0;
    for (std::size_t i = 0; i < count_; ++i) {
      Node& node = nodes_[i];
      for (const auto& before : node.predecessors) {
        before->Gather();
        before->Ended();
      }
      if (node.wanted && node.process->Ended()) {
        node.wanted = false;
        result_.crashed.push_back(node.name);
        Violate(node.name + " ended by itself");
      }
      if (!node.wanted) continue;
      node.process->Gather();
      node.core_wait_most = std::max(node.core_wait_most, node.process->CoreWait(grain_ * 2));
      ++live;
      if (node.frozen || !options_.peers) continue;
      views[i] = options_.look(node.control);
      seen_at[i] = Now();
      if (views[i] && views[i]->cut_off) cut_off_.insert(node.name);
    }
    if (!options_.peers) return;
    for (std::size_t i = 0; i < count_; ++i) {
      if (!views[i]) continue;
      for (const auto& [name, other] : views[i]->others) {
        if (!other.gone) continue;
        const std::size_t about = std::stoul(name.substr(1));
        for (const Assertion& assertion : scenario_.assertions) {
          if (assertion.what == Check::kNoneDropped)
            Violate("n" + std::to_string(i) + " holds " + name + " as gone");
          if (assertion.what == Check::kNobodyGone && nodes_[about].wanted && at - nodes_[about].began > 1s &&
              (!assertion.who || NodesOf(scenario_, *assertion.who)[about])) {
            Violate("n" + std::to_string(i) + " holds " + name + " as gone, which lives");
          }
        }
        for (Kill& kill : kills_) {
          if (!kill.times.open || kill.node != about || !kill.knows.insert(i).second) continue;
          kill.times.Learn(kill.knows.size(), live, seen_at[i] - kill.at);
        }
      }
    }
    const std::string why = Disagreement(views, live);
    if (why.empty()) {
      for (std::size_t e = 0; e < ends_.size(); ++e) {
        if (ends_[e] <= at && result_.agreed_after[e].count() < 0) result_.agreed_after[e] = at - ends_[e];
      }
      return;
    }
    for (const Assertion& assertion : scenario_.assertions) {
      if ((assertion.what == Check::kAgree || assertion.what == Check::kBack) && !disagreed_ &&
          at >= scenario_.LastFault() + assertion.within) {
        disagreed_ = true;
        Violate("at " + std::to_string(std::lround(at.count())) + " ms views differ: " + why);
      }
    }
  }

  // How evenly the services were used in the last second.
  void Window() {
    std::vector<std::uint64_t> started;
    standins_.Do([&] {
      for (const auto& pool : pools_) started.push_back(pool->counts().started);
    });
    if (!started_.empty()) {
      double most = 0, all = 0;
      for (std::size_t s = 0; s < started.size(); ++s) {
        const auto now = static_cast<double>(started[s] - started_[s]);
        most = std::max(most, now);
        all += now;
      }
      if (all > 0) windows_.push_back(most * static_cast<double>(started.size()) / all);
    }
    started_ = std::move(started);
  }

  // Empty where all that live and run hold exactly those that live, in their newest life.
  std::string Disagreement(const std::vector<std::optional<NodeView>>& views, std::size_t live) const {
    for (std::size_t i = 0; i < count_; ++i) {
      if (!nodes_[i].wanted || nodes_[i].frozen) continue;
      if (!views[i]) return nodes_[i].name + " does not answer";
      std::size_t here = 1;
      for (const auto& [name, other] : views[i]->others) {
        if (other.gone) continue;
        ++here;
        const std::size_t about = std::stoul(name.substr(1));
        if (!nodes_[about].wanted) return nodes_[i].name + " holds " + name + " as there, which is not";
        if (views[about] && views[about]->life != other.life)
          return nodes_[i].name + " knows of an older life of " + name;
      }
      if (here != live)
        return nodes_[i].name + " knows of " + std::to_string(here) + " of " + std::to_string(live);
    }
    return {};
  }

  void Violate(const std::string& what) {
    if (result_.violations.size() < 20) result_.violations.push_back(what);
  }

  void Conclude() {
    while (!forgers_.empty()) EndForging(forgers_.begin()->first);
    if (gateways_) {
      standins_.Do([&] { gateways_->Stop(); });
      const Steady::time_point until = Steady::now() + 10s;
      for (bool idle = false; !idle && Steady::now() < until;) {
        standins_.Do([&] { idle = gateways_->idle(); });
        if (!idle) std::this_thread::sleep_for(5ms);
      }
      standins_.Do([&] {
        const standin::Account& account = gateways_->account();
        result_.account = account.Sum();
        result_.median_ms = account.Wait(0.5);
        result_.p99_ms = account.Wait(0.99);
        result_.arrival_lag = account.worst_lag;
        result_.sweep_lag = account.worst_sweep_lag;
        if (account.worst_lag > options_.late_most) result_.is_void = true;
      });
    }
    if (shared()) {
      standins_.Do([&] {
        for (const auto& pool : pools_) {
          result_.started.push_back(pool->counts().started);
          result_.errors.push_back(pool->counts().errors);
          result_.most_running.push_back(pool->counts().most_running);
        }
      });
      for (const double window : windows_) {
        result_.most_1s += window / static_cast<double>(windows_.size());
        result_.worst_1s = std::max(result_.worst_1s, window);
      }
    }
    relays_.Do([&] {
      result_.relay = counts_;
      if (!late_.empty()) {
        std::sort(late_.begin(), late_.end());
        result_.late_worst = Millis(late_.back());
        result_.late_99 = Millis(late_[late_.size() * 99 / 100]);
      }
    });
    if (result_.late_worst > options_.late_most || result_.late_99 > options_.late_99) result_.is_void = true;
    double cpu = 0, rss = 0;
    std::size_t live = 0;
    Millis lived{0};
    for (Node& node : nodes_) {
      double seconds = 0;
      result_.core_wait_most = std::max(result_.core_wait_most, node.core_wait_most);
      if (node.process->running()) {
        node.lived += Now() - node.began;
        node.process->Gather();
        rss += node.process->rss_mb();
        ++live;
      }
      for (const auto& before : node.predecessors) seconds += before->cpu_seconds();
      seconds += node.process->cpu_seconds();
      cpu += seconds;
      lived += node.lived;
      if (node.lived.count() > 0)
        result_.cpu_most = std::max(result_.cpu_most, seconds * 1000 / node.lived.count());
    }
    if (lived.count() > 0) {
      result_.cpu_share = cpu * 1000 / lived.count();
      result_.bytes_a_second = static_cast<double>(counts_.bytes) * 1000 / lived.count();
    }
    if (live > 0) result_.rss_mb = rss / static_cast<double>(live);
    for (const Kill& kill : kills_) result_.kills.push_back(kill.times);
    for (const Node& node : nodes_) {
      std::ifstream log(node.folder + "/log");
      for (std::string line; std::getline(log, line);) {
        if (line.find("learned-imported") != std::string::npos) result_.recalled.push_back(node.name);
      }
    }
    result_.cut_off.assign(cut_off_.begin(), cut_off_.end());
    std::vector<bool> was_cut_off;
    for (const Node& node : nodes_) was_cut_off.push_back(cut_off_.contains(node.name));
    for (const std::string& wrong :
         Judge(scenario_, {result_.bytes_a_second, result_.kills, was_cut_off}, grain_)) {
      Violate(wrong);
    }
    JudgeAccount();
  }

  void JudgeAccount() {
    const standin::ClassAccount& account = result_.account;
    for (const Assertion& assertion : scenario_.assertions) {
      switch (assertion.what) {
        case Check::kWhole:
          if (account.wrong + account.twice > 0)
            Violate(std::to_string(account.wrong) + " wrong answers, " + std::to_string(account.twice) +
                    " second ones");
          if (NothingEnds() && account.lost + account.unanswered > 0)
            Violate(std::to_string(account.lost) + " requests lost, " + std::to_string(account.unanswered) +
                    " unanswered");
          break;
        case Check::kEven:
          if (result_.most_1s > assertion.most)
            Violate("the busiest service has " + std::to_string(result_.most_1s) + " times the mean");
          break;
        case Check::kServed: {
          const double share = account.requests == 0 ? 0
                                                     : static_cast<double>(account.good) /
                                                           static_cast<double>(account.requests);
          if (share < assertion.least) Violate("served in time: " + std::to_string(share));
          break;
        }
        default:
          break;
      }
    }
  }
  // No fault that ends connections or holds them up.
  bool NothingEnds() const {
    return std::all_of(scenario_.faults.begin(), scenario_.faults.end(), [](const Fault& fault) {
      return OnLinks(fault.do_) && fault.who.kind != Who::Kind::kAll &&
             fault.who.kind != Who::Kind::kGateways && fault.who.kind != Who::Kind::kPools &&
             fault.to.kind != Who::Kind::kAll;
    });
  }

  const Scenario& scenario_;
  const RigOptions& options_;
  const std::size_t count_;
  Weather weather_;  // On the relays' loop from SetUp() on.
  pcg64 draw_;       // Likewise.
  Steady::time_point began_ = Steady::now();
  std::vector<Node> nodes_;
  standin::Host standins_, relays_;
  std::unique_ptr<standin::Registry> registry_;
  std::vector<std::unique_ptr<standin::Pool>> pools_;
  std::unique_ptr<standin::Gateways> gateways_;
  RelayCounts counts_;
  std::unique_ptr<DatagramRelay> datagrams_;
  std::vector<std::unique_ptr<ConnectionRelay>> connections_;  // Three a node: gateways, pool, registry.
  std::optional<net::Timer> beat_;
  Steady::time_point next_beat_{};
  std::vector<float> late_;
  std::vector<Event> events_;
  std::vector<Millis> ends_;
  std::vector<Kill> kills_;
  std::set<std::string> cut_off_;
  std::map<std::string, std::string> keys_;  // Lines, by the scenario's names.
  std::map<std::size_t, std::unique_ptr<DatagramForger>> forgers_;
  Millis grain_{0};                               // Between two looks.
  std::vector<std::vector<std::uint32_t>> rows_;  // Of services that are shared, by node.
  std::map<std::pair<std::size_t, std::size_t>, std::string> service_at_;  // By node and service.
  std::vector<std::uint64_t> started_;
  std::vector<double> windows_;
  bool disagreed_ = false;
  RigResult result_;
};

}  // namespace

nlohmann::ordered_json UnansweredReport::Json() const {
  const char* run = "none";
  if (run_state == standin::Pool::RunState::kRunning) run = "running";
  if (run_state == standin::Pool::RunState::kEnded) run = "ended";
  return {{"id", proto::FormatRequestId(attempt.request_id)},
          {"class", attempt.class_name},
          {"node", node},
          {"connection", attempt.connection},
          {"connected", attempt.connected},
          {"unread_bytes", attempt.unread_bytes},
          {"at_ms", Round(scenario_time.count())},
          {"since_sent_ms", Round(Millis(attempt.ended - attempt.sent).count())},
          {"past_due_ms", Round(Millis(attempt.ended - attempt.due).count())},
          {"run", run},
          {"sweep_lag_ms", Round(sweep_lag.count())}};
}

nlohmann::ordered_json RigResult::Json() const {
  nlohmann::ordered_json json = {{"scenario", scenario},
                                 {"seed", seed},
                                 {"void", is_void},
                                 {"violations", violations},
                                 {"late_ms",
                                  {{"worst", Round(late_worst.count())},
                                   {"p99", Round(late_99.count())},
                                   {"arrivals", Round(arrival_lag.count())},
                                   {"sweeps", Round(sweep_lag.count())}}},
                                 {"core_wait_most_ms", Round(core_wait_most.count())},
                                 {"account",
                                  {{"requests", account.requests},
                                   {"tries", account.tries},
                                   {"served", account.served},
                                   {"refused", account.refused},
                                   {"failed", account.failed},
                                   {"lost", account.lost},
                                   {"unanswered", account.unanswered},
                                   {"late", account.late},
                                   {"wrong", account.wrong},
                                   {"twice", account.twice},
                                   {"not_sent", account.not_sent},
                                   {"good", account.good},
                                   {"median_ms", Round(median_ms)},
                                   {"p99_ms", Round(p99_ms)}}},
                                 {"relay",
                                  {{"datagrams", relay.datagrams},
                                   {"bytes", relay.bytes},
                                   {"lost", relay.lost},
                                   {"connections", relay.connections},
                                   {"resets", relay.resets}}},
                                 {"bytes_a_second", Round(bytes_a_second)},
                                 {"cpu_share", Round(cpu_share)},
                                 {"cpu_most", Round(cpu_most)},
                                 {"forged", forged},
                                 {"spread",
                                  {{"started", started},
                                   {"errors", errors},
                                   {"most_running", most_running},
                                   {"most_1s", Round(most_1s)},
                                   {"worst_1s", Round(worst_1s)}}},
                                 {"rss_mb", Round(rss_mb)},
                                 {"cut_off", cut_off},
                                 {"recalled", recalled},
                                 {"crashed", crashed}};
  json["kills"] = KillsJson(kills);
  json["unanswered"] = nlohmann::ordered_json::array();
  for (const UnansweredReport& report : unanswered) json["unanswered"].push_back(report.Json());
  json["agreed_after_ms"] = MillisJson(agreed_after);
  return json;
}

RigResult RunRig(const Scenario& scenario, const RigOptions& options) { return Rig(scenario, options).Run(); }

}  // namespace hingelink::lab
