// A control socket: a UNIX socket for operators on the same machine, on a loop that has other work.
//
// Only the owner of the process may connect (mode 0600, and the peer's uid). Nothing said here can delay the
// loop's other work by more than a stated part: so many requests a second over all clients, snapshots made
// once for all watchers, no client's unread answers kept beyond one.
#ifndef HINGELINK_CONTROL_SERVER_H_
#define HINGELINK_CONTROL_SERVER_H_

#include <sys/types.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/protocol.h"
#include "net/event.h"

namespace hingelink::control {

// Bounds. docs/limits.md lists them for operators.
inline constexpr std::size_t kMaxClients = 16;  // The one that was quiet longest makes room, no watcher.
inline constexpr std::size_t kMaxWatchers = 8;
inline constexpr std::size_t kRequestsPerTick = 8;  // Over all clients.
inline constexpr std::chrono::milliseconds kRateLimitInterval{10};
// A newer one is not made before: each counts every request in hand, 0.2% of a core at saturation.
inline constexpr std::chrono::milliseconds kSnapshotMaxAge{200};
// For a line to be whole from its first byte on, and for a response to be taken.
inline constexpr std::chrono::milliseconds kClientTimeout{5000};

class Server {
 public:
  // Gives the result, or throws Fault. Called from the loop.
  using Handler = std::function<Json(const nlohmann::json& args)>;

  struct Options {
    std::string path;
    uid_t owner = geteuid();  // Who may connect.
  };
  // Listens at once; a socket left at the path by a process that ended is replaced. Throws
  // std::runtime_error where it cannot, or where a process still answers there.
  // `snapshot` answers status and watch.
  Server(event_base* base, Options options, std::function<Json()> snapshot,
         std::map<std::string, Handler> handlers);
  // Ends all connections and removes the socket: a socket that is still there tells of a process that died.
  ~Server();

  std::size_t clients() const { return clients_.size(); }
  std::size_t watchers() const;
  // Snapshots that a watcher was not sent, as it had not read the one before.
  std::uint64_t skipped_snapshots() const { return skipped_snapshots_; }

 private:
  class Client;

  void Accept();
  void Tick();
  void Watch();
  void Serve(Client& client, const Request& request);
  void End(Client& client, const char* reason);
  const std::string& SnapshotText();
  bool TakeTurn();

  event_base* base_;
  Options options_;
  std::function<Json()> snapshot_;
  std::map<std::string, Handler> handlers_;
  net::Descriptor listener_;
  net::EventPtr accept_;
  net::Timer tick_;   // While clients wait for their turn.
  net::Timer watch_;  // While there are watchers.
  net::Timer sweep_;  // Frees what has ended, outside its callbacks.
  net::Timer listen_again_;
  std::size_t turns_ = kRequestsPerTick;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Client>> ended_;
  std::string snapshot_text_;
  std::optional<net::Steady::time_point> snapshot_at_;
  std::uint64_t skipped_snapshots_ = 0;
};

}  // namespace hingelink::control

#endif  // HINGELINK_CONTROL_SERVER_H_
