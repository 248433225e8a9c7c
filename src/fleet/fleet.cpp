#include "fleet/fleet.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <pcg_extras.hpp>
#include <pcg_random.hpp>
#include <random>

#include "fleet/codec.h"
#include "log/log.h"
#include "schema/schema.h"

namespace hingelink::fleet {
namespace {

using namespace std::chrono_literals;
using decide::MemberPhase;
using decide::MemberRecord;
using decide::MemberState;
using decide::Milliseconds;
using decide::PeerAddress;

// Alone for so long, a node takes itself for the first one.
constexpr Milliseconds kFirstAfter{1'500};
// Between two tries to listen where another process of this node still does.
constexpr auto kOpenEach = 100ms;
constexpr auto kLeastWait = 1ms;

PeerAddress FromSocket(const sockaddr_in& at) { return {ntohl(at.sin_addr.s_addr), ntohs(at.sin_port)}; }

sockaddr_in ToSocket(const PeerAddress& address) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(address.ip);
  at.sin_port = htons(address.port);
  return at;
}

// So that every start of a name has a greater life than the one before; two in one millisecond differ by
// chance.
std::uint64_t LifeNow(const decide::RandomSource& draw) {
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return static_cast<std::uint64_t>(unix_ms.count()) * 1024 + draw() % 1024;
}

// Whether the event is logged as a warning.
bool NeedsAttention(decide::MembershipEventKind kind) {
  switch (kind) {
    case decide::MembershipEventKind::kRemovalsHeld:
    case decide::MembershipEventKind::kMemberDead:
    case decide::MembershipEventKind::kNameConflict:
    case decide::MembershipEventKind::kPaused:
    case decide::MembershipEventKind::kIsolated:
      return true;
    default:
      return false;
  }
}

void Log(const decide::MembershipEvent& word) {
  const std::string code = std::string("fleet-") + decide::MembershipEventName(word.kind);
  const log::Field member{"member", word.member};
  const log::Field figure{"figure", std::llround(word.value)};
  if (NeedsAttention(word.kind)) {
    log::Warn(code, {member, figure});
  } else {
    log::Info(code, {member, figure});
  }
}

}  // namespace

FleetConfig ReadFleetConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error(path + ": cannot be read; wanted a file by deploy/schema/peers.json");
  const nlohmann::json json =
      nlohmann::json::parse(std::string(std::istreambuf_iterator<char>(file), {}), nullptr, false, true);
  if (json.is_discarded()) throw std::runtime_error(path + ": no JSON");
  static const schema::Schema form(schema::PeersSchema());
  std::string faults;
  for (const schema::Fault& fault : form.Check(json))
    faults += (faults.empty() ? "" : "\n") + path + ' ' + fault.Text();
  if (!faults.empty()) throw std::runtime_error(faults);
  FleetConfig config;
  config.listen = json["listen"];
  config.advertise = json.value("advertise", "");
  config.keys = json["keys"];
  config.zone = json.value("zone", "");
  config.seeds = json.value("seeds", config.seeds);
  config.weight = json.value("weight", config.weight);
  for (const std::string& address : config.seeds) net::ParseAddress(address);
  return config;
}

Fleet::Fleet(node::Node& node, const std::function<FleetConfig()>& reread)
    : node_(node),
      reread_(reread),
      config_(reread()),
      keys_(net::ReadGossipKeys(config_.keys)),
      timer_(node.base(), [this] { Tick(); }),
      open_(node.base(), [this] { Open(); }) {
  if (node.name().size() > decide::kMaxNameBytes)
    throw std::runtime_error("name: longer than 64 bytes, which is the most that peers take");
  net::ParseAddress(config_.listen);
  if (!config_.advertise.empty()) net::ParseAddress(config_.advertise);
  Open();
  node_.AddExtension(*this);
}

Fleet::~Fleet() { node_.RemoveExtension(*this); }

