// Enforces the node's connection limit. The connections are distributed over several event loops.
//
// A connection that is accepted at the limit stays pending while each loop names its least valuable
// connection. The least valuable connection of all loops is then evicted and the pending connection is
// admitted. If no loop has an evictable connection, the pending connection is rejected.
//
// The limit is shared while a sibling process still holds file descriptors that count towards it and will
// release them soon. In that time pending connections are not rejected: the listener is paused, and new
// connections wait in the kernel's accept queue.
#ifndef HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_
#define HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace hingelink::decide {

// The connection with the smallest value is evicted first: the lowest rank, then the least recently used.
struct ConnectionValue {
  // Rank of what the connection has been used for, such as served requests; higher is more valuable.
  int usage_rank = 0;
  std::chrono::nanoseconds last_used{0};  // On a clock that all loops share.
  auto operator<=>(const ConnectionValue&) const = default;
};

// Each event function returns the actions that the caller must execute, in order. `connections` is always the
// number of connections on each loop, without pending connections. Not thread-safe.
class ConnectionAdmission {
 public:
  struct Options {
    std::size_t loops = 1;
    std::size_t max_connections = 1;
    // The listener is paused while this many connections are pending. Pending connections do not count
    // towards `max_connections`; the caller reserves file descriptors for them.
    std::size_t max_pending = 8;
    // A pending connection is rejected after this many failed evictions.
    int max_eviction_attempts = 4;
  };

  // Assign the oldest pending connection to a loop.
  struct Admit {};
  // Close the oldest pending connection.
  struct Reject {};
  // Ask a loop for the value of its least valuable connection. The caller passes the answer to OnCandidate().
  struct RequestCandidate {
    std::size_t loop = 0;
    bool operator==(const RequestCandidate&) const = default;
  };
  // Have a loop close its least valuable connection. The caller passes the result to OnEvicted().
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

  // The listener accepted a connection, which becomes the newest pending connection.
  [[nodiscard]] Actions OnAccepted(const LoopCounts& connections);
  // A loop answered RequestCandidate. `candidate` is empty if the loop has no evictable connection.
  [[nodiscard]] Actions OnCandidate(std::size_t loop, const std::optional<ConnectionValue>& candidate,
                                    const LoopCounts& connections);
  // A loop answered Evict. `evicted`: whether it closed a connection; OnClosed() must be called before.
  [[nodiscard]] Actions OnEvicted(std::size_t loop, bool evicted, const LoopCounts& connections);
  // A loop closed a connection, for whatever reason.
  [[nodiscard]] Actions OnClosed(const LoopCounts& connections);
  // Changes the limit. `is_shared`: whether a sibling process holds file descriptors that count towards the
  // limit and will release them soon.
  [[nodiscard]] Actions SetMaxConnections(std::size_t max_connections, bool is_shared,
                                          const LoopCounts& connections);
  // Attempts again to admit pending connections. To be called periodically while the limit is shared, since
  // the evictable connections change without an event.
  [[nodiscard]] Actions RetryPending(const LoopCounts& connections);
  // A stalled loop receives no requests. An unanswered RequestCandidate counts as answered without a
  // candidate, an unanswered Evict as failed.
  [[nodiscard]] Actions SetStalled(std::size_t loop, bool is_stalled, const LoopCounts& connections);

  [[nodiscard]] std::size_t pending() const { return pending_; }
  [[nodiscard]] bool listener_paused() const { return listener_paused_; }

 private:
  enum class EvictionState { kIdle, kAwaitingCandidates, kAwaitingEviction };

  // Admits as many pending connections as the limit allows, then begins an eviction for the next one or
  // rejects it, and pauses or resumes the listener.
  void Advance(const LoopCounts& connections, Actions& actions);
  void AdmitPending(const LoopCounts& connections, Actions& actions);
  void UpdateListener(Actions& actions);
  void RequestCandidates(const LoopCounts& connections, Actions& actions);
  // Evicts the least valuable candidate once all loops have answered.
  void EvictLeastValuable(const LoopCounts& connections, Actions& actions);
  [[nodiscard]] std::optional<std::size_t> LoopWithLeastValuableCandidate() const;
  void OnNoEvictableConnection(Actions& actions);
  void RemoveOldestPending();

  Options options_;
  bool is_shared_ = false;
  bool listener_paused_ = false;
  // The limit is reached and shared, so the listener is paused and connections wait in the kernel's queue.
  bool is_saturated_ = false;
  std::size_t pending_ = 0;
  EvictionState eviction_ = EvictionState::kIdle;
  // No connection was evictable since the last RetryPending(). Only set while the limit is shared.
  bool no_evictable_connection_ = false;
  int failed_evictions_ = 0;       // For the oldest pending connection.
  std::size_t evicting_loop_ = 0;  // In kAwaitingEviction.
  // By loop, in kAwaitingCandidates: whether its answer is awaited, and the candidate that it named.
  std::vector<bool> awaited_;
  std::vector<std::optional<ConnectionValue>> candidates_;
  std::vector<bool> stalled_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_
