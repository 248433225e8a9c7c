#include "lab/sim/network.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "lab/scenario/weather.h"

namespace hingelink::lab {
namespace {

using decide::GossipMessage;
using decide::MemberPhase;
using decide::MemberRecord;
using decide::Membership;
using decide::MemberState;
using decide::MemberVersion;
using decide::MemberView;
using decide::Milliseconds;
using decide::PeerAddress;

// A UDP/IPv4 header, and what the link puts before a message (src/net/gossip_transport.h).
constexpr std::size_t kHeaderBytes = 28 + 48;
// What counts against the bytes a second.
constexpr std::size_t kLinkBytes = 36;
// What a frozen process's socket keeps for it.
constexpr std::size_t kInbox = 400;
constexpr Millis kLookEach{50};
constexpr Millis kServesAfter{1'500};
constexpr std::uint64_t kUnixAtStart = 1'790'000'000'000;
constexpr std::size_t kMostAudited = 1'000;
constexpr std::size_t kMostViolations = 20;

std::string NameOfNode(std::size_t node) { return "n" + std::to_string(node); }
std::size_t NodeOf(const std::string& name) {
  std::size_t node = SIZE_MAX;
  if (name.size() > 1) std::from_chars(name.data() + 1, name.data() + name.size(), node);
  return node;
}
PeerAddress AddressOf(std::size_t node) { return {static_cast<std::uint32_t>(node + 1), 7946}; }

// The digest of a run is compared with those of earlier versions: it covers the names that events had there.
const char* DigestNameOf(decide::MembershipEventKind kind) {
  using Kind = decide::MembershipEventKind;
  switch (kind) {
    case Kind::kMemberDead:
      return "member-gone";
    case Kind::kAccused:
      return "accused";
    case Kind::kRemovalsDeferred:
      return "cut-off";
    case Kind::kRemovalsResumed:
      return "heard-again";
    case Kind::kIsolated:
      return "deaf";
    case Kind::kPaused:
      return "thawed";
    case Kind::kNameConflict:
      return "name-taken";
    case Kind::kProcessEpochRaised:
      return "life-raised";
    default:
      return decide::MembershipEventName(kind);
  }
}

class Network {
 public:
  Network(const Scenario& scenario, const SimOptions& options)
      : scenario_(scenario),
        options_(options),
        draw_(scenario.seed, 1),
        nodes_(scenario.fleet.nodes),
        weather_(scenario) {
    result_.scenario = scenario_.name;
    result_.seed = scenario_.seed;
    result_.was_cut_off.assign(nodes_.size(), false);
    if (nodes_.size() <= kMostAudited) told_.resize(nodes_.size() * nodes_.size());
    for (const Fault& fault : scenario_.faults) {
      Active active;
      active.fault = &fault;
      active.from = NodesOf(scenario_, fault.who, &fault.to);
      for (std::size_t k = 0; k < active.keys.size() && !fault.keys.empty(); ++k) {
        const std::string& name = fault.keys[std::min(k, fault.keys.size() - 1)];
        const auto at = std::find(key_names_.begin(), key_names_.end(), name);
        active.keys[k] = static_cast<std::uint8_t>(at - key_names_.begin());
        if (at == key_names_.end()) key_names_.push_back(name);
      }
      faults_.push_back(std::move(active));
    }
  }

  SimResult Run() {
    Plan();
    while (!events_.empty() && events_.top().at <= scenario_.length) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      ++result_.events;
      Carry(event);
    }
    now_ = scenario_.length;
    Conclude();
    return std::move(result_);
  }

 private:
  enum class What { kStart, kTick, kArrive, kBegin, kEnd, kKill, kFreeze, kThaw, kKeys, kUpgrade, kLook };
  struct Event {
    Millis at{0};
    std::uint64_t number = 0;
    What what = What::kTick;
    std::size_t node = 0;    // Or the fault.
    std::uint64_t mark = 0;  // Of a tick or an arrival: the life of the node that it is for.
    std::size_t from = 0;
    std::uint8_t key = 0;
    std::shared_ptr<const GossipMessage> message{};
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  struct Node {
    std::unique_ptr<Membership> membership;
    pcg64 draw;
    std::uint64_t life = 0;  // How often started.
    std::uint64_t tick = 0;  // The tick event that counts.
    Millis began{0}, ended{0};
    bool frozen = false;
    std::vector<std::pair<std::size_t, std::shared_ptr<const GossipMessage>>> inbox;
    double pace = 1;
    Millis clock_at{0};     // Simulated time ...
    Milliseconds clock{0};  // ... and the node's clock then.
    double wall_ms = 0, slow_ms = 0;
    std::uint64_t bytes = 0;
    double may_send = 0;  // Bytes, at `sent_at`.
    Millis sent_at{0};
    std::array<std::uint8_t, 2>
        keys{};  // Those it believes, the first signs; both are the same where it has one.
    Millis lived{0};
    MemberVersion newest;  // That it ever told of itself, in any life.
  };
  struct Active {
    const Fault* fault = nullptr;
    std::vector<bool> from;              // Its processes.
    std::array<std::uint8_t, 2> keys{};  // That they are told.
  };
  struct Kill {
    std::size_t node = 0;
    Millis at{0};
    std::vector<bool> knows;
    std::size_t known = 0;
    KillTimes times;
  };
  // What an observer told of a node last.
  struct Told {
    MemberVersion version;
    bool gone = false;
  };

  void Push(Event event) {
    event.number = ++last_event_;
    events_.push(std::move(event));
  }
  void Violate(std::string what) {
    ++result_.broken;
    if (result_.violations.size() < kMostViolations) result_.violations.push_back({now_, std::move(what)});
  }
  double Part() { return static_cast<double>(draw_() >> 11) * 0x1.0p-53; }

  void Plan() {
    const std::size_t count = nodes_.size();
    for (std::size_t i = 0; i < count; ++i) {
      Push({.at = scenario_.fleet.start_within * (static_cast<double>(i) / static_cast<double>(count)),
            .what = What::kStart,
            .node = i});
    }
    for (std::size_t f = 0; f < faults_.size(); ++f) {
      const Fault& fault = *faults_[f].fault;
      const Millis end = fault.lasts.count() > 0 ? fault.at + fault.lasts : scenario_.length;
      if (fault.do_ == Do::kKill || fault.do_ == Do::kFreeze || fault.do_ == Do::kKeys ||
          fault.do_ == Do::kUpgrade) {
        const What what = fault.do_ == Do::kKill     ? What::kKill
                          : fault.do_ == Do::kFreeze ? What::kFreeze
                          : fault.do_ == Do::kKeys   ? What::kKeys
                                                     : What::kUpgrade;
        Millis at = fault.at;
        for (std::size_t i = 0; i < count; ++i) {
          if (!faults_[f].from[i]) continue;
          Push({.at = at, .what = what, .node = i, .from = f});
          if (fault.do_ == Do::kKill && fault.restart) {
            Push({.at = at + *fault.restart, .what = What::kStart, .node = i});
          } else if (fault.do_ == Do::kFreeze) {
            Push({.at = at + (end - fault.at), .what = What::kThaw, .node = i});
          }
          at += fault.stagger;
        }
      } else {
        Push({.at = fault.at, .what = What::kBegin, .node = f});
        Push({.at = end, .what = What::kEnd, .node = f});
      }
    }
    for (const Fault& fault : scenario_.faults) {
      const Millis end = fault.at + fault.lasts + fault.restart.value_or(Millis(0));
      if (end < scenario_.length) ends_.push_back(end);
    }
    std::sort(ends_.begin(), ends_.end());
    result_.agreed_after.assign(ends_.size(), Millis(-1));
    Push({.at = kLookEach, .what = What::kLook});
  }

  Milliseconds ClockOf(const Node& node) const { return node.clock + (now_ - node.clock_at) * node.pace; }

  void Carry(const Event& event) {
    switch (event.what) {
      case What::kStart:
        Start(event.node);
        break;
      case What::kTick: {
        Node& node = nodes_[event.node];
        if (!node.membership || node.frozen || event.mark != node.tick) break;
        Tick(event.node);
        break;
      }
      case What::kArrive: {
        Node& node = nodes_[event.node];
        // Its address is the same in each life: what is late reaches the next one.
        if (!node.membership) break;
        if (event.key != node.keys[0] && event.key != node.keys[1]) {
          ++result_.wrong_key;
          break;
        }
        if (node.frozen) {
          if (node.inbox.size() < kInbox) node.inbox.emplace_back(event.from, event.message);
          break;
        }
        Take(event.node, node.membership->OnMessage(ClockOf(node), AddressOf(event.from), *event.message));
        break;
      }
      case What::kBegin:
      case What::kEnd:
        Switch(event.node, event.what == What::kBegin);
        break;
      case What::kKill:
        End(event.node);
        break;
      case What::kFreeze:
        nodes_[event.node].frozen = true;
        break;
      case What::kThaw: {
        Node& node = nodes_[event.node];
        if (!std::exchange(node.frozen, false)) break;
        auto inbox = std::exchange(node.inbox, {});
        if (!node.membership) break;
        for (const auto& [from, message] : inbox) {
          Take(event.node, node.membership->OnMessage(ClockOf(node), AddressOf(from), *message));
        }
        Tick(event.node);
        break;
      }
      case What::kKeys:
        nodes_[event.node].keys = faults_[event.from].keys;
        break;
      case What::kUpgrade: {
        // The successor has the address at once, and the one before says nothing more.
        Node& node = nodes_[event.node];
        if (!node.membership || node.frozen) break;
        Gather(node);
        node.membership.reset();
        Start(event.node);
        break;
      }
      case What::kLook:
        Look();
        break;
    }
  }

  void Start(std::size_t i) {
    Node& node = nodes_[i];
    if (node.membership) return;
    ++node.life;
    node.draw = pcg64(scenario_.seed * 1'000'003 + i, node.life);
    node.frozen = false;
    node.inbox.clear();
    node.clock_at = now_;
    node.clock = Milliseconds(0);
    node.began = now_;
    node.may_send = options_.bytes_per_second;
    node.sent_at = now_;
    MemberRecord self;
    self.name = NameOfNode(i);
    self.address = AddressOf(i);
    self.zone = scenario_.fleet.zones[i % scenario_.fleet.zones.size()];
    const double wall = std::max(0.0, static_cast<double>(kUnixAtStart) + now_.count() + node.wall_ms);
    self.version.process_epoch = static_cast<std::uint64_t>(wall) * 1024 + node.draw() % 1024;
    std::vector<PeerAddress> seeds;
    for (std::size_t s = 0; s < scenario_.fleet.seeds && s < nodes_.size(); ++s) {
      if (s != i) seeds.push_back(AddressOf(s));
    }
    if (!told_.empty()) {
      std::fill_n(told_.begin() + static_cast<std::ptrdiff_t>(i * nodes_.size()), nodes_.size(), Told{});
    }
    node.membership = std::make_unique<Membership>(options_.membership, std::move(self), std::move(seeds),
                                                   [&node] { return node.draw(); });
    for (Kill& kill : kills_) {
      if (kill.node == i) kill.times.open = false;
    }
    Tick(i);
  }

  void End(std::size_t i) {
    Node& node = nodes_[i];
    if (!node.membership) return;
    Kill kill;
    kill.node = i;
    kill.times.node = NameOfNode(i);
    kill.at = now_;
    kill.knows.assign(nodes_.size(), false);
    kills_.push_back(std::move(kill));
    Gather(node);
    node.membership.reset();
    node.frozen = false;
    node.inbox.clear();
    node.ended = now_;
  }

  // Of a life that is over, or at the end.
  void Gather(Node& node) {
    node.lived += now_ - node.began;
    const decide::MembershipCounters& counts = node.membership->counters();
    result_.withdrawn += counts.withdrawn_suspicions;
    result_.suspicions += counts.suspicions;
  }

  void Tick(std::size_t i) {
    Node& node = nodes_[i];
    Take(i, node.membership->Tick(ClockOf(node)));
    if (node.membership->self().phase == MemberPhase::kJoining &&
        (node.membership->live_members() > 1 || now_ - node.began > kServesAfter)) {
      Take(i, node.membership->SetPhase(ClockOf(node), MemberPhase::kServing));
    }
    Schedule(i);
  }

  void Schedule(std::size_t i) {
    Node& node = nodes_[i];
    const Milliseconds due = node.membership->NextDeadline();
    // A loop has its grain: nothing is due at the very moment at which it was asked.
    const Millis in = std::max(Millis(1), (due - ClockOf(node)) / node.pace);
    Push({.at = now_ + in, .what = What::kTick, .node = i, .mark = ++node.tick});
  }

  void Switch(std::size_t f, bool on) {
    const Active& active = faults_[f];
    const Fault& fault = *active.fault;
    if (OnLinks(fault.do_)) return weather_.Switch(f, on);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!active.from[i]) continue;
      Node& node = nodes_[i];
      if (fault.do_ == Do::kPace) {
        node.clock = ClockOf(node);
        node.clock_at = now_;
        node.pace = on ? fault.share : 1;
        if (node.membership && !node.frozen) Schedule(i);
      } else if (fault.do_ == Do::kWall) {
        node.wall_ms = on ? fault.ms : 0;
      } else if (fault.do_ == Do::kSlow) {
        node.slow_ms = on ? fault.ms : 0;
      }
    }
  }

