// The server side of a control socket: a UNIX socket for operators on the same machine.
//
// Only the owner of the process may connect: the socket has mode 0600, and the uid of each peer is checked.
// The server runs on an event loop that has other work, and bounds the time that it takes from it: the rate
// of requests is limited over all clients, one snapshot is made for all watchers, and a client's next request
// is not read until the client has read the response before it.
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

// docs/limits.md lists these limits for operators.

// A further connection closes the client that has been idle for longest, except watchers.
inline constexpr std::size_t kMaxClients = 16;
inline constexpr std::size_t kMaxWatchers = 8;
inline constexpr std::size_t kRequestsPerInterval = 8;  // Over all clients.
inline constexpr std::chrono::milliseconds kRateLimitInterval{10};
// A snapshot is reused for this long, since making one counts all requests in progress. That takes 0.2% of a
// core at saturation.
inline constexpr std::chrono::milliseconds kSnapshotMaxAge{200};
// Time limit for a client to complete a request line after its first byte, and to read a response. A client
// that exceeds it is closed.
inline constexpr std::chrono::milliseconds kClientTimeout{5000};

// Runs on the thread of its event loop; all methods must be called on that thread.
class Server {
 public:
  // Returns the result of a request, or throws RequestError. Called on the loop's thread.
  using Handler = std::function<Json(const nlohmann::json& args)>;

  struct Options {
    std::string path;
    uid_t owner = geteuid();  // The only user that may connect.
  };
  // Starts listening, and replaces a socket that an exited process left at the path. Throws
  // std::runtime_error if it cannot listen or if another process accepts connections at the path.
  // `make_snapshot` returns the result of `status` and `watch`; `handlers` maps each other operation to its
  // handler.
  Server(event_base* base, Options options, std::function<Json()> make_snapshot,
         std::map<std::string, Handler> handlers);
  // Closes all connections and removes the socket. A socket that still exists therefore shows that its
  // process died.
  ~Server();

  std::size_t clients() const { return clients_.size(); }
  std::size_t watchers() const;
  // Number of snapshots that were not sent because the watcher had not read the previous one.
  std::uint64_t skipped_snapshots() const { return skipped_snapshots_; }

 private:
  class Client;

  void Accept();
  // Renews the request budget and reads from the clients that were waiting for it.
  void StartRateLimitInterval();
  void SendSnapshotsToWatchers();
  void HandleRequest(Client& client, const Request& request);
  void CloseClient(Client& client, const char* reason);
  // Returns the snapshot as JSON text, at most kSnapshotMaxAge old.
  const std::string& CachedSnapshot();
  // Returns false if the requests of the current interval are used up.
  bool TryConsumeRequestBudget();

  event_base* base_;
  Options options_;
  std::function<Json()> make_snapshot_;
  std::map<std::string, Handler> handlers_;
  net::Descriptor listener_;
  net::EventPtr accept_;
  net::Timer rate_limit_timer_;  // Ends an interval of the rate limit.
  net::Timer watch_timer_;       // Runs while there are watchers.
  net::Timer cleanup_timer_;     // Frees closed clients outside their own callbacks.
  net::Timer accept_retry_timer_;
  std::size_t requests_left_ = kRequestsPerInterval;
  std::uint64_t last_client_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Client>> closed_clients_;
  std::string cached_snapshot_;
  std::optional<net::Steady::time_point> snapshot_time_;
  std::uint64_t skipped_snapshots_ = 0;
};

}  // namespace hingelink::control

#endif  // HINGELINK_CONTROL_SERVER_H_
