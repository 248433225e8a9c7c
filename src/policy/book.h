// What is in hand: requests, classes, the hold, and the ledger of what is due.
#ifndef HINGELINK_POLICY_BOOK_H_
#define HINGELINK_POLICY_BOOK_H_

#include <set>
#include <span>
#include <unordered_map>
#include <utility>

#include "policy/arrivals.h"
#include "policy/looks.h"

namespace hingelink::policy {

// Share of memory for held, running and kept bytes: the rest covers what is read within one batch; for held
// bytes, and for keys: running must keep the larger part.
constexpr double kWatermark = 0.92, kHoldMemory = 0.25, kKeyMemory = 0.5;
constexpr double kGuess = 0.15;  // Share of its aim that a class's run is taken to last before one is seen.
constexpr double kLeft = 0.8;    // Of a usual run: must be left before the aim for a start or a call.
constexpr double kTicksBefore = 2;  // Before a due time, when the answer goes out.

class Book {
 protected:
  explicit Book(const Settings& settings) { Take(settings, settings.cold); }

  // All of it or, with a throw, nothing.
  void Take(const Settings& settings, bool cold) {
    const std::string fault = settings.Validate();
    if (!fault.empty()) throw std::invalid_argument(fault);
    const bool same_tenants =
        std::equal(s_.tenants.begin(), s_.tenants.end(), settings.tenants.begin(), settings.tenants.end(),
                   [](const Tenant& a, const Tenant& b) { return a.name == b.name && a.share == b.share; });
    s_ = settings;
    s_.cold = cold;  // Of this life, whatever new settings say.
    TakeClasses();
    if (!same_tenants) tenants_.Take();
  }

  // Gives each class a slot: that of its name where it is listed or has requests open, else one that nothing
  // refers to, or a new one. Guards against open requests that change class, and tables that only grow.
  void TakeClasses() {
    const auto free = [](const Slot& slot) { return !slot.listed && slot.open == 0; };
    std::vector<bool> was_free;
    for (Slot& slot : slots_) was_free.push_back(free(slot)), slot.listed = false;
    slot_of_.assign(s_.classes.size(), -1);
    // Those that have a slot first: none of the others may take it.
    for (const bool fresh : {false, true}) {
      for (std::size_t i = 0; i < s_.classes.size(); ++i) {
        const RequestClass& c = s_.classes[i];
        std::size_t k = 0;
        while (k < slots_.size() && (fresh ? !free(slots_[k]) : was_free[k] || slots_[k].told.name != c.name))
          ++k;
        if (slot_of_[i] >= 0 || (!fresh && k == slots_.size())) continue;
        slots_.resize(std::max(slots_.size(), k + 1));
        const double guess = kGuess * c.aim_ms;
        if (fresh) slots_[k] = {.told = c, .mean = {c.name, guess, guess}, .share = 1.0 / s_.classes.size()};
        slots_[k].told = c;
        slots_[k].listed = true;
        slot_of_[i] = static_cast<int>(k);
      }
    }
    queues_.resize(2 * slots_.size());
    for (Slot& slot : slots_) slot.share *= slot.listed;
  }

  void Do(Action action) { out_.push_back(std::move(action)); }
  Request* Find(RequestId id) {
    const auto it = live_.find(id);
    return it == live_.end() ? nullptr : &it->second;
  }
  const RequestClass& Told(const Request& r) const { return slots_[r.cls].told; }
  bool Safe(const Request& r) const { return Told(r).repeat == Repeat::kSafe; }
  bool Keyed(const Request& r) const { return Told(r).repeat == Repeat::kKeyed; }

  // With what another process of this server has in hand: guards against two that each fill cores and memory.
  int OnCores() const { return running_ - at_call_ + other_.running; }
  double Kb() const { return held_kb_ + run_kb_ + keys_kb_ + other_.kb; }
  bool BytesFull() const { return held_kb_ > kHoldMemory * s_.memory_kb || Kb() > kWatermark * s_.memory_kb; }
  // How long what is held takes, as runs go just now.
  double Wait() const { return pace_ * (held_cost_ + other_.work_ms) / looks_.limit(); }

  // ---- The hold ----
  int QueueOf(const Request& r) const { return r.cls * 2 + (r.behind ? 1 : 0); }
  void Hold(RequestId id, Request& r) {
    r.state = State::kHeld;
    queues_[QueueOf(r)].insert({r.aim, id});
    held_cost_ += r.cost;
  }
  bool Unhold(RequestId id, Request& r) { return queues_[QueueOf(r)].erase({r.aim, id}) > 0; }

  // What a queue's requests add to the operator's goal for each ms of work: their part of all worth, and, for
  // the class served worst of late, its part in that. Guards against one class bearing all of a loss.
  double Worth(int q) const {
    const auto worth = [this](const Slot& c) {
      return c.told.worth * (s_.worth_by_work ? std::max(1.0, c.mean.cost_ms) : 1);
    };
    const Slot& own = slots_[q / 2];
    const Slot* worst = nullptr;
    double all = 0;
    for (const Slot& slot : slots_) {
      all += slot.share * worth(slot);
      if (slot.listed && (worst == nullptr || slot.served < worst->served)) worst = &slot;
    }
    const double whole = (s_.goal_whole + s_.goal_window) * worth(own) / std::max(1e-9, all);
    const double least = &own == worst ? s_.goal_class / std::max(0.01, own.share) : 0;
    return (whole + least) / std::max(1.0, own.mean.cost_ms) * (q % 2 != 0 ? s_.over_share_worth : 1);
  }

  double Last(const Request& r) const { return r.due - kTicksBefore * s_.tick_ms; }
  void Watch(RequestId id, Request& r, double at) {
    Unwatch(id, r);
    r.watch = at;
    ledger_.insert({at, id});
  }
  void Unwatch(RequestId id, Request& r) { ledger_.erase({r.watch, id}); }

  void Erase(RequestId id, Request& r) {
    Unwatch(id, r);
    --slots_[r.cls].open;
    live_.erase(id);
  }

  Settings s_;
  std::vector<Slot> slots_;
  std::vector<int> slot_of_;  // By place in the settings told last.
  std::vector<Action> out_;
  std::span<const Event> batch_;
  double now_ = 0, drain_at_ = 0, kill_at_ = kForever;
  bool draining_ = false, stalled_ = false;
  std::unordered_map<RequestId, Request> live_;
  std::vector<std::set<std::pair<double, RequestId>>> queues_;  // By class and over-share, nearest aim first.
  std::set<std::pair<double, RequestId>> ledger_;
  double held_kb_ = 0, run_kb_ = 0, keys_kb_ = 0, held_cost_ = 0;
  Load other_;
  int running_ = 0, at_call_ = 0;  // Runs, those at a call included; and those.
  double moved_at_ = 0;            // When a run last moved on, or a core was free.
  std::uint64_t finished_ = 0;
  double pace_ = 1;  // Length of recent runs over the learned means.
  CallerWaits waits_;
  TenantShares tenants_{s_};
  Looks looks_{s_};
  // Of recent arrivals: marked as further tries, and refused over the hold mark.
  double retry_share_ = 0, refused_share_ = 0;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_BOOK_H_