void Fleet::Open() {
  if (link_ || handed_over_) return;
  try {
    net::GossipTransport::Options options;
    options.listen = net::ParseAddress(config_.listen);
    options.keys = keys_;
    link_.emplace(node_.base(), std::move(options),
                  [this](const sockaddr_in& from, std::string_view body) { Hear(from, body); });
  } catch (const std::runtime_error& fault) {
    // The process that this one takes over from listens there until it has handed over.
    if (!std::exchange(warned_, true)) log::Warn("fleet-no-link", {{"what", fault.what()}});
    open_.After(kOpenEach);
    return;
  }
  if (!members_) {
    MemberRecord self;
    self.name = node_.name();
    self.address =
        FromSocket(net::ParseAddress(config_.advertise.empty() ? config_.listen : config_.advertise));
    if (self.address.port == 0) self.address.port = link_->port();
    self.zone = config_.zone;
    self.weight = config_.weight;
    auto draw = std::make_shared<pcg64>(pcg_extras::seed_seq_from<std::random_device>{});
    const decide::RandomSource next = [draw] { return (*draw)(); };
    self.version.process_epoch = LifeNow(next);
    std::vector<PeerAddress> seeds;
    for (const std::string& seed : config_.seeds) {
      const PeerAddress at = FromSocket(net::ParseAddress(seed));
      if (at != self.address) seeds.push_back(at);
    }
    members_.emplace(decide::MembershipOptions{}, std::move(self), std::move(seeds), next);
    log::Info("fleet-begins", {{"listen", config_.listen}, {"seeds", config_.seeds.size()}});
  }
  Tick();
}

void Fleet::Hear(const sockaddr_in& from, std::string_view body) {
  const auto message = Decode(body);
  // It is under a key: another version of this program, then.
  if (!message || !members_) return;
  const Milliseconds now = Now();
  Carry(members_->OnMessage(now, FromSocket(from), *message));
  topics_.Dispatch(now, *message);
  timer_.After(std::max<net::Steady::duration>(
      std::chrono::duration_cast<net::Steady::duration>(members_->NextDue() - Now()), kLeastWait));
}

void Fleet::Tick() {
  if (!members_ || !link_) return;
  Carry(members_->Tick(Now()));
  SetPhase();
  timer_.After(std::max<net::Steady::duration>(
      std::chrono::duration_cast<net::Steady::duration>(members_->NextDue() - Now()), kLeastWait));
}

void Fleet::SetPhase() {
  MemberPhase phase = members_->self().phase;
  if (node_.draining()) {
    phase = MemberPhase::kDraining;
  } else if (phase != MemberPhase::kJoining || members_->live_members() > 1 || Now() > kFirstAfter) {
    phase = node_.ready() ? MemberPhase::kServing : MemberPhase::kWarmingUp;
  }
  if (phase != members_->self().phase) Carry(members_->SetPhase(Now(), phase));
}

void Fleet::Carry(decide::MembershipActions actions) {
  for (const decide::MembershipEvent& word : actions.events) Log(word);
  if (!link_) return;
  const Milliseconds now = Now();
  for (decide::OutgoingMessage& send : actions.messages) {
    topics_.AppendPayloads(now, send.to, send.message, decide::MembershipOptions{}.max_message_bytes);
    link_->Send(ToSocket(send.to), Encode(send.message));
  }
}

void Fleet::OnLifecyclePhase(LifecyclePhase phase) {
  switch (phase) {
    case LifecyclePhase::kDraining:
      if (members_ && link_) SetPhase();
      break;
    case LifecyclePhase::kHandedOver:
      // The other process has the address from now on, and a life of its own.
      handed_over_ = true;
      link_.reset();
      timer_.Stop();
      break;
    case LifecyclePhase::kResumed:
      handed_over_ = false;
      Open();
      break;
    case LifecyclePhase::kReloaded:
      try {
        const FleetConfig fresh = reread_();
        keys_ = net::ReadGossipKeys(fresh.keys);
        if (link_) link_->SetKeys(keys_);
        std::vector<PeerAddress> seeds;
        for (const std::string& seed : fresh.seeds) seeds.push_back(FromSocket(net::ParseAddress(seed)));
        if (members_) members_->SetSeeds(std::move(seeds));
        config_.keys = fresh.keys;
        config_.seeds = fresh.seeds;
        log::Info("fleet-reload", {{"keys", keys_.size()}, {"seeds", fresh.seeds.size()}});
      } catch (const std::exception& fault) {
        // What held before holds on.
        log::Warn("fleet-reload-failed", {{"what", fault.what()}});
      }
      break;
  }
}

