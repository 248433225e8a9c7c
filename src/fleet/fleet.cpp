#include "fleet/fleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <pcg_extras.hpp>
#include <pcg_random.hpp>
#include <random>
#include <stdexcept>
#include <utility>

#include "fleet/codec.h"
#include "log/log.h"

namespace hingelink::fleet {
namespace {

using namespace std::chrono_literals;
using decide::MemberPhase;
using decide::MemberRecord;
using decide::MembershipEventKind;
using decide::Milliseconds;
using decide::PeerAddress;

// A node that has found no other member within this time assumes that it is the first member of its fleet.
constexpr Milliseconds kMaxJoiningTime{1'500};
// Interval between attempts to bind the address while it is in use.
constexpr auto kBindRetryInterval = 100ms;
constexpr net::Steady::duration kMinTimerInterval = 1ms;
// Process epochs per millisecond of the wall clock. One of them is chosen at random, so that two processes
// that start in the same millisecond rarely have the same epoch.
constexpr std::uint64_t kEpochsPerMs = 1024;

PeerAddress ToPeerAddress(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

PeerAddress ParsePeerAddress(const std::string& text) { return ToPeerAddress(net::ParseAddress(text)); }

sockaddr_in ToSocketAddress(const PeerAddress& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_addr.s_addr = htonl(address.ip);
  socket_address.sin_port = htons(address.port);
  return socket_address;
}

decide::RandomSource MakeRandomSource() {
  auto generator = std::make_shared<pcg64>(pcg_extras::seed_seq_from<std::random_device>{});
  return [generator] { return (*generator)(); };
}

// Returns an epoch that is greater than the epochs of earlier processes with the same node name, unless the
// wall clock was set back.
std::uint64_t NewProcessEpoch(const decide::RandomSource& random) {
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return static_cast<std::uint64_t>(unix_ms.count()) * kEpochsPerMs + random() % kEpochsPerMs;
}

bool IsWarning(MembershipEventKind kind) {
  switch (kind) {
    case MembershipEventKind::kRemovalsDeferred:
    case MembershipEventKind::kMemberDead:
    case MembershipEventKind::kNameConflict:
    case MembershipEventKind::kPaused:
    case MembershipEventKind::kIsolated:
      return true;
    default:
      return false;
  }
}

void Log(const decide::MembershipEvent& event) {
  const std::string code = std::string("fleet-") + decide::MembershipEventName(event.kind);
  const log::Field member{"member", event.member};
  const log::Field figure{"figure", std::llround(event.value)};
  if (IsWarning(event.kind)) {
    log::Warn(code, {member, figure});
  } else {
    log::Info(code, {member, figure});
  }
}

}  // namespace

Fleet::Fleet(node::Node& node, const std::function<FleetConfig()>& read_config)
    : node_(node),
      read_config_(read_config),
      config_(read_config()),
      keys_(net::ReadGossipKeys(config_.keys)),
      timer_(node.base(), [this] { OnTimer(); }),
      bind_retry_timer_(node.base(), [this] { OpenTransport(); }) {
  if (node.name().size() > decide::kMaxNameBytes) {
    throw std::runtime_error("name: " + std::to_string(node.name().size()) + " bytes; the limit is " +
                             std::to_string(decide::kMaxNameBytes));
  }
  net::ParseAddress(config_.listen);
  if (!config_.advertise.empty()) net::ParseAddress(config_.advertise);
  OpenTransport();
  node_.AddExtension(*this);
}

Fleet::~Fleet() { node_.RemoveExtension(*this); }

void Fleet::OpenTransport() {
  if (transport_ || is_handed_over_) return;
  try {
    net::GossipTransport::Options options;
    options.listen = net::ParseAddress(config_.listen);
    options.keys = keys_;
    transport_.emplace(node_.base(), std::move(options),
                       [this](const sockaddr_in& from, std::string_view body) { OnDatagram(from, body); });
  } catch (const std::runtime_error& error) {
    // During a handover, the predecessor process keeps the address bound until the handover is complete.
    if (!std::exchange(has_logged_bind_failure_, true))
      log::Warn("fleet-bind-failed", {{"what", error.what()}});
    bind_retry_timer_.Start(kBindRetryInterval);
    return;
  }
  if (!membership_) StartMembership();
  OnTimer();
}

void Fleet::StartMembership() {
  const decide::RandomSource random = MakeRandomSource();
  MemberRecord self;
  self.name = node_.name();
  self.address = ParsePeerAddress(config_.advertise.empty() ? config_.listen : config_.advertise);
  if (self.address.port == 0) self.address.port = transport_->port();
  self.zone = config_.zone;
  self.weight = config_.weight;
  self.version.process_epoch = NewProcessEpoch(random);
  std::vector<PeerAddress> seeds;
  for (const std::string& seed : config_.seeds) {
    const PeerAddress address = ParsePeerAddress(seed);
    if (address != self.address) seeds.push_back(address);
  }
  membership_.emplace(decide::MembershipOptions{}, std::move(self), std::move(seeds), random);
  log::Info("fleet-started", {{"listen", config_.listen}, {"seeds", config_.seeds.size()}});
}

void Fleet::OnDatagram(const sockaddr_in& from, std::string_view body) {
  const auto message = Decode(body);
  // The transport has authenticated the datagram. A datagram that cannot be decoded comes from an
  // incompatible version of this program, and is ignored.
  if (!message || !membership_) return;
  const Milliseconds now = Now();
  ExecuteActions(membership_->OnMessage(now, ToPeerAddress(from), *message));
  topics_.Dispatch(now, *message);
  ScheduleTimer();
}

void Fleet::OnTimer() {
  if (!membership_ || !transport_) return;
  ExecuteActions(membership_->Tick(Now()));
  UpdatePhase();
  ScheduleTimer();
}

void Fleet::ScheduleTimer() {
  const Milliseconds delay = membership_->NextDeadline() - Now();
  timer_.Start(std::max(std::chrono::duration_cast<net::Steady::duration>(delay), kMinTimerInterval));
}

void Fleet::UpdatePhase() {
  const MemberPhase phase = CurrentPhase();
  if (phase != membership_->self().phase) ExecuteActions(membership_->SetPhase(Now(), phase));
}

MemberPhase Fleet::CurrentPhase() const {
  if (node_.draining()) return MemberPhase::kDraining;
  const bool is_joining = membership_->self().phase == MemberPhase::kJoining &&
                          membership_->live_members() <= 1 && Now() <= kMaxJoiningTime;
  if (is_joining) return MemberPhase::kJoining;
  return node_.ready() ? MemberPhase::kServing : MemberPhase::kWarmingUp;
}

void Fleet::ExecuteActions(decide::MembershipActions actions) {
  for (const decide::MembershipEvent& event : actions.events) Log(event);
  if (!transport_) return;
  const Milliseconds now = Now();
  for (decide::OutgoingMessage& outgoing : actions.messages) {
    topics_.AppendPayloads(now, outgoing.to, outgoing.message, decide::MembershipOptions{}.max_message_bytes);
    transport_->Send(ToSocketAddress(outgoing.to), Encode(outgoing.message));
  }
}

void Fleet::OnLifecyclePhase(LifecyclePhase phase) {
  switch (phase) {
    case LifecyclePhase::kDraining:
      if (membership_ && transport_) UpdatePhase();
      break;
    case LifecyclePhase::kHandedOver:
      // The successor process binds the address, and joins with a new process epoch.
      is_handed_over_ = true;
      transport_.reset();
      timer_.Stop();
      break;
    case LifecyclePhase::kResumed:
      is_handed_over_ = false;
      OpenTransport();
      break;
    case LifecyclePhase::kReloaded:
      Reload();
      break;
  }
}

void Fleet::Reload() {
  try {
    const FleetConfig config = read_config_();
    keys_ = net::ReadGossipKeys(config.keys);
    if (transport_) transport_->SetKeys(keys_);
    std::vector<PeerAddress> seeds;
    seeds.reserve(config.seeds.size());
    for (const std::string& seed : config.seeds) seeds.push_back(ParsePeerAddress(seed));
    if (membership_) membership_->SetSeeds(std::move(seeds));
    config_.keys = config.keys;
    config_.seeds = config.seeds;
    log::Info("fleet-reloaded", {{"keys", keys_.size()}, {"seeds", config.seeds.size()}});
  } catch (const std::exception& error) {
    log::Warn("fleet-reload-failed", {{"what", error.what()}});
  }
}

void Fleet::AnnounceLeave() {
  if (!membership_ || !transport_) return;
  ExecuteActions(membership_->SetPhase(Now(), MemberPhase::kLeft));
}

FleetSnapshot Fleet::TakeSnapshot() const {
  FleetSnapshot snapshot;
  snapshot.is_transport_open = transport_.has_value();
  if (transport_) snapshot.transport = transport_->counters();
  if (!membership_) {
    snapshot.self.name = node_.name();
    return snapshot;
  }
  snapshot.self = membership_->self();
  snapshot.members = membership_->Members(Now());
  std::sort(snapshot.members.begin(), snapshot.members.end(),
            [](const auto& left, const auto& right) { return left.record.name < right.record.name; });
  snapshot.local_health = membership_->local_health();
  snapshot.defers_removals = membership_->defers_removals();
  snapshot.counters = membership_->counters();
  return snapshot;
}

}  // namespace hingelink::fleet