  void Take(std::size_t i, decide::MembershipActions actions) {
    for (const decide::MembershipEvent& word : actions.events) Hear(i, word);
    if (nodes_[i].membership->defers_removals()) result_.was_cut_off[i] = true;
    for (decide::OutgoingMessage& send : actions.messages) Send(i, std::move(send));
    result_.most_queued = std::max(result_.most_queued, nodes_[i].membership->queued_broadcasts());
    if (nodes_[i].membership->queued_broadcasts() > nodes_.size())
      Violate(NameOfNode(i) + " queues more than one word a member");
    // What Hear() brought may be due sooner than what was scheduled.
    if (!actions.messages.empty() || actions.view_changed) Schedule(i);
  }

  void Hear(std::size_t i, const decide::MembershipEvent& word) {
    if (options_.words) options_.words(now_, i, word);
    Digest(i);
    Digest(std::hash<std::string>{}(DigestNameOf(word.kind) + word.member));
    if (word.kind != decide::MembershipEventKind::kMemberDead) return;
    ++result_.gone;
    const std::size_t about = NodeOf(word.member);
    if (about >= nodes_.size()) return;
    const bool lives = nodes_[about].membership != nullptr;
    if (lives) ++result_.false_gone;
    for (const Assertion& assertion : scenario_.assertions) {
      if (assertion.what == Check::kNoneDropped)
        Violate(NameOfNode(i) + " holds " + word.member + " as gone");
      if (assertion.what == Check::kNobodyGone && lives &&
          (!assertion.who || NodesOf(scenario_, *assertion.who)[about])) {
        Violate(NameOfNode(i) + " holds " + word.member + " as gone, which lives");
      }
    }
    for (Kill& kill : kills_) {
      if (!kill.times.open || kill.node != about || kill.knows[i]) continue;
      kill.knows[i] = true;
      kill.times.Learn(++kill.known, Live(), now_ - kill.at);
    }
  }

