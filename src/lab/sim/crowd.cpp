#include "lab/sim/crowd.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <nlohmann/json.hpp>
#include <numeric>
#include <pcg_random.hpp>
#include <queue>
#include <stdexcept>

#include "standin/core_model.h"

namespace hingelink::lab {
namespace {

using decide::LoadBalancer;
using decide::Milliseconds;
using decide::RequestTraits;

constexpr Millis kWindow{100}, kSample{20}, kTick{250};
constexpr std::size_t kWindowsOfSecond = 10;
// Behind the end of a fault on services, its return is watched for so long.
constexpr Millis kWatched{5'000};
constexpr double kColdShare = 0.25;
constexpr Millis kColdFor{1'000};
constexpr double kWriteShare = 0.1;

class Crowd {
 public:
  explicit Crowd(const CrowdOptions& options)
      : options_(options),
        arrivals_(options.seed, 11),
        network_(options.seed, 12),
        choices_(options.seed, 13),
        services_(options.services),
        nodes_(options.nodes) {
    for (std::size_t s = 0; s < services_.size(); ++s) {
      services_[s].speed = options.speeds[s % options.speeds.size()];
      services_[s].cores.emplace(CoresOf(s, 1));
      capacity_ += services_[s].speed * options.cores;
      records_.push_back({"s" + std::to_string(s), Zone(s), static_cast<double>(options.cores)});
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) members_.push_back({"n" + std::to_string(n), Zone(n)});
    subsets_ = decide::AssignSubsets(members_, records_, options.spread.subset_size);
    std::sort(members_.begin(), members_.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  }

  CrowdResult Run() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) Begin(n);
    PlanFaults();
    Push({.at = NextArrival(Millis(0)), .what = What::kArrival});
    if (options_.burst_each.count() > 0) Push({.at = options_.burst_each, .what = What::kBurst});
    Push({.at = kSample, .what = What::kSample});
    Push({.at = kWindow, .what = What::kWindow});
    const Millis end = options_.length + options_.deadline;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Carry(event);
    }
    Conclude();
    return std::move(result_);
  }

 private:
  enum class What {
    kArrival,
    kBurst,
    kReach,
    kAnswer,
    kEnds,
    kDue,
    kAsked,
    kTold,
    kTick,
    kFault,
    kFaultEnds,
    kReplace,
    kSample,
    kWindow
  };
  struct Event {
    Millis at{0};
    std::uint64_t number = 0;
    What what = What::kArrival;
    std::size_t run = 0;   // Or the fault, or the service of a question.
    std::size_t node = 0;  // And its life, of ticks and questions.
    std::uint64_t mark = 0;
    double figure = 0;
    Millis asked{0};
    bool operator<(const Event& other) const {
      return other.at != at ? other.at < at : other.number < number;
    }
  };
  struct Request {
    std::size_t node = 0, service = 0;
    std::uint64_t life = 0;  // Of the node.
    RequestTraits what;
    Millis work{0}, arrived{0}, began{0};
    decide::RequestOutcome end = decide::RequestOutcome::kSuccess;
    Millis took{0};
    bool answered = false;  // To whom it came from.
    int tries = 0, ran = 0;
  };
  struct Service {
    std::optional<standin::CoreModel> cores;
    double speed = 1;
    bool lost = false, hole = false;
    std::uint64_t timer = 0;
    std::uint64_t coming = 0;  // On the way to it.
    std::size_t sent = 0;      // In this window.
    std::vector<std::size_t> window;
    Millis watched_until{-1};
  };
  struct Node {
    std::unique_ptr<LoadBalancer> spread;
    std::vector<decide::EndpointId> ids;  // By service.
    std::vector<std::size_t> services;    // By id.
    std::vector<Millis> touched;          // By service: tried or asked last.
    std::uint64_t life = 0;
    bool up = false;
  };

  standin::Cores CoresOf(std::size_t s, double warming_up) const {
    standin::Cores cores;
    cores.count = options_.cores;
    cores.speed = services_[s].speed;
    cores.warm_up_speed_fraction = warming_up;
    cores.cold_for = warming_up < 1 ? kColdFor : Millis(0);
    cores.crowd_share = 1;
    return cores;
  }
  std::string Zone(std::size_t i) const {
    return options_.zones > 1 ? std::string(1, static_cast<char>('a' + i % options_.zones)) : "";
  }
  void Push(Event event) {
    event.number = ++last_event_;
    events_.push(std::move(event));
  }
  static double Part(pcg64& draw) { return static_cast<double>(draw() >> 11) * 0x1.0p-53; }
  Millis Way() { return options_.delay * (1 + Part(network_)); }
  // Each node's own clock: nothing may follow from what it shows.
  Milliseconds Clock(std::size_t n) const { return now_ + Millis(1e6 + 777.0 * static_cast<double>(n)); }

  double RateAt(Millis at) const {
    const double mean = options_.work.count() * 1.0;
    double rate = options_.load * capacity_ / mean;  // A millisecond.
    if (options_.wave.count() > 0) rate *= 1 - std::cos(2 * M_PI * at.count() / options_.wave.count());
    return rate;
  }
  Millis NextArrival(Millis from) {
    const double most =
        options_.load * capacity_ / options_.work.count() * (options_.wave.count() > 0 ? 2 : 1);
    for (Millis at = from;;) {
      at += Millis(-std::log(1 - Part(arrivals_)) / most);
      if (Part(arrivals_) * most <= RateAt(at)) return at;
    }
  }

  void Begin(std::size_t n) {
    Node& node = nodes_[n];
    ++node.life;
    node.up = true;
    node.spread = std::make_unique<LoadBalancer>(
        options_.spread, "n" + std::to_string(n), Zone(n), [this] { return choices_(); },
        [this, n](const auto&, const auto& services, std::size_t) {
          // Services come by name; the rows were computed once, for all.
          std::vector<std::uint32_t> row;
          for (const std::uint32_t s : subsets_[n]) {
            for (std::uint32_t i = 0; i < services.size(); ++i) {
              if (services[i].name == records_[s].name) row.push_back(i);
            }
          }
          return row;
        });
    node.ids.clear();
    node.services.assign(services_.size(), 0);
    node.touched.assign(services_.size(), now_);
    node.spread->SetNodes(Clock(n), members_);
    node.spread->SetEndpoints(Clock(n), records_);
    for (std::size_t s = 0; s < services_.size(); ++s) {
      node.ids.push_back(node.spread->FindEndpoint(records_[s].name));
      node.services[node.ids.back()] = s;
      node.spread->SetConnected(Clock(n), node.ids.back(), !services_[s].lost);
    }
    Push({.at = now_ + kTick * Part(network_), .what = What::kTick, .node = n, .mark = node.life});
  }

  void PlanFaults() {
    for (std::size_t f = 0; f < options_.faults.size(); ++f) {
      const CrowdFault& fault = options_.faults[f];
      if (fault.what == CrowdDo::kReplaced) {
        for (std::size_t i = 0; i < fault.who.size(); ++i) {
          const Millis at =
              fault.at + fault.lasts * (static_cast<double>(i) / static_cast<double>(fault.who.size()));
          Push({.at = at, .what = What::kReplace, .node = fault.who[i], .mark = 0});
          Push({.at = at + Millis(300), .what = What::kReplace, .node = fault.who[i], .mark = 1});
        }
        continue;
      }
      Push({.at = fault.at, .what = What::kFault, .run = f});
      Push({.at = fault.at + fault.lasts, .what = What::kFaultEnds, .run = f});
    }
  }

  void Carry(const Event& event) {
    switch (event.what) {
      case What::kArrival: {
        // One of the first node is so many times as likely; who is down passes it to another.
        const double all = static_cast<double>(nodes_.size() - 1) + options_.first_node;
        const double at = Part(arrivals_) * all;
        std::size_t n = at < options_.first_node ? 0 : 1 + static_cast<std::size_t>(at - options_.first_node);
        n = std::min(n, nodes_.size() - 1);
        Arrive(n);
        const Millis next = NextArrival(now_);
        if (next < options_.length) Push({.at = next, .what = What::kArrival});
        break;
      }
      case What::kBurst:
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
          for (std::size_t i = 0; i < options_.burst; ++i) Arrive(n);
        }
        if (now_ + options_.burst_each < options_.length)
          Push({.at = now_ + options_.burst_each, .what = What::kBurst});
        break;
      case What::kReach:
        Reach(event.run);
        break;
      case What::kAnswer:
        Answer(event.run);
        break;
      case What::kEnds:
        if (event.mark == services_[event.run].timer) EndRuns(event.run);
        break;
      case What::kDue: {
        Request& run = runs_[event.run];
        if (run.answered) break;
        run.answered = true;
        Count(run, &CrowdResult::late);
        // The caller has gone; what runs for it is not needed any more.
        break;
      }
      case What::kAsked: {
        Service& s = services_[event.run];
        if (s.lost || Hangs(event.run)) break;
        Push({.at = now_ + Way() + options_.figures_age,
              .what = What::kTold,
              .run = event.run,
              .node = event.node,
              .mark = event.mark,
              .figure = static_cast<double>(s.cores->running()),
              .asked = event.asked});
        break;
      }
      case What::kTold: {
        Node& node = nodes_[event.node];
        if (!node.up || node.life != event.mark) break;
        node.touched[event.run] = now_;
        // It knows when it asked, and so how old the answer may be.
        node.spread->OnLoadReport(Clock(event.node), node.ids[event.run], event.figure,
                                  event.asked + (Clock(event.node) - now_));
        break;
      }
      case What::kTick:
        Tick(event.node, event.mark);
        break;
      case What::kFault:
        Switch(options_.faults[event.run], true);
        break;
      case What::kFaultEnds:
        Switch(options_.faults[event.run], false);
        break;
      case What::kReplace: {
        Node& node = nodes_[event.node];
        if (event.mark == 1) {
          Begin(event.node);
        } else {
          node.up = false;
          node.spread.reset();
        }
        break;
      }
      case What::kSample:
        Sample();
        if (now_ + kSample <= options_.length) Push({.at = now_ + kSample, .what = What::kSample});
        break;
      case What::kWindow:
        Window();
        if (now_ + kWindow <= options_.length) Push({.at = now_ + kWindow, .what = What::kWindow});
        break;
    }
  }

