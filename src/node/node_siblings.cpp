// Messages between the sibling processes of a node: load, idempotency keys and learned state.
#include <algorithm>
#include <utility>

#include "decide/learned/learned_state_import.h"
#include "node/node.h"

namespace hingelink::node {
namespace {

using namespace std::chrono_literals;

// Minimum interval between two load reports to the sibling processes.
constexpr auto kLoadReportInterval = 4ms;

proto::KeyMessage ToKeyMessage(const KeyUpdate& update) {
  return {update.key,       update.content_hash,       static_cast<int>(update.state),
          update.remaining, update.result.has_value(), update.result ? update.result->size() : 0};
}

std::string_view ResultOrEmpty(const KeyUpdate& update) {
  return update.result ? std::string_view(*update.result) : std::string_view();
}
}  // namespace

void Node::SiblingProcesses::AddEvents(EventBatch& batch) {
  if (!load_changed_) return;
  const proto::LoadMessage load = node_.handover_.siblings_load();
  load_changed_ = !batch.Add(hingelink::SiblingLoad{{load.running, load.memory_kb, load.queued_work_ms}});
}

void Node::SiblingProcesses::OnStepCompleted() {
  if (!node_.handover_.has_siblings() || Steady::now() - reported_at_ < kLoadReportInterval) return;
  reported_at_ = Steady::now();
  const hingelink::Load load = node_.policy_->CurrentLoad();
  node_.handover_.SendLoad({load.running, load.memory_kb, load.queued_work_ms, node_.front_->connections()});
}

void Node::OnSiblingLoadChanged() {
  sibling_processes_.MarkLoadChanged();
  // All processes of this node share one descriptor limit, and each process reserves its own descriptors.
  const std::size_t used =
      ReservedDescriptors() * (1 + handover_.sibling_count()) + handover_.siblings_load().connections;
  const auto sockets = static_cast<std::size_t>(config_.max_descriptors);
  front_->SetMaxConnections(sockets > used ? sockets - used : 1, handover_.has_siblings());
}

void Node::UpdateSiblingKeys() {
  if (!handover_.has_predecessor()) table_.OnSiblingsExited();
  const bool may_run_elsewhere = handed_over_ || sibling_keys_lost_;
  table_.SetSiblingKeys(may_run_elsewhere          ? SiblingKeys::kServedElsewhere
                        : handover_.keys_known()   ? SiblingKeys::kKnown
                        : handover_.keys_overdue() ? SiblingKeys::kUnavailable
                                                   : SiblingKeys::kPending);
  handover_.ConfirmKeys();
}

void Node::OnSiblingKeysLost() {
  double longest_window_ms = 0;
  for (const auto& c : config_.settings.classes) {
    if (c.idempotency == hingelink::Idempotency::kKeyed)
      longest_window_ms = std::max(longest_window_ms, c.idempotency_window_ms);
  }
  sibling_keys_lost_ = longest_window_ms > 0;
  if (sibling_keys_lost_)
    sibling_keys_timer_.Start(std::chrono::duration_cast<Steady::duration>(Millis(longest_window_ms)));
}

void Node::ReportKeys(const net::Handover::KeyVisitor& each) const {
  table_.keys().ForEachRetained(Steady::now(), [this, &each](const KeyUpdate& update) {
    // An attempt that has not started when this process exits never runs.
    const bool never_runs = stopped_ && update.state == KeyState::kReserved;
    if (!never_runs) each(ToKeyMessage(update), ResultOrEmpty(update));
  });
}

void Node::ReportKey(const core::IdempotencyKey& key) {
  if (!handed_over_) return;
  const KeyUpdate update = table_.keys().UpdateOf(key, Steady::now());
  handover_.SendKey(ToKeyMessage(update), ResultOrEmpty(update));
}

void Node::OnKeyReported(const proto::KeyMessage& line, std::string_view result) {
  KeyUpdate update{.key = line.key,
                   .content_hash = line.content_hash,
                   .state = static_cast<KeyState>(line.state),
                   .remaining = line.remaining,
                   .result = std::nullopt};
  if (line.has_result) update.result = result;
  table_.OnKeyUpdate(update);
  // If this process has already handed over to a successor, it forwards the key to the successor.
  ReportKey(line.key);
}

void Node::OnAttemptReported(std::uint64_t attempt_id) {
  table_.OnAttemptReported(attempt_id);
  // If this process has already handed over to a successor, it forwards the attempt to the successor.
  if (handed_over_) handover_.SendAttempt(attempt_id);
}

void Node::ImportLearned(const hingelink::Learned& learned) {
  for (const hingelink::LearnedClass& known : learned.classes) {
    std::erase_if(imported_.classes, [&known](const auto& c) { return c.name == known.name; });
    imported_.classes.push_back(known);
  }
}

std::vector<proto::LearnedClassMessage> Node::LearnedForSuccessor() const {
  std::vector<proto::LearnedClassMessage> lines;
  for (const hingelink::LearnedClass& c : ExportLearned().classes) {
    const auto settings = std::find_if(config_.settings.classes.begin(), config_.settings.classes.end(),
                                       [&c](const auto& s) { return s.name == c.name; });
    if (settings == config_.settings.classes.end()) continue;
    lines.push_back({c.name, settings->latency_objective_ms, settings->deadline_ms, c.run_ms, c.core_time_ms,
                     c.expected_work_ms, c.samples});
  }
  return lines;
}

void Node::OnPredecessorLearned(const proto::LearnedClassMessage& line) {
  // The predecessor's values are ignored once the policy of this process exists, because the policy then has
  // its own measurements. ImportLearnedRecord() checks the record against the settings, since the predecessor
  // may have had another configuration.
  if (policy_) return;
  const decide::LearnedRecord record{
      config_.name,
      std::chrono::milliseconds(0),
      config_.settings.cores,
      {{line.name, line.latency_objective_ms, line.deadline_ms}},
      {{{line.name, line.run_ms, line.core_time_ms, line.expected_work_ms, line.samples}}}};
  ImportLearned(
      decide::ImportLearnedRecord(record, config_.name, std::chrono::milliseconds(0), config_.settings)
          .learned);
}

}  // namespace hingelink::node
