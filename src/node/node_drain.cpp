// Handover to a successor process, drain, and configuration reload of a node.
#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

#include "log/log.h"
#include "node/node.h"

namespace hingelink::node {
namespace {

using namespace std::chrono_literals;

// The drain notice to the policy announces the kill of the process this much earlier than it happens. In the
// remaining time the node sends its last answers, even if it shares a core with other processes.
constexpr auto kPolicyFlushLead = 150ms;
// How long before the kill the node closes its listener and asks its callers to send no new requests.
constexpr auto kCloseListenerLead = 500ms;
// After a handover, a draining process exits at the latest after the longest deadline of a request class plus
// this time.
constexpr auto kExitDelayAfterLongestDeadline = 700ms;
// A longest deadline above this value counts as this value when that exit time is calculated.
constexpr auto kMaxDeadlineConsidered = 3000ms;

}  // namespace

void Node::HandOverToSuccessor(bool own_listener) {
  log::Info("handed-over", {{"connections", front_->connections()}, {"unanswered", table_.unanswered()}});
  handed_over_ = true;
  listening_ = false;
  front_->PauseListening();
  // Nobody else accepts what the system queues here: clients whose connections are closed unread know that
  // nothing ran, and find the successor.
  if (own_listener) front_->CloseListener();
  front_->StopNewRequests();
  front_->CloseIdleForHandover();
  UpdateSiblingKeys();
  NotifyLifecyclePhase(NodeExtension::LifecyclePhase::kHandedOver);
}

void Node::ResumeServing() {
  if (draining_) return;
  log::Warn("serving-resumed");
  handed_over_ = false;
  listening_ = true;
  front_->ResumeListening();
  UpdateSiblingKeys();
  NotifyLifecyclePhase(NodeExtension::LifecyclePhase::kResumed);
}

void Node::OnSuccessorDraining() {
  log::Info("successor-drains");
  // For the platform both processes are one node, whose drain begins with this notice. A process that is not
  // told to end itself still has the time that its requests in flight may take.
  const Steady::duration grace =
      std::chrono::duration_cast<Steady::duration>(Millis(config_.settings.drain_grace_ms));
  const Steady::time_point last_answer = Steady::now() + grace + AnswerDelayLimit();
  pending_drain_notice_ = draining_ ? std::min(last_answer, kill_at_ - kPolicyFlushLead) : last_answer;
  handover_.SendDraining();
}

void Node::OnSuccessorExited() { front_->ReleaseListener(); }

bool Node::StartDrain() {
  if (draining_) return false;
  draining_ = true;
  NotifyLifecyclePhase(NodeExtension::LifecyclePhase::kDraining);
  if (handed_over_) {
    // The policy gets no DrainNotice: the successor already serves the clients, and the requests in flight
    // complete normally before their deadlines.
    double longest = 0;
    for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline_ms);
    const Millis stop =
        std::min(Millis(longest), Millis(kMaxDeadlineConsidered)) + kExitDelayAfterLongestDeadline;
    kill_at_ = Steady::now() + std::chrono::duration_cast<Steady::duration>(stop);
    log::Info("leave", {{"successor", true}, {"stop_ms", std::llround(stop.count())}});
    return true;
  }
  kill_at_ = Steady::now() + config_.drain_timeout;
  pending_drain_notice_ = kill_at_ - kPolicyFlushLead;
  log::Info("drain", {{"stop_ms", config_.drain_timeout.count()}});
  // Before a client can learn of the drain.
  handover_.SendDraining();
  front_->StopNewRequests();
  registry_.ReportDraining();
  return true;
}

// Applies the whole new configuration or nothing of it. Changes of the name, the seed and the node's own
// addresses need a restart and are not applied.
std::string Node::Reload() {
  try {
    Config reloaded = load_config_();
    reloaded.CheckAgainst(config_);
    const sockaddr_in pool = net::ParseAddress(reloaded.pool_address),
                      registry = net::ParseAddress(reloaded.registry_address);
    if (!reloaded.store_address.empty()) net::ParseAddress(reloaded.store_address);
    // Pending events refer to classes by their index in the current settings, so they are processed first.
    Step();
    if (policy_) policy_->Reconfigure(reloaded.settings);
    log::Info("reload", {{"pool", reloaded.pool_address},
                         {"registry", reloaded.registry_address},
                         {"classes", reloaded.settings.classes.size()},
                         {"needs_restart", reloaded.NeedsRestart(config_)}});
    config_.settings = std::move(reloaded.settings);
    config_.source_text = std::move(reloaded.source_text);
    config_.drain_timeout = reloaded.drain_timeout;
    config_.max_descriptors = reloaded.max_descriptors;
    table_.Reconfigure();
    metrics_.SetClasses(config_.settings.classes);
    front_->ClassesChanged();
    front_->SetAnswerDelayLimit(AnswerDelayLimit());
    metrics_.CountReload(true);
    OnSiblingLoadChanged();
    if (std::exchange(config_.pool_address, reloaded.pool_address) != reloaded.pool_address)
      pool_->ChangeAddress(pool);
    if (std::exchange(config_.store_address, reloaded.store_address) != reloaded.store_address)
      ConnectStore(reloaded.store_address);
    if (std::exchange(config_.registry_address, reloaded.registry_address) != reloaded.registry_address) {
      registry_.ChangeAddress(registry, reloaded.registry_address);
    }
    NotifyLifecyclePhase(NodeExtension::LifecyclePhase::kReloaded);
    return {};
  } catch (const std::exception& fault) {
    metrics_.CountReload(false);
    log::Warn("reload-failed", {{"what", fault.what()}});
    return fault.what();
  }
}

void Node::DrainStep() {
  if (!listening_ || Steady::now() < kill_at_ - kCloseListenerLead) return;
  listening_ = false;
  handover_.StopAcceptingSuccessors();
  front_->StopListening();
  front_->StopNewRequests();
}

}  // namespace hingelink::node
