#include "node/node.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <type_traits>
#include <utility>
#include <variant>

#include "log/log.h"
#include "net/loop_group.h"
#include "net/pool_link.h"
#include "net/single_loop_front_end.h"
#include "node/upstream_metrics.h"

namespace hingelink::node {
namespace {

using namespace std::chrono_literals;
using hingelink::Outcome;

// How long before a policy timer the node polls the gauges, so that they are current when the timer fires. It
// is the time of a few round trips to the worker pool.
constexpr auto kGaugeLead = 4ms;
// How long before the kill the main loop ends, even if callers are still connected.
constexpr auto kExitLead = 60ms;
// How long before the kill the node stops waiting for unsent answers.
constexpr auto kFlushLead = 20ms;
// How long before the kill the node closes connections that their peers have not closed.
constexpr auto kCloseLead = 10ms;
constexpr auto kDrainPollInterval = 10ms;
// How long a process that has nothing else left waits for its siblings to read its messages. A sibling that
// needs longer hangs.
constexpr auto kSiblingReadTimeout = 2s;
// How much later than in the settings an answer may arrive on a socket.
constexpr Millis kSocketGrace{50};
constexpr std::size_t kMaxThreads = 64;
// Budget of the extensions in a batch without requests.
constexpr BatchBudget kIdleBudget{.events = 64, .work = 1ms};
// Budget of the extensions in a batch with requests. It equals the cost of one or two requests, so that
// extensions delay an answer no more than another request that is processed before it would.
constexpr BatchBudget kRequestBudget{.events = 8, .work = 100us};

Outcome ToOutcome(proto::RunOutcome end) {
  switch (end) {
    case proto::RunOutcome::kComplete:
      return Outcome::kOk;
    case proto::RunOutcome::kCancelled:
      return Outcome::kCancelled;
    case proto::RunOutcome::kUnknown:
      return Outcome::kNotStarted;
    case proto::RunOutcome::kError:
      break;
  }
  return Outcome::kError;
}

net::EventPtr OnSignal(event_base* base, int number, void (*call)(evutil_socket_t, short, void*), void* arg) {
  net::EventPtr event(evsignal_new(base, number, call, arg));
  if (event) evsignal_add(event.get(), nullptr);
  return event;
}

}  // namespace

Node::Node(Config config, std::function<Config()> load_config, const std::string& handover_folder,
           std::size_t threads, const WorkerPoolFactory& create_pool)
    : config_(std::move(config)),
      load_config_(std::move(load_config)),
      threads_(std::clamp<std::size_t>(threads, 1, kMaxThreads)),
      base_(net::MakeBase()),
      metrics_(config_.settings.classes, std::max<std::size_t>(1, loops())),
      handover_(
          base_.get(), handover_folder,
          {.successor_ready = [this](bool own_listener) { HandOverToSuccessor(own_listener); },
           .successor_lost =
               [this] {
                 OnSiblingKeysLost();
                 ResumeServing();
               },
           .successor_returned = [this] { ResumeServing(); },
           .listener =
               [this] {
                 front_->ReopenListener();
                 return front_->listener();
               },
           .predecessor_changed =
               [this](net::Descriptor listener) { OnPredecessorChanged(std::move(listener)); },
           .node_draining = [this] { OnSuccessorDraining(); },
           .successor_exited = [this] { OnSuccessorExited(); },
           .siblings_load_changed = [this] { OnSiblingLoadChanged(); },
           .learned = [this] { return LearnedForSuccessor(); },
           .predecessor_learned =
               [this](const proto::LearnedClassMessage& line) { OnPredecessorLearned(line); },
           .send_keys = [this](const net::Handover::KeyVisitor& each) { ReportKeys(each); },
           .send_attempts =
               [this](const net::Handover::AttemptVisitor& each) { table_.ForEachStartedAttempt(each); },
           .attempt_received = [this](std::uint64_t attempt_id) { OnAttemptReported(attempt_id); },
           .keys_complete = [this] { return handover_.keys_known() && !sibling_keys_lost_; },
           .key_received = [this](const proto::KeyMessage& line,
                                  std::string_view result) { OnKeyReported(line, result); },
           .predecessor_keys_lost = [this] { OnSiblingKeysLost(); },
           .takeover_state_changed = [this] { UpdateSiblingKeys(); }}),
      front_(CreateFront()),
      table_(
          config_.settings, *front_, metrics_,
          [this](std::uint64_t req, std::string_view kind, std::string_view body) {
            return pool_->Spawn(req, kind, body);
          },
          UpstreamLinks(), KeyLimits(), [this](const core::IdempotencyKey& key) { ReportKey(key); }),
      pool_(CreatePool(create_pool)),
      checks_(base_.get(),
              {.verify = [this](std::uint64_t tag) { return pool_->Verify(tag); },
               .answer = [this](core::StreamAddress to, bool good) { front_->AnswerHealthCheck(to, good); }}),
      registry_(base_.get(), net::ParseAddress(config_.registry_address), config_.registry_address,
                config_.name),
      timer_(
          base_.get(),
          [this] {
            step_requested_ = true;
            // Interrupts the loop: a flood of input would otherwise keep it reading and delay the decisions.
            event_base_loopbreak(base_.get());
          },
          net::kHighPriority),
      gauge_timer_(base_.get(), [this] { pool_->PollGauges(); }),
      // With a predecessor, the node accepts clients only once its worker pool has connected.
      listening_(!handover_.has_siblings()),
      sibling_keys_timer_(base_.get(),
                          [this] {
                            sibling_keys_lost_ = false;
                            UpdateSiblingKeys();
                          }),
      drain_timer_(base_.get(), [] {}) {
  table_.SetAttemptStartedCallback([this](std::uint64_t attempt_id) {
    if (handed_over_) handover_.SendAttempt(attempt_id);
  });
  front_->SetAnswerDelayLimit(AnswerDelayLimit());
  front_->SetBufferLimit(BufferLimit());
  ConnectStore(config_.store_address);
  OnSiblingLoadChanged();
  UpdateSiblingKeys();
  if (listening_) handover_.AcceptSuccessors(front_->listener());
  if (!config_.admin_address.empty()) {
    admin_server_.emplace(base_.get(), net::ParseAddress(config_.admin_address),
                          net::OpsServer::Handlers{.ready = [this] { return Ready(); },
                                                   .stats = [this] { return MetricsText(); }});
  }
  const auto start_drain = [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->StartDrain(); };
  sigterm_ = OnSignal(base_.get(), SIGTERM, start_drain, this);
  sigint_ = OnSignal(base_.get(), SIGINT, start_drain, this);
  // Without a handler, SIGHUP would terminate the process.
  sighup_ = OnSignal(
      base_.get(), SIGHUP, [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->Reload(); },
      this);
}

std::unique_ptr<net::WorkerPool> Node::CreatePool(const WorkerPoolFactory& create_pool) {
  net::PoolEvents events;
  events.bound = [this](bool warming_up) { OnPoolConnected(warming_up); };
  events.finished = [this](const proto::RunFinished& run) {
    table_.OnExecutionFinished({run.request_id, ToOutcome(run.outcome), run.elapsed, run.result});
  };
  events.blocked = [this](const proto::RunBlocked& run) {
    table_.OnUpstreamCallRequested(run.request_id, run.notice_number, run.body);
  };
  events.spawn_unknown = [this](std::uint64_t req) { table_.OnExecutionUnknown(req); };
  events.verified = [this](std::uint64_t tag, bool good) { checks_.OnVerified(tag, good); };
  events.ready = [this] {
    table_.Resend([this](RequestTable::CommandMark mark) { return pool_->Processed(mark); });
    checks_.OnPoolLinkReady();
  };
  if (!create_pool)
    return std::make_unique<net::PoolLink>(base_.get(), net::ParseAddress(config_.pool_address),
                                           std::move(events));
  net::PoolGroupCallbacks callbacks;
  callbacks.restart_execution = [this](std::uint64_t req) { return table_.RestartExecution(req); };
  callbacks.is_idempotent = [this](std::string_view kind) {
    const auto& classes = config_.settings.classes;
    const auto at =
        std::find_if(classes.begin(), classes.end(), [kind](const auto& c) { return c.name == kind; });
    return at != classes.end() && at->idempotency == hingelink::Idempotency::kIdempotent;
  };
  callbacks.gauge_index = [this](std::string_view name) {
    const auto& names = config_.settings.gauges;
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
  };
  return create_pool(base_.get(), config_.name, std::move(events), std::move(callbacks));
}

UpstreamCalls::Links Node::UpstreamLinks() {
  return {.send_reply = [this](std::uint64_t req,
                               std::string_view reply) { return pool_->SendUpstreamReply(req, reply); },
          .send_skip = [this](std::uint64_t req,
                              std::uint64_t notice) { return pool_->SkipUpstreamCall(req, notice); },
          .start =
              [this](std::uint64_t req, Millis limit, std::string_view body) {
                if (store_) store_->Call(req, limit, body);
                return store_.has_value();
              },
          .abandon =
              [this](std::uint64_t req) {
                if (store_) store_->Abandon(req);
              }};
}

void Node::ConnectStore(const std::string& address) {
  if (address.empty()) return;
  const sockaddr_in at = net::ParseAddress(address);
  if (store_) {
    store_->ChangeAddress(at);
    return;
  }
  store_.emplace(base_.get(), at, config_.seed,
                 [this](std::uint64_t req, Outcome outcome, Millis elapsed, std::string_view reply) {
                   table_.OnUpstreamCallFinished(req, outcome, elapsed, reply);
                 });
}

// Limits the stored results and keys to fractions of the memory limit, so that they cannot exhaust the memory
// of the process.
KeyTable::Limits Node::KeyLimits() const {
  constexpr double kResultsFraction = 1.0 / 8, kKeysFraction = 1.0 / 16, kBytesPerKey = 320;
  const double bytes = config_.memory_limit_mb * (1 << 20);
  return {.max_keys = static_cast<std::size_t>(kKeysFraction * bytes / kBytesPerKey),
          .max_result_bytes = static_cast<std::size_t>(kResultsFraction * bytes)};
}

// The buffers may take twice this, because libevent allocates them in powers of two.
std::size_t Node::BufferLimit() const {
  constexpr double kBuffersFraction = 1.0 / 4;
  return static_cast<std::size_t>(kBuffersFraction * config_.memory_limit_mb * (1 << 20));
}

Node::Steady::duration Node::AnswerDelayLimit() const {
  Millis longest{0};
  for (const auto& c : config_.settings.classes) longest = std::max(longest, Millis(c.deadline_ms));
  return std::chrono::duration_cast<Steady::duration>(longest + Millis(config_.settings.answer_grace_ms) +
                                                      kSocketGrace);
}

std::unique_ptr<net::GatewayFrontEnd> Node::CreateFront() {
  const sockaddr_in listen = net::ParseAddress(config_.listen_address);
  const auto sockets = static_cast<std::size_t>(config_.max_descriptors);
  const std::size_t max_connections = sockets > ReservedDescriptors() ? sockets - ReservedDescriptors() : 1;
  core::FrontEndEvents events{
      .request = [this](const IncomingRequest& request) { HandleRequest(request); },
      .disconnected =
          [this](StreamAddress from) {
            table_.OnCallerDisconnected(from);
            checks_.OnCallerDisconnected(from);
          },
      .deep_check = [this](StreamAddress from) { checks_.OnDeepCheck(from); },
      .class_counts = [this](std::string_view class_name) { return metrics_.CountsFor(class_name); }};
  if (loops() == 0) {
    return std::make_unique<net::SingleLoopFrontEnd>(base_.get(), listen, handover_.RequestListener(),
                                                     max_connections, std::move(events));
  }
  net::LoopGroup::Options options;
  options.loops = loops();
  options.max_connections = max_connections;
  options.classes = [this](std::size_t loop) {
    auto table = std::make_shared<net::ClassTable>();
    for (const std::string& name : metrics_.class_names())
      table->emplace(name, metrics_.CountsFor(name, loop));
    return table;
  };
  options.class_counts = [this](std::string_view kind, std::size_t loop) {
    return metrics_.CountsForReported(kind, loop);
  };
  return std::make_unique<net::LoopGroup>(base_.get(), listen, handover_.RequestListener(),
                                          std::move(options), std::move(events));
}

// The front end reports each connection that it closes to table_, so it must close them before table_ is
// destroyed.
Node::~Node() { front_->Shutdown({}); }

void Node::HandleRequest(const IncomingRequest& request) {
  if (policy_ && !stopped_) {
    table_.OnRequest(request);
  } else {
    // The policy does not exist before the worker pool has connected, and is not called after the drain.
    front_->Deliver(request.reply_to, Rejected());
  }
}

void Node::Run() {
  for (;;) {
    // Does not block if events are pending: an action may have added one (the end of a replay), and events of
    // extensions may not have fit into the last batch.
    const bool events_pending = table_.has_events() || (policy_ && AnyExtensionHasEvents());
    event_base_loop(base_.get(), events_pending ? EVLOOP_ONCE | EVLOOP_NONBLOCK : EVLOOP_ONCE);
    if (step_requested_ || table_.has_events() || pending_drain_notice_ || AnyExtensionHasEvents()) Step();
    front_->Sweep();
    for (NodeExtension* extension : extensions_) extension->OnRoundCompleted();
    if (store_) store_->FreeEndedConnections();
    if (admin_server_) admin_server_->FreeEndedConnections();
    if (MayExitAfterHandover()) break;
    if (draining_) {
      const Steady::time_point now = Steady::now();
      DrainStep();
      const bool done = table_.unanswered() == 0 && front_->AllSent();
      if ((!listening_ && done && front_->connections() == 0) || now >= kill_at_ - kExitLead) break;
      drain_timer_.Start(kDrainPollInterval);
    }
  }
  // Sends the last answers before the process exits. Requests that are read from here on, including those
  // already in the socket buffers, are rejected.
  stopped_ = true;
  event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  front_->StopReading();
  table_.AnswerAll();
  front_->Sweep();
  while (!front_->AllSent() && Steady::now() < kill_at_ - kFlushLead) {
    drain_timer_.Start(kDrainPollInterval);
    event_base_loop(base_.get(), EVLOOP_ONCE);
    front_->Sweep();
  }
  log::Info("stopped", {{"unanswered", table_.unanswered()}, {"connections", front_->connections()}});
  if (!sibling_read_deadline_) sibling_read_deadline_ = Steady::now() + kSiblingReadTimeout;
  handover_.SendLastMessages();
  front_->Shutdown(kill_at_ - kCloseLead);
  handover_.AwaitSiblings([this] { return SiblingDeadline(); });
  // libevent closes a freed bufferevent's socket in the next round of its loop.
  event_base_loop(base_.get(), EVLOOP_NONBLOCK);
}

bool Node::MayExitAfterHandover() {
  // Also waits for executions without a waiting caller: the successor counts them in its load as long as this
  // process reports them.
  const bool idle = table_.empty() && front_->AllSent() && front_->connections() == 0;
  if (!handed_over_ || !idle || handover_.may_serve_again()) {
    sibling_read_deadline_.reset();
    return false;
  }
  const Steady::time_point now = Steady::now();
  if (!sibling_read_deadline_) sibling_read_deadline_ = now + kSiblingReadTimeout;
  if (handover_.AllSent() || now >= *sibling_read_deadline_) return true;
  // This process accepts clients again if the successor ends meanwhile.
  drain_timer_.Start(*sibling_read_deadline_ - now);
  return false;
}

Node::Steady::time_point Node::SiblingDeadline() const {
  return draining_ ? std::min(kill_at_ - kCloseLead, *sibling_read_deadline_) : *sibling_read_deadline_;
}

void Node::BindThreads(const std::vector<std::vector<unsigned>>& cpus) {
  bool pinned = true;
  for (std::size_t i = 0; i < cpus.size() && i < threads_; ++i) {
    pinned =
        (i == 0 ? net::PinThreadToCpus(pthread_self(), cpus[i]) : front_->PinLoopToCpus(i - 1, cpus[i])) &&
        pinned;
  }
  // The node works without pinning, so a failure is only logged.
  if (!pinned) log::Warn("pin-failed");
}

void Node::OnPoolConnected(bool warming_up) {
  if (policy_) return;
  hingelink::Settings settings = config_.settings;
  settings.warming_up = warming_up;
  policy_.emplace(settings, config_.seed);
  policy_->ImportLearned(imported_);
  step_requested_ = true;
  if (listening_ || draining_) return;
  StartServing();
}

void Node::StartServing() {
  if (!handover_.AcceptSuccessors(front_->listener())) {
    // Another process has taken over from the predecessor; OnPredecessorChanged() follows.
    handover_.TakePlaceInChain();
    return;
  }
  listening_ = true;
  front_->ResumeListening();
  handover_.SendReady();
}

void Node::OnPredecessorChanged(net::Descriptor listener) {
  if (listener.get() >= 0) front_->ReplaceListener(std::move(listener));
  UpdateSiblingKeys();
  if (policy_ && !listening_ && !draining_) StartServing();
}

// Passes all pending events to the policy in one call and executes the resulting actions in order.
void Node::Step() {
  step_requested_ = false;
  if (!policy_) return;
  std::vector<hingelink::Event> events = table_.TakeEvents(std::chrono::system_clock::now());
  if (const auto answer_by = std::exchange(pending_drain_notice_, std::nullopt)) {
    const Millis remaining = *answer_by - Steady::now();
    events.emplace_back(hingelink::DrainNotice{std::max(0.0, remaining.count())});
  }
  EventBatch batch(events, events.empty() ? kIdleBudget : kRequestBudget);
  for (NodeExtension* extension : extensions_) extension->AddEvents(batch);
  FireTimers(events);
  for (const hingelink::Action& action : policy_->Step(Clock().count(), events)) ExecuteAction(action);
  ArmTimers();
  for (NodeExtension* extension : extensions_) extension->OnStepCompleted();
}

bool Node::AnyExtensionHasEvents() const {
  return std::any_of(extensions_.begin(), extensions_.end(),
                     [](const NodeExtension* extension) { return extension->HasPendingEvents(); });
}

void Node::NotifyLifecyclePhase(NodeExtension::LifecyclePhase phase) {
  for (NodeExtension* extension : extensions_) extension->OnLifecyclePhase(phase);
}

std::string Node::MetricsText() const {
  std::string text = metrics_.Text(table_.unanswered(), TakeLoopSnapshots());
  const auto& classes = config_.settings.classes;
  const bool has_keyed_class = std::any_of(classes.begin(), classes.end(), [](const auto& c) {
    return c.idempotency == hingelink::Idempotency::kKeyed;
  });
  if (has_keyed_class || store_)
    text += UpstreamMetricsText(table_.keys(), table_.upstream_calls(), store_ ? &*store_ : nullptr);
  for (const NodeExtension* extension : extensions_) text += extension->MetricsText();
  return text;
}

void Node::ExecuteAction(const hingelink::Action& action) {
  std::visit(
      [this](const auto& a) {
        using A = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<A, hingelink::Start> || std::is_same_v<A, hingelink::Reject> ||
                      std::is_same_v<A, hingelink::Fail> || std::is_same_v<A, hingelink::RetainKey> ||
                      std::is_same_v<A, hingelink::ReleaseKey> || std::is_same_v<A, hingelink::Replay> ||
                      std::is_same_v<A, hingelink::StartUpstreamCall> ||
                      std::is_same_v<A, hingelink::UseFallback>) {
          table_.Execute(a);
        } else if constexpr (std::is_same_v<A, hingelink::SetTimer>) {
          timers_.emplace(Steady::now() + std::chrono::duration_cast<Steady::duration>(Millis(a.in_ms)),
                          a.token);
        } else if constexpr (std::is_same_v<A, hingelink::SetHealth>) {
          front_->SetHealth(a.healthy, a.shallow);
        } else if constexpr (std::is_same_v<A, hingelink::PublishLoadSignal>) {
          front_->SetLoadSignal(a.value);
        } else if constexpr (std::is_same_v<A, hingelink::CloseIdle>) {
          const double ms = a.after_ms > 0 ? a.after_ms : config_.settings.caller_idle_timeout_ms;
          front_->CloseIdle(std::chrono::milliseconds(static_cast<std::int64_t>(ms)));
        } else if constexpr (std::is_same_v<A, hingelink::Log>) {
          log::Info("module", {{"", a.text}});
        }
      },
      action);
}

void Node::FireTimers(std::vector<hingelink::Event>& events) {
  const Steady::time_point now = Steady::now();
  while (!timers_.empty() && timers_.top().first <= now) {
    events.emplace_back(hingelink::TimerFired{timers_.top().second, pool_->gauges()});
    timers_.pop();
  }
}

void Node::ArmTimers() {
  if (timers_.empty()) return;
  const Steady::duration in = timers_.top().first - Steady::now();
  timer_.Start(in);
  gauge_timer_.Start(in - kGaugeLead);
}

}  // namespace hingelink::node
