// Records which event loop owns each connection of a node, and holds the answers for a connection while it is
// being moved to another loop.
//
// To move a connection, the node asks the owning loop to release it. From then on the node holds the answers
// for the connection here, so that no answer reaches a loop that no longer owns the connection. Messages to a
// loop are delivered in order, so the loop receives answers that were sent before the release request while
// it still owns the connection.
//
// The move ends when the loop reports one of three results: it released the connection (the target loop
// adopts the connection and then receives the held answers), it kept the connection, or the connection was
// closed.
#ifndef HINGELINK_DECIDE_CONNECTIONS_CONNECTION_LOCATIONS_H_
#define HINGELINK_DECIDE_CONNECTIONS_CONNECTION_LOCATIONS_H_

#include <cstddef>
#include <cstdint>
#include <numeric>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hingelink::decide {

using ConnectionId = std::uint64_t;
using LoopIndex = std::size_t;

// `Answer` is the message to deliver to a connection; it is moved and never inspected. Not thread-safe.
template <class Answer>
class ConnectionLocations {
 public:
  // The bits of an id from this one up hold the connection's first loop, so that only connections that were
  // moved need a map entry.
  static constexpr int kLoopShift = 56;

  explicit ConnectionLocations(std::size_t loops) : counts_(loops) {}

  // Returns the id of a new connection on `loop`. Ids are never reused.
  [[nodiscard]] ConnectionId Add(LoopIndex loop) {
    ++counts_[loop];
    return static_cast<ConnectionId>(loop) << kLoopShift | ++last_number_;
  }

  // `loop` reports that the connection was closed. Drops the answers held for the connection. Returns false,
  // and changes nothing, if the loop does not own the connection.
  [[nodiscard]] bool Remove(ConnectionId id, LoopIndex loop) {
    const auto entry = entries_.find(id);
    if (OwnerOf(id, entry) != loop) return false;
    --counts_[loop];
    if (entry == entries_.end()) return true;
    if (entry->second.target) --pending_moves_;
    entries_.erase(entry);
    return true;
  }

  // Begins to move a connection to `target`. Returns the loop that must be asked to release the connection,
  // or nothing if the connection is already on `target` or is being moved.
  [[nodiscard]] std::optional<LoopIndex> BeginMove(ConnectionId id, LoopIndex target) {
    auto entry = entries_.find(id);
    const LoopIndex owner = OwnerOf(id, entry);
    const bool is_moving = entry != entries_.end() && entry->second.target.has_value();
    if (owner == target || is_moving) return std::nullopt;
    if (entry == entries_.end()) entry = entries_.emplace(id, Entry{owner, std::nullopt, {}}).first;
    entry->second.target = target;
    ++pending_moves_;
    return owner;
  }

  struct FinishedMove {
    LoopIndex loop = 0;                // The owner after the move.
    std::vector<Answer> held_answers;  // In the order of the calls of Route().
  };
  // The loop `from` reports whether it released the connection or kept it. If it released the connection, the
  // caller must have FinishedMove::loop adopt the connection before it sends the held answers to that loop.
  // Returns nothing if no move from that loop is in progress.
  [[nodiscard]] std::optional<FinishedMove> FinishMove(ConnectionId id, LoopIndex from, bool released) {
    const auto entry = entries_.find(id);
    if (entry == entries_.end()) return std::nullopt;
    Entry& location = entry->second;
    if (!location.target || location.owner != from) return std::nullopt;
    const LoopIndex target = *std::exchange(location.target, std::nullopt);
    --pending_moves_;
    if (released) {
      --counts_[location.owner];
      ++counts_[target];
      location.owner = target;
    }
    FinishedMove finished{location.owner, std::exchange(location.held_answers, {})};
    if (location.owner == FirstLoop(id)) entries_.erase(entry);
    return finished;
  }

  // Returns the loop to send the answer to. Returns nothing if the connection is being moved; `answer` is
  // then moved from and held until the move ends.
  [[nodiscard]] std::optional<LoopIndex> Route(ConnectionId id, Answer& answer) {
    if (entries_.empty()) return FirstLoop(id);
    const auto entry = entries_.find(id);
    if (entry == entries_.end()) return FirstLoop(id);
    if (!entry->second.target) return entry->second.owner;
    entry->second.held_answers.push_back(std::move(answer));
    return std::nullopt;
  }

  // Whether a move is in progress, so that answers may be held here.
  [[nodiscard]] bool has_pending_moves() const { return pending_moves_ > 0; }
  // Connections on a loop.
  [[nodiscard]] std::size_t count(LoopIndex loop) const { return counts_[loop]; }
  // Connections on all loops.
  [[nodiscard]] std::size_t size() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::size_t{0});
  }
  // Number of connections that need a map entry: those being moved or not on their first loop.
  [[nodiscard]] std::size_t moved_count() const { return entries_.size(); }

 private:
  struct Entry {
    LoopIndex owner = 0;
    std::optional<LoopIndex> target;  // Set while the connection is being moved.
    std::vector<Answer> held_answers;
  };
  using Entries = std::unordered_map<ConnectionId, Entry>;

  static LoopIndex FirstLoop(ConnectionId id) { return id >> kLoopShift; }
  LoopIndex OwnerOf(ConnectionId id, typename Entries::const_iterator entry) const {
    return entry == entries_.end() ? FirstLoop(id) : entry->second.owner;
  }

  std::vector<std::size_t> counts_;  // Connections, by loop.
  ConnectionId last_number_ = 0;
  std::size_t pending_moves_ = 0;
  Entries entries_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_LOCATIONS_H_
