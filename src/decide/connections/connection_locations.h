// Which event loop owns each connection of a node, and the answers held back for a connection that is being
// moved to another loop.
//
// A move is requested from the loop that owns the connection. From then on its answers are held here, so that
// none reaches a loop that no longer owns it. The queue to a loop is ordered: answers sent before the request
// are delivered before the request is handled. The move ends when the loop reports that it released the
// connection (the target loop adopts it and then receives the held answers), that it kept it, or that the
// connection was closed.
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

// `Answer` is what is to be delivered to a connection; moved, never inspected. Not thread-safe.
template <class Answer>
class ConnectionLocations {
 public:
  // The upper bits of an id hold the connection's first loop, so that only connections that were moved need
  // an entry.
  static constexpr int kLoopShift = 56;

  explicit ConnectionLocations(std::size_t loops) : counts_(loops) {}

  // Returns the id of a new connection on `loop`. Ids are never reused.
  [[nodiscard]] ConnectionId Add(LoopIndex loop) {
    ++counts_[loop];
    return static_cast<ConnectionId>(loop) << kLoopShift | ++last_number_;
  }

  // `loop` reports that the connection was closed; its held answers are dropped. Returns false, and changes
  // nothing, if the loop does not own the connection.
  [[nodiscard]] bool Remove(ConnectionId id, LoopIndex loop) {
    const auto entry = entries_.find(id);
    if (OwnerOf(id, entry) != loop) return false;
    --counts_[loop];
    if (entry == entries_.end()) return true;
    if (entry->second.target) --pending_moves_;
    entries_.erase(entry);
    return true;
  }

  // Returns the loop to ask for the connection, or nothing if it is already on `target` or being moved.
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
    LoopIndex loop = 0;                // The owner from now on.
    std::vector<Answer> held_answers;  // In the order of Route().
  };
  // The owner `from` has released the connection, or keeps it. If it was released, the caller has
  // FinishedMove::loop adopt it before it sends the held answers there. Nothing if no move was requested from
  // that loop.
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

  // Returns the loop to send the answer to. Nothing if the connection is being moved: `answer` is then moved
  // from and held until the move ends.
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
  // Connections with an entry: being moved, or not on their first loop.
  [[nodiscard]] std::size_t moved_count() const { return entries_.size(); }

 private:
  struct Entry {
    LoopIndex owner = 0;
    std::optional<LoopIndex> target;  // While it is being moved.
    std::vector<Answer> held_answers;
  };
  using Entries = std::unordered_map<ConnectionId, Entry>;

  static LoopIndex FirstLoop(ConnectionId id) { return id >> kLoopShift; }
  LoopIndex OwnerOf(ConnectionId id, typename Entries::const_iterator entry) const {
    return entry == entries_.end() ? FirstLoop(id) : entry->second.owner;
  }

  std::vector<std::size_t> counts_;  // By loop.
  ConnectionId last_number_ = 0;
  std::size_t pending_moves_ = 0;
  Entries entries_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_LOCATIONS_H_