  void Arrive(std::size_t n) {
    while (!nodes_[n].up) n = arrivals_() % nodes_.size();
    Request run;
    run.node = n;
    run.arrived = now_;
    const bool is_long = Part(arrivals_) < 0.2;
    run.what.request_kind = is_long ? 1 : 0;
    // 0.8 * 0.75 + 0.2 * 2 = 1.
    run.work = options_.work * (is_long ? 2.0 : 0.75) * -std::log(1 - Part(arrivals_));
    run.what.is_idempotent = Part(arrivals_) >= kWriteShare;
    runs_.push_back(run);
    if (now_ >= options_.warm) {
      ++result_.requests;
      const auto second = static_cast<std::size_t>(now_.count() / 1000);
      if (by_second_.size() <= second) by_second_.resize(second + 1);
      ++by_second_[second].first;
    }
    Push({.at = now_ + options_.deadline, .what = What::kDue, .run = runs_.size() - 1});
    Send(runs_.size() - 1, decide::kNoEndpoint);
  }

  void Count(const Request& run, std::uint64_t CrowdResult::*count) {
    if (run.arrived < options_.warm) return;
    ++(result_.*count);
    if (count == &CrowdResult::good) {
      ++by_second_[static_cast<std::size_t>(run.arrived.count() / 1000)].second;
      times_.push_back(static_cast<float>((now_ - run.arrived).count()));
    }
  }