  std::size_t Live() const {
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(), [](const Node& node) { return node.membership != nullptr; }));
  }

  // The auditor: what one observer tells of a node never goes back, and never brings back what it told as
  // gone.
  void Audit(std::size_t observer, const GossipMessage& message) {
    if (message.records.empty() || message.records.front().name != NameOfNode(observer))
      return Violate(NameOfNode(observer) + " sends without its own record");
    // An answer of a helper carries what another one just said of itself.
    const std::size_t most = message.kind == decide::GossipMessageKind::kAck ? 1 : message.records.size();
    if (told_.empty()) return;
    for (std::size_t r = 0; r < most; ++r) {
      const MemberRecord& record = message.records[r];
      const std::size_t about = NodeOf(record.name);
      if (about >= nodes_.size()) {
        Violate(NameOfNode(observer) + " tells of " + record.name + ", which there never was");
        continue;
      }
      Told& told = told_[observer * nodes_.size() + about];
      if (record.version < told.version) {
        Violate(NameOfNode(observer) + " tells an older version of " + record.name);
      } else if (record.version == told.version && told.gone && record.state != MemberState::kDead) {
        Violate(NameOfNode(observer) + " brings back " + record.name + " with no newer word");
      }
      if (record.version > nodes_[about].newest) {
        if (about == observer) {
          nodes_[about].newest = record.version;
        } else {
          Violate(NameOfNode(observer) + " raises the version of " + record.name);
        }
      }
      told.version = std::max(told.version, record.version);
      told.gone = record.version == told.version && record.state == MemberState::kDead;
    }
  }

  void Send(std::size_t from, decide::OutgoingMessage send) {
    const std::size_t to = send.to.ip - 1;
    if (options_.tamper) options_.tamper(from, send.message);
    const std::size_t bytes = decide::MaxEncodedSize(send.message);
    result_.most_message = std::max(result_.most_message, bytes);
    if (bytes > options_.membership.max_message_bytes)
      Violate(NameOfNode(from) + " sends " + std::to_string(bytes) + " bytes");
    Node& sender = nodes_[from];
    sender.may_send =
        std::min(sender.may_send + (now_ - sender.sent_at).count() / 1000 * options_.bytes_per_second,
                 2 * options_.bytes_per_second);
    sender.sent_at = now_;
    if (sender.may_send < static_cast<double>(bytes + kLinkBytes)) {
      ++result_.unsent;
      return;
    }
    sender.may_send -= static_cast<double>(bytes + kLinkBytes);
    Audit(from, send.message);
    ++result_.messages;
    result_.bytes += bytes + kHeaderBytes;
    nodes_[from].bytes += bytes + kHeaderBytes;
    Digest(from * 31 + to);
    Digest(bytes);
    if (to >= nodes_.size()) return;
    Millis delay = scenario_.fleet.delay + scenario_.fleet.jitter * Part() + Millis(nodes_[from].slow_ms);
    const Passage passage =
        weather_.Datagram(from, to, bytes + kHeaderBytes, now_, [this] { return Part(); });
    delay += passage.delay;
    const bool lost = (scenario_.fleet.loss > 0 && Part() < scenario_.fleet.loss) || passage.lost;
    const bool twice = passage.twice;
    if (lost) {
      ++result_.lost;
      return;
    }
    const auto message = std::make_shared<const GossipMessage>(std::move(send.message));
    const std::uint8_t key = sender.keys[0];
    Push({.at = now_ + delay,
          .what = What::kArrive,
          .node = to,
          .from = from,
          .key = key,
          .message = message});
    if (twice) {
      Push({.at = now_ + delay * (1 + 3 * Part()),
            .what = What::kArrive,
            .node = to,
            .from = from,
            .key = key,
            .message = message});
    }
  }

  // Whether all that live and run hold one view, and the true one.
  bool Agree(std::string* why = nullptr) const {
    const Node* first = nullptr;
    std::size_t live = 0;
    for (const Node& node : nodes_) {
      if (!node.membership || node.frozen) continue;
      ++live;
      if (first == nullptr) first = &node;
    }
    if (first == nullptr) return true;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const Node& node = nodes_[i];
      if (!node.membership || node.frozen) continue;
      if (node.membership->view_digest() == first->membership->view_digest()) continue;
      if (why != nullptr) {
        *why = NameOfNode(i) + " holds another view (" + std::to_string(node.membership->live_members()) +
               " members) than " + first->membership->self().name + " (" +
               std::to_string(first->membership->live_members()) + ')';
      }
      return false;
    }
    std::size_t here = 1;
    for (const MemberView& look : first->membership->Members(Milliseconds(0))) {
      if (look.record.state == MemberState::kDead) continue;
      ++here;
      const std::size_t node = NodeOf(look.record.name);
      const bool lives = node < nodes_.size() && nodes_[node].membership;
      if (lives && (nodes_[node].frozen || nodes_[node].membership->self().version.process_epoch ==
                                               look.record.version.process_epoch))
        continue;
      if (why != nullptr) *why = first->membership->self().name + " has a wrong word on " + look.record.name;
      return false;
    }
    const bool right = here == Live();
    if (!right && why != nullptr)
      *why = std::to_string(here) + " members known, " + std::to_string(Live()) + " live";
    return right;
  }

  void Look() {
    bool waited_for = false;
    for (std::size_t e = 0; e < ends_.size(); ++e) {
      if (ends_[e] <= now_ && result_.agreed_after[e].count() < 0) waited_for = true;
    }
    const Millis last = scenario_.LastFault();
    bool must = false;
    for (const Assertion& assertion : scenario_.assertions) {
      must = must || ((assertion.what == Check::kAgree || assertion.what == Check::kBack) &&
                      now_ >= last + assertion.within);
    }
    if (waited_for || must) {
      std::string why;
      if (Agree(&why)) {
        for (std::size_t e = 0; e < ends_.size(); ++e) {
          if (ends_[e] <= now_ && result_.agreed_after[e].count() < 0)
            result_.agreed_after[e] = now_ - ends_[e];
        }
      } else if (must && !disagreed_) {
        disagreed_ = true;
        Violate("views differ: " + why);
      }
    }
    Push({.at = now_ + kLookEach, .what = What::kLook});
  }

  void Conclude() {
    Millis lived{0};
    for (Node& node : nodes_) {
      if (node.membership) Gather(node);
      lived += node.lived;
      if (node.lived.count() > 0) {
        result_.most_bytes_a_second =
            std::max(result_.most_bytes_a_second,
                     static_cast<double>(node.bytes) * 1000 / std::max(1'000.0, node.lived.count()));
      }
    }
    if (lived.count() > 0) result_.bytes_a_second = static_cast<double>(result_.bytes) * 1000 / lived.count();
    for (const Kill& kill : kills_) result_.kills.push_back(kill.times);
    for (const std::string& wrong :
         Judge(scenario_, {result_.bytes_a_second, result_.kills, result_.was_cut_off})) {
      Violate(wrong);
    }
    for (const Assertion& assertion : scenario_.assertions) {
      const double hours = lived.count() / 3.6e6;
      if (assertion.what == Check::kFalse && hours > 0 &&
          static_cast<double>(result_.suspicions) / hours > assertion.most) {
        Violate(std::to_string(result_.suspicions) + " suspicions in " + std::to_string(hours) +
                " node hours");
      }
    }
  }

  void Digest(std::uint64_t value) {
    result_.digest =
        (result_.digest ^ value) * 0x100000001b3ULL + static_cast<std::uint64_t>(now_.count() * 1000);
  }

  const Scenario& scenario_;
  const SimOptions& options_;
  pcg64 draw_;
  Millis now_{0};
  std::priority_queue<Event> events_;
  std::uint64_t last_event_ = 0;
  std::vector<Node> nodes_;
  std::vector<Active> faults_;
  std::vector<std::string> key_names_ = {kFirstKey};
  Weather weather_;
  std::vector<Kill> kills_;
  std::vector<Told> told_;
  std::vector<Millis> ends_;
  bool disagreed_ = false;
  SimResult result_;
};

}  // namespace

