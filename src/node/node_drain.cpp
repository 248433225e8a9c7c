// A node that hands over, leaves, or takes another configuration.
#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

#include "log/log.h"
#include "node/node.h"

namespace hingelink::node {
namespace {

using namespace std::chrono_literals;

// Before the kill: no more connections are taken, and those that stand are asked for no more.
constexpr auto kCloseListenerLead = 500ms;
// Beside a successor the kill follows so long behind the longest deadline, which is taken as at most this.
constexpr auto kAfterLongestDeadline = 700ms, kMaxDeadlineConsidered = 3000ms;

}  // namespace

void Node::HandOverToSuccessor() {
  log::Info("handed-over", {{"connections", front_->connections()}, {"unanswered", table_.unanswered()}});
  handed_over_ = true;
  listening_ = false;
  front_->PauseListening();
  front_->StopNewRequests();
  front_->CloseIdleForHandover();
  UpdateSiblingKeys();
  NotifyLifecyclePhase(NodeExtension::LifecyclePhase::kHandedOver);
}

// Guards against a successor that dies: its clients are served by this process again.
void Node::ResumeServing() {
  if (draining_) return;
  log::Warn("taken-back");
  handed_over_ = false;
  listening_ = true;
  front_->ResumeListening();
  UpdateSiblingKeys();
  NotifyLifecyclePhase(NodeExtension::LifecyclePhase::kResumed);
}

bool Node::StartDrain() {
  if (draining_) return false;
  draining_ = true;
  NotifyLifecyclePhase(NodeExtension::LifecyclePhase::kDraining);
  if (handed_over_) {
    // No DrainNotice for the policy: the successor has the clients already, and requests in flight are
    // executed and answered in their own time.
    notice_given_ = true;
    double longest = 0;
    for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline_ms);
    const Millis stop = std::min(Millis(longest), Millis(kMaxDeadlineConsidered)) + kAfterLongestDeadline;
    kill_at_ = Steady::now() + std::chrono::duration_cast<Steady::duration>(stop);
    log::Info("leave", {{"successor", true}, {"stop_ms", std::llround(stop.count())}});
    return true;
  }
  kill_at_ = Steady::now() + config_.drain_timeout;
  log::Info("drain", {{"stop_ms", config_.drain_timeout.count()}});
  front_->StopNewRequests();
  registry_.ReportDraining();
  return true;
}

// Takes the whole file or nothing of it. Name, addresses of its own and seed hold for the process's whole
// life.
std::string Node::Reload() {
  try {
    Config fresh = reread_();
    fresh.CheckAgainst(config_);
    const sockaddr_in pool = net::ParseAddress(fresh.pool_address),
                      registry = net::ParseAddress(fresh.registry_address);
    if (!fresh.store_address.empty()) net::ParseAddress(fresh.store_address);
    // The arrivals so far name their class by its place in the settings that held when they came.
    Step();
    if (policy_) policy_->Reconfigure(fresh.settings);
    log::Info("reload", {{"pool", fresh.pool_address},
                         {"registry", fresh.registry_address},
                         {"classes", fresh.settings.classes.size()},
                         {"needs_restart", fresh.NeedsRestart(config_)}});
    config_.settings = std::move(fresh.settings);
    config_.source_text = std::move(fresh.source_text);
    config_.drain_timeout = fresh.drain_timeout;
    config_.max_descriptors = fresh.max_descriptors;
    table_.Reconfigure();
    metrics_.SetClasses(config_.settings.classes);
    front_->ClassesChanged();
    metrics_.CountReload(true);
    OnSiblingLoadChanged();
    if (std::exchange(config_.pool_address, fresh.pool_address) != fresh.pool_address)
      pool_->ChangeAddress(pool);
    if (std::exchange(config_.store_address, fresh.store_address) != fresh.store_address)
      ConnectStore(fresh.store_address);
    if (std::exchange(config_.registry_address, fresh.registry_address) != fresh.registry_address) {
      registry_.ChangeAddress(registry, fresh.registry_address);
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