  void Send(std::size_t r, decide::EndpointId not_at) {
    Request& run = runs_[r];
    Node& node = nodes_[run.node];
    run.life = node.life;
    ++run.tries;
    if (options_.yardstick) {
      run.service = Yardstick();
    } else {
      const auto start = node.spread->ChooseEndpoint(Clock(run.node), run.what, not_at);
      if (!start) {
        run.answered = true;
        Count(run, &CrowdResult::refused);
        return;
      }
      run.service = node.services[start->endpoint];
      node.touched[run.service] = now_;
      const decide::EndpointSnapshot look = node.spread->Snapshot(Clock(run.node), start->endpoint);
      if (services_[run.service].lost && AnyUp(node)) ++result_.outside;
      if (look.state == decide::EndpointState::kEjected &&
          start->reason != decide::ChoiceReason::kAllEjected &&
          start->reason != decide::ChoiceReason::kRetry &&
          start->reason != decide::ChoiceReason::kOnlyEndpoint)
        ++result_.outside;
    }
    ++services_[run.service].sent;
    ++services_[run.service].coming;
    Push({.at = now_ + Way(), .what = What::kReach, .run = r});
  }

  bool AnyUp(const Node& node) const {
    return std::any_of(node.spread->active_endpoints().begin(), node.spread->active_endpoints().end(),
                       [&](decide::EndpointId id) { return !services_[node.services[id]].lost; });
  }

