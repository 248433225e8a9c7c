// Admits new connections at the connection limit, where the connections are distributed over several event
// loops.
//
// At the limit, a new connection is pending while each loop reports its least valuable connection; the least
// valuable of all is evicted in its favor. If no loop can spare one, the new connection is rejected.
//
// While another process holds file descriptors of the same limit and is about to release them, new
// connections wait in the kernel's queue, with the listener paused, instead of being rejected.
#ifndef HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_
#define HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace hingelink::decide {

// The connection with the smallest value is evicted first.
struct ConnectionValue {
  int use = 0;                            // What it has been used for, by rank.
  std::chrono::nanoseconds last_used{0};  // On a clock that all loops share.
  auto operator<=>(const ConnectionValue&) const = default;
};

// Each event returns the actions that it causes, to be executed in order. `connections` is always the number
// of connections on each loop, pending ones excluded. Not thread-safe.
class ConnectionAdmission {
 public:
  struct Options {
    std::size_t loops = 1;
    std::size_t max_connections = 1;
    // Pending connections use file descriptors of a reserve. The listener is paused while there are as many.
    std::size_t max_pending = 8;
    // Evictions that failed for the same pending connection before it is rejected.
    int max_eviction_attempts = 4;
  };

  // Assign the oldest pending connection to a loop.
  struct Admit {};
  // Close the oldest pending connection.
  struct Reject {};
  // Ask a loop for its least valuable connection; answered by OnCandidate().
  struct RequestCandidate {
    std::size_t loop = 0;
    bool operator==(const RequestCandidate&) const = default;
  };
  // Have a loop close its least valuable connection; answered by OnEvicted().
  struct Evict {
    std::size_t loop = 0;
    bool operator==(const Evict&) const = default;
  };
  struct PauseListener {};
  struct ResumeListener {};
  using Action = std::variant<Admit, Reject, RequestCandidate, Evict, PauseListener, ResumeListener>;
  using Actions = std::vector<Action>;
  using LoopCounts = std::vector<std::size_t>;

  explicit ConnectionAdmission(const Options& options);

  // A connection was accepted: it is pending.
  [[nodiscard]] Actions OnAccepted(const LoopCounts& connections);
  // The answer to RequestCandidate: nothing if the loop has no connection that it can spare.
  [[nodiscard]] Actions OnCandidate(std::size_t loop, const std::optional<ConnectionValue>& candidate,
                                    const LoopCounts& connections);
  // The answer to Evict. If the loop closed a connection, OnClosed() is called first.
  [[nodiscard]] Actions OnEvicted(std::size_t loop, bool evicted, const LoopCounts& connections);
  // A connection was closed.
  [[nodiscard]] Actions OnClosed(const LoopCounts& connections);
  // `is_shared`: whether another process holds file descriptors of the same limit and will release them.
  [[nodiscard]] Actions SetMaxConnections(std::size_t max_connections, bool is_shared,
                                          const LoopCounts& connections);
  // Attempts again to admit pending connections. To be called now and then while the limit is shared.
  [[nodiscard]] Actions RetryPending(const LoopCounts& connections);
  // A stalled loop is asked nothing, and answers that it owes count as negative.
  [[nodiscard]] Actions SetStalled(std::size_t loop, bool is_stalled, const LoopCounts& connections);

  [[nodiscard]] std::size_t pending() const { return pending_; }
  [[nodiscard]] bool listener_paused() const { return listener_paused_; }

 private:
  enum class EvictionState { kIdle, kAwaitingCandidates, kAwaitingEviction };

  // Admits what it can, then begins an eviction for the rest, or rejects.
  void Advance(const LoopCounts& connections, Actions& actions);
  void AdmitPending(const LoopCounts& connections, Actions& actions);
  void UpdateListener(Actions& actions);
  void RequestCandidates(const LoopCounts& connections, Actions& actions);
  // Once all candidates are known: evicts the least valuable one.
  void EvictLeastValuable(const LoopCounts& connections, Actions& actions);
  [[nodiscard]] std::optional<std::size_t> LoopOfLeastValuable() const;
  void OnNoneEvictable(Actions& actions);
  void RemoveOldestPending();

  Options options_;
  bool is_shared_ = false;
  bool listener_paused_ = false;
  // The limit is reached and shared: connections may wait in the kernel's queue.
  bool is_saturated_ = false;
  std::size_t pending_ = 0;
  EvictionState eviction_ = EvictionState::kIdle;
  // No connection was evictable while the limit was shared, since the last RetryPending().
  bool none_evictable_ = false;
  int failed_evictions_ = 0;       // For the oldest pending connection.
  std::size_t evicting_loop_ = 0;  // In kAwaitingEviction.
  // By loop, in kAwaitingCandidates.
  std::vector<bool> awaited_;
  std::vector<std::optional<ConnectionValue>> candidates_;
  std::vector<bool> stalled_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_
