// Who gets in at the limit of connections, where the connections lie on several loops. A newcomer waits while
// each loop offers its least useful connection; the least useful of all makes room. No I/O and no clock.
#ifndef HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_
#define HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace hingelink::decide {

// How little is lost with a connection: less first.
struct ConnectionValue {
  int use = 0;                            // What it has been good for.
  std::chrono::nanoseconds last_used{0};  // On one clock for all loops.
  auto operator<=>(const ConnectionValue&) const = default;
};

class ConnectionAdmission {
 public:
  struct Options {
    std::size_t loops = 1;
    std::size_t max_connections = 1;
    // Newcomers that wait for room at a time; they hold descriptors out of the reserve. Past it the listener
    // rests.
    std::size_t max_pending = 8;
    // Offers that came to nothing, for one newcomer, before it is turned away.
    int max_eviction_attempts = 4;
  };
  // What to do, in order.
  struct Admit {};   // The newcomer that has waited longest gets a loop.
  struct Reject {};  // That one is closed: at the limit, and nobody can make room.
  struct RequestCandidate {
    std::size_t loop = 0;
    bool operator==(const RequestCandidate&) const = default;
  };
  struct Evict {
    std::size_t loop = 0;
    bool operator==(const Evict&) const = default;
  };
  struct PauseListener {};
  struct ResumeListener {};
  using Action = std::variant<Admit, Reject, RequestCandidate, Evict, PauseListener, ResumeListener>;
  using Actions = std::vector<Action>;

  explicit ConnectionAdmission(const Options& options);

  // A socket has been accepted. `on` gives how many connections each loop has; also below.
  Actions OnAccepted(const std::vector<std::size_t>& on);
  // A loop's answer to RequestCandidate: its least useful connection, or none that can be spared.
  Actions OnCandidate(std::size_t loop, const std::optional<ConnectionValue>& offer,
                      const std::vector<std::size_t>& on);
  // A loop's answer to Evict. Where it made room, OnClosed() has come before.
  Actions OnEvicted(std::size_t loop, bool made, const std::vector<std::size_t>& on);
  // A connection has ended.
  Actions OnClosed(const std::vector<std::size_t>& on);
  // `shared`: another process holds descriptors out of the same limit and will let go of them, so that
  // newcomers wait in the kernel's queue for a while rather than being turned away.
  Actions SetMaxConnections(std::size_t most, bool shared, const std::vector<std::size_t>& on);
  // Time has passed: for newcomers that wait because of `shared`.
  Actions RetryPending(const std::vector<std::size_t>& on);
  // A loop does not answer: it is not asked, and what it was asked counts as no.
  Actions SetStalled(std::size_t loop, bool hung, const std::vector<std::size_t>& on);

  std::size_t pending() const { return waiting_; }
  bool listener_paused() const { return rests_; }

 private:
  enum class Asking { kNothing, kOffers, kRoom };

  // Lets in who can be, then asks for room, or turns away.
  void Go(const std::vector<std::size_t>& on, Actions& steps);
  void Ask(const std::vector<std::size_t>& on, Actions& steps);
  // Takes the best of the offers, once all are in.
  void Choose(const std::vector<std::size_t>& on, Actions& steps);
  void NobodyCan(Actions& steps);
  void NextNewcomer();

  Options options_;
  bool shared_ = false;
  bool rests_ = false;
  bool crowded_ = false;  // Full beside another process: the kernel's queue may hold newcomers.
  std::size_t waiting_ = 0;
  Asking asking_ = Asking::kNothing;
  bool no_room_ = false;  // Nobody could make room, beside another process, since RetryPending().
  int tries_ = 0;
  std::size_t room_of_ = 0;     // The loop that was told to make room.
  std::vector<bool> to_offer_;  // Loops whose offer is still to come.
  std::vector<std::optional<ConnectionValue>> offers_;
  std::vector<bool> hung_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_ADMISSION_H_