  std::size_t Yardstick() {
    std::size_t best = 0;
    double least = 1e18;
    const std::size_t from = choices_() % services_.size();
    for (std::size_t i = 0; i < services_.size(); ++i) {
      const std::size_t s = (from + i) % services_.size();
      if (services_[s].lost || services_[s].hole || pace_[s] == 0) continue;
      const double runs = static_cast<double>(services_[s].cores->running() + services_[s].coming + 1);
      const double cost = std::max(1.0, runs / options_.cores) / (services_[s].speed * pace_[s]);
      if (cost < least) {
        least = cost;
        best = s;
      }
    }
    return best;
  }

  void Back(std::size_t r, decide::RequestOutcome end, Millis took) {
    runs_[r].end = end;
    runs_[r].took = took;
    Push({.at = now_ + Way(), .what = What::kAnswer, .run = r});
  }

  void Reach(std::size_t r) {
    Request& run = runs_[r];
    Service& s = services_[run.service];
    --s.coming;
    if (s.lost) return Back(r, decide::RequestOutcome::kNotExecuted, Millis(0));
    if (s.hole) {
      ++run.ran;
      return Back(r, decide::RequestOutcome::kError, Millis(0.2));
    }
    if (static_cast<double>(s.cores->running()) >= options_.refuses_at * options_.cores)
      return Back(r, decide::RequestOutcome::kNotExecuted, Millis(0));
    if (++run.ran > 1 && !run.what.is_idempotent) ++result_.writes_twice;
    run.began = now_;
    s.cores->Start(r, run.work, now_ - born_of(run.service));
    Arm(run.service);
  }

  Millis born_of(std::size_t s) const { return born_.empty() ? Millis(0) : born_[s]; }
  bool Hangs(std::size_t s) const { return pace_[s] == 0; }

  void Arm(std::size_t s) {
    const auto next = services_[s].cores->NextEnd(now_ - born_of(s));
    ++services_[s].timer;
    if (next)
      Push({.at = std::max(now_, born_of(s) + *next),
            .what = What::kEnds,
            .run = s,
            .mark = services_[s].timer});
  }

  void EndRuns(std::size_t s) {
    for (const std::uint64_t r : services_[s].cores->TakeEnded(now_ - born_of(s)))
      Back(r, decide::RequestOutcome::kSuccess, now_ - runs_[r].began);
    Arm(s);
  }

  void Answer(std::size_t r) {
    Request& run = runs_[r];
    Node& node = nodes_[run.node];
    const bool same = node.up && node.life == run.life;
    if (same && !options_.yardstick)
      node.spread->OnRequestFinished(Clock(run.node), node.ids[run.service], run.what, run.end, run.took);
    if (run.answered) return;
    if (!same) {
      run.answered = true;
      Count(run, &CrowdResult::failed);
      return;
    }
    const bool may_again = run.end == decide::RequestOutcome::kNotExecuted ||
                           (options_.plants_repeats && run.end == decide::RequestOutcome::kError);
    if (may_again && run.tries == 1 && !options_.yardstick && node.spread->TryConsumeRetry()) {
      ++result_.repeats;
      return Send(r, node.ids[run.service]);
    }
    run.answered = true;
    Count(run, run.end == decide::RequestOutcome::kSuccess ? &CrowdResult::good
               : run.end == decide::RequestOutcome::kError ? &CrowdResult::failed
                                                           : &CrowdResult::refused);
  }