nlohmann::ordered_json SimResult::Json() const {
  nlohmann::ordered_json json = {{"scenario", scenario},
                                 {"seed", seed},
                                 {"broken", broken},
                                 {"messages", messages},
                                 {"bytes_a_second", std::lround(bytes_a_second)},
                                 {"most_bytes_a_second", std::lround(most_bytes_a_second)},
                                 {"unsent", unsent},
                                 {"wrong_key", wrong_key},
                                 {"most_message", most_message},
                                 {"most_queued", most_queued},
                                 {"suspicions", suspicions},
                                 {"withdrawn", withdrawn},
                                 {"gone", gone},
                                 {"false_gone", false_gone},
                                 {"digest", digest}};
  json["violations"] = nlohmann::ordered_json::array();
  for (const Violation& v : violations)
    json["violations"].push_back({{"at_ms", v.at.count()}, {"what", v.what}});
  json["kills"] = KillsJson(kills);
  json["agreed_after_ms"] = MillisJson(agreed_after);
  return json;
}

SimResult Simulate(const Scenario& scenario, const SimOptions& options) {
  return Network(scenario, options).Run();
}

Scenario Shrink(Scenario scenario, const std::function<bool(const Scenario&)>& fails) {
  for (bool smaller = true; smaller;) {
    smaller = false;
    for (std::size_t i = 0; i < scenario.faults.size();) {
      Scenario fewer = scenario;
      fewer.faults.erase(fewer.faults.begin() + static_cast<std::ptrdiff_t>(i));
      if (fails(fewer)) {
        scenario = std::move(fewer);
        smaller = true;
      } else {
        ++i;
      }
    }
    for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
      if (scenario.faults[i].lasts.count() < 100) continue;
      Scenario shorter = scenario;
      shorter.faults[i].lasts /= 2;
      if (fails(shorter)) {
        scenario = std::move(shorter);
        smaller = true;
      }
    }
  }
  return scenario;
}

}  // namespace hingelink::lab