void Fleet::AnnounceLeave() {
  if (!members_ || !link_) return;
  Carry(members_->SetPhase(Now(), MemberPhase::kLeft));
}

Fleet::Snapshot Fleet::TakeSnapshot() const {
  Snapshot snapshot;
  snapshot.is_transport_open = link_.has_value();
  if (link_) snapshot.transport = link_->counters();
  if (!members_) {
    snapshot.self.name = node_.name();
    return snapshot;
  }
  snapshot.self = members_->self();
  snapshot.members = members_->Members(Now());
  std::sort(snapshot.members.begin(), snapshot.members.end(),
            [](const auto& a, const auto& b) { return a.record.name < b.record.name; });
  snapshot.local_health = members_->local_health();
  snapshot.holds_removals = members_->holds_removals();
  snapshot.counters = members_->counters();
  return snapshot;
}

std::string Fleet::MetricsText() const {
  using prometheus::ClientMetric;
  using prometheus::MetricType;
  const Snapshot snapshot = TakeSnapshot();
  std::vector<prometheus::MetricFamily> families;
  const auto add = [&families](const char* name, MetricType type, const char* help,
                               std::vector<std::pair<std::string, double>> values, const char* label) {
    prometheus::MetricFamily family{std::string("edge_node_fleet_") + name, help, type, {}};
    for (const auto& [of, value] : values) {
      ClientMetric metric;
      if (label != nullptr) metric.label = {{label, of}};
      (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
      family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
  };
  double by_state[3] = {1, 0, 0}, quiet = 0;
  for (const auto& other : snapshot.members) {
    ++by_state[static_cast<std::size_t>(other.record.state)];
    if (other.record.state != MemberState::kDead)
      quiet = std::max(quiet, other.last_heard_ago.count() / 1000);
  }
  const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
  add("members", MetricType::Gauge, "Members by what this node holds of them, itself among the alive.",
      {{"alive", by_state[0]}, {"suspect", by_state[1]}, {"gone", by_state[2]}}, "state");
  add("cut_off", MetricType::Gauge, "1 while this node holds its view, as too many are silent.",
      {{"", snapshot.holds_removals ? 1 : 0}}, nullptr);
  add("health", MetricType::Gauge, "0: well; up to 8: slow to accuse others.", {{"", snapshot.local_health}},
      nullptr);
  add("quiet_seconds", MetricType::Gauge, "Since the member that was quiet longest was heard itself.",
      {{"", quiet}}, nullptr);
  add("suspicions_total", MetricType::Counter, "Suspicions by what became of them, and of this node.",
      {{"raised", number(snapshot.counters.suspicions)},
       {"withdrawn", number(snapshot.counters.withdrawn_suspicions)},
       {"gone", number(snapshot.counters.removed)},
       {"of-this-node", number(snapshot.counters.refutations)}},
      "outcome");
  add("messages_total", MetricType::Counter, "Datagrams between nodes.",
      {{"sent", number(snapshot.transport.sent)}, {"received", number(snapshot.transport.received)}},
      "direction");
  add("bytes_total", MetricType::Counter, "Bytes of datagrams between nodes, without those of UDP and IP.",
      {{"sent", number(snapshot.transport.sent_bytes)},
       {"received", number(snapshot.transport.received_bytes)}},
      "direction");
  add("dropped_total", MetricType::Counter, "Datagrams that were not taken or not sent, by reason.",
      {{"not-ours", number(snapshot.transport.malformed)},
       {"wrong-key", number(snapshot.transport.unauthenticated)},
       {"again", number(snapshot.transport.replayed)},
       {"echo", number(snapshot.transport.reflected)},
       {"unsent", number(snapshot.transport.unsent)}},
      "reason");
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace hingelink::fleet