  void Tick(std::size_t n, std::uint64_t life) {
    Node& node = nodes_[n];
    if (!node.up || node.life != life || options_.yardstick) return;
    node.spread->Tick(Clock(n));
    for (const decide::EndpointId id : node.spread->EndpointsToPoll(Clock(n))) {
      const std::size_t s = node.services[id];
      Push({.at = now_ + Way(), .what = What::kAsked, .run = s, .node = n, .mark = node.life, .asked = now_});
    }
    double aside = 0, up = 0;
    for (const decide::EndpointId id : node.spread->active_endpoints()) {
      const std::size_t s = node.services[id];
      const decide::EndpointSnapshot look = node.spread->Snapshot(Clock(n), id);
      if (look.state == decide::EndpointState::kDisconnected) {
        node.touched[s] = now_;
        continue;
      }
      up += 1;
      aside += look.state == decide::EndpointState::kEjected || look.state == decide::EndpointState::kHalfOpen
                   ? 1
                   : 0;
      if (Hangs(s)) node.touched[s] = now_;
      result_.untried_ms =
          std::max(result_.untried_ms, (now_ - node.touched[s] - options_.figures_age).count());
    }
    // Who has just come into use counts from then on.
    for (std::size_t s = 0; s < services_.size(); ++s) {
      if (!node.spread->Snapshot(Clock(n), node.ids[s]).is_active) node.touched[s] = now_;
    }
    if (up > 0) result_.aside_most = std::max(result_.aside_most, aside / up);
    Push({.at = now_ + kTick / 4, .what = What::kTick, .node = n, .mark = life});
  }

  void Switch(const CrowdFault& fault, bool on) {
    for (const std::size_t s : fault.who) {
      Service& service = services_[s];
      switch (fault.what) {
        case CrowdDo::kSlow:
        case CrowdDo::kHang:
          pace_[s] = !on ? 1 : fault.what == CrowdDo::kHang ? 0 : 1 / fault.factor;
          service.cores->SetPace(pace_[s], now_ - born_of(s));
          Arm(s);
          break;
        case CrowdDo::kBlackHole:
          service.hole = on;
          break;
        case CrowdDo::kLost:
          service.lost = on;
          if (on) {
            // What it had is lost with it; the links tell.
            for (std::size_t r = 0; r < runs_.size(); ++r) {
              Request& run = runs_[r];
              if (run.service == s && !run.answered && run.ran > 0 &&
                  service.cores->Cancel(r, now_ - born_of(s)))
                Back(r, decide::RequestOutcome::kError, now_ - run.began);
            }
          } else {
            born_.resize(services_.size(), Millis(0));
            born_[s] = now_;
            service.cores.emplace(CoresOf(s, kColdShare));
          }
          ++service.timer;
          for (std::size_t n = 0; n < nodes_.size(); ++n) {
            // Each hears of it when its own link breaks or is bound.
            if (nodes_[n].up) nodes_[n].spread->SetConnected(Clock(n), nodes_[n].ids[s], !on);
          }
          break;
        case CrowdDo::kReplaced:
          break;
      }
      if (!on) service.watched_until = now_ + kWatched;
    }
  }

  void Sample() {
    if (now_ < options_.warm) return;
    double all = 0, most = 0;
    for (const Service& s : services_) {
      all += static_cast<double>(s.cores->running());
      most = std::max(most, static_cast<double>(s.cores->running()));
    }
    const double mean = all / static_cast<double>(services_.size());
    for (std::size_t i = 0; i < services_.size(); ++i) {
      const Service& s = services_[i];
      ++samples_;
      if (!s.lost && !s.hole && s.cores->running() == 0 && most > 2 * options_.cores) ++idle_;
      if (now_ <= s.watched_until && mean >= 0.5)
        result_.back_hand =
            std::max(result_.back_hand, static_cast<double>(s.cores->running()) / std::max(1.0, mean));
    }
  }

  void Window() {
    std::size_t sent = 0;
    for (const Service& s : services_) sent += s.sent;
    double most = 0;
    for (Service& s : services_) {
      const double fair = static_cast<double>(sent) * s.speed * options_.cores / capacity_;
      const double over = fair > 0 ? static_cast<double>(s.sent) / fair : 0;
      most = std::max(most, over);
      if (now_ - kWindow <= s.watched_until && now_ >= options_.warm)
        result_.back_most = std::max(result_.back_most, over);
      s.window.push_back(s.sent);
      if (s.window.size() > kWindowsOfSecond) s.window.erase(s.window.begin());
      s.sent = 0;
    }
    window_sent_.push_back(sent);
    if (window_sent_.size() > kWindowsOfSecond) window_sent_.erase(window_sent_.begin());
    if (now_ < options_.warm) return;
    most_100ms_.push_back(most);
    if (now_ < options_.warm + Millis(1'000)) return;
    const auto sum = [](const std::vector<std::size_t>& of) {
      return std::accumulate(of.begin(), of.end(), std::size_t{0});
    };
    const double all = static_cast<double>(sum(window_sent_));
    double second = 0;
    for (const Service& s : services_) {
      const double fair = all * s.speed * options_.cores / capacity_;
      if (fair > 0) second = std::max(second, static_cast<double>(sum(s.window)) / fair);
    }
    most_1s_.push_back(second);
  }

  void Conclude() {
    const auto mean = [](const std::vector<double>& of) {
      return of.empty() ? 0 : std::accumulate(of.begin(), of.end(), 0.0) / static_cast<double>(of.size());
    };
    result_.most_100ms = mean(most_100ms_);
    result_.most_1s = mean(most_1s_);
    for (const double value : most_1s_) result_.worst_1s = std::max(result_.worst_1s, value);
    result_.idle_share = samples_ == 0 ? 0 : static_cast<double>(idle_) / static_cast<double>(samples_);
    std::sort(times_.begin(), times_.end());
    if (!times_.empty()) {
      result_.p50_ms = times_[times_.size() / 2];
      result_.p99_ms = times_[times_.size() * 99 / 100];
    }
    for (const auto& [requests, good] : by_second_)
      result_.good_by_second.push_back(
          requests == 0 ? 1 : static_cast<double>(good) / static_cast<double>(requests));
    for (const Node& node : nodes_) {
      if (!node.spread) continue;
      result_.asked += node.spread->counters().polls;
      result_.asides += node.spread->counters().ejections;
      result_.widened += node.spread->counters().expansions;
    }
  }

  const CrowdOptions& options_;
  pcg64 arrivals_, network_, choices_;
  Millis now_{0};
  std::priority_queue<Event> events_;
  std::uint64_t last_event_ = 0;
  std::vector<Service> services_;
  std::vector<Node> nodes_;
  std::vector<decide::SubsetEndpoint> records_;
  std::vector<decide::SubsetNode> members_;
  std::vector<std::vector<std::uint32_t>> subsets_;
  double capacity_ = 0;  // Cores of speed 1.
  std::vector<Request> runs_;
  std::vector<Millis> born_;
  std::vector<double> pace_ = std::vector<double>(services_.size(), 1);
  std::vector<std::pair<std::uint64_t, std::uint64_t>> by_second_;
  std::vector<float> times_;
  std::vector<double> most_100ms_, most_1s_;
  std::vector<std::size_t> window_sent_;
  std::uint64_t samples_ = 0, idle_ = 0;
  CrowdResult result_;
};

}  // namespace

CrowdResult SimulateCrowd(const CrowdOptions& options) { return Crowd(options).Run(); }

nlohmann::ordered_json CrowdResult::Json() const {
  const auto share = [this](std::uint64_t of) {
    return requests == 0 ? 0
                         : std::round(1e5 * static_cast<double>(of) / static_cast<double>(requests)) / 1e5;
  };
  return {{"requests", requests},
          {"good", share(good)},
          {"late", share(late)},
          {"refused", share(refused)},
          {"failed", share(failed)},
          {"repeats", share(repeats)},
          {"writes_twice", writes_twice},
          {"p50_ms", p50_ms},
          {"p99_ms", p99_ms},
          {"most_100ms", most_100ms},
          {"most_1s", most_1s},
          {"worst_1s", worst_1s},
          {"idle_share", idle_share},
          {"back_most", back_most},
          {"back_hand", back_hand},
          {"untried_ms", untried_ms},
          {"aside_most", aside_most},
          {"outside", outside},
          {"asked", asked},
          {"asides", asides},
          {"widened", widened},
          {"good_by_second", good_by_second}};
}

const std::vector<std::string>& CrowdCases() {
  static const std::vector<std::string> cases = {
      "even",           "slow-one", "black-hole", "zone-lost", "replaced", "old-figures", "mixed-speeds",
      "one-heavy-node", "one-left", "all-aside",  "bursts",    "waves",    "hangs"};
  return cases;
}

CrowdOptions CrowdCase(const std::string& name, CrowdOptions base) {
  CrowdOptions& o = base;
  const auto first = [&o](std::size_t count) {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < count && i < o.services; ++i) all.push_back(i);
    return all;
  };
  if (name == "even") return o;
  if (name == "slow-one") {
    // One of each eight, so that every subset has some.
    std::vector<std::size_t> slow;
    for (std::size_t s = 0; s < o.services; s += 8) slow.push_back(s);
    o.faults.push_back({Millis(4'000), Millis(4'000), CrowdDo::kSlow, slow, 8});
  } else if (name == "black-hole") {
    o.faults.push_back({Millis(4'000), Millis(4'000), CrowdDo::kBlackHole,
                        first(std::max<std::size_t>(1, o.services / 20)), 1});
  } else if (name == "hangs") {
    o.faults.push_back(
        {Millis(4'000), Millis(4'000), CrowdDo::kHang, first(std::max<std::size_t>(1, o.services / 20)), 1});
  } else if (name == "zone-lost") {
    o.zones = 4;
    o.load = std::min(o.load, 0.6);
    std::vector<std::size_t> zone;
    for (std::size_t s = 0; s < o.services; s += 4) zone.push_back(s);
    o.faults.push_back({Millis(4'000), Millis(5'000), CrowdDo::kLost, zone, 1});
    o.length = std::max(o.length, Millis(14'000));
  } else if (name == "replaced") {
    std::vector<std::size_t> nodes;
    for (std::size_t n = 0; n < o.nodes; ++n) {
      if (n % 5 < 3) nodes.push_back(n);
    }
    o.faults.push_back({Millis(4'000), Millis(7'000), CrowdDo::kReplaced, nodes, 1});
  } else if (name == "old-figures") {
    o.figures_age = Millis(3'000);
  } else if (name == "mixed-speeds") {
    o.speeds = {1, 2, 3};
  } else if (name == "one-heavy-node") {
    o.first_node = 100;
  } else if (name == "one-left") {
    o.spread.subset_size = 1;
  } else if (name == "all-aside") {
    // All fail for a while: whatever is held of them, they are used.
    o.faults.push_back({Millis(5'000), Millis(2'000), CrowdDo::kBlackHole, first(o.services), 1});
  } else if (name == "bursts") {
    o.burst_each = Millis(1'000);
    o.load = std::min(o.load, 0.6);
  } else if (name == "waves") {
    o.wave = Millis(3'000);
    o.load = std::min(o.load, 0.5);
  } else {
    std::string names;
    for (const std::string& one : CrowdCases()) names += (names.empty() ? "" : ", ") + one;
    throw std::invalid_argument("case: found \"" + name + "\"; wanted one of " + names);
  }
  return o;
}

}  // namespace hingelink::lab
