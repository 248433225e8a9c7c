// Where each connection of a node with several loops is, and what waits for one that is on its way to
// another.
//
// A move is asked of the loop that has the connection. From then on its answers wait here, so that none can
// reach a loop that has let it go: the queue to a loop keeps its order, so what was sent before the wish is
// delivered before it is carried out. The loop's word ends the wait: let go (the next loop adopts it, then
// gets what waited), kept, or ended.
#ifndef HINGELINK_DECIDE_CONNECTIONS_CONNECTION_LOCATIONS_H_
#define HINGELINK_DECIDE_CONNECTIONS_CONNECTION_LOCATIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hingelink::decide {

using ConnectionId = std::uint64_t;
using LoopIndex = std::size_t;

// `Answer` is whatever is to be delivered; it waits unchanged.
template <class Answer>
class ConnectionLocations {
 public:
  // The loop that a connection begins on is a part of its name, so that only those that moved need a place
  // here.
  static constexpr int kLoopShift = 56;

  explicit ConnectionLocations(std::size_t loops) : counts_(loops) {}

  // A name for a new connection on `loop`. Never given twice.
  ConnectionId Add(LoopIndex loop) {
    ++counts_[loop];
    return static_cast<ConnectionId>(loop) << kLoopShift | ++last_;
  }

  // A loop tells of its end. False where the loop is not the one that has it.
  bool Remove(ConnectionId id, LoopIndex at) {
    const auto moved = moved_.find(id);
    if (At(id, moved) != at) return false;
    --counts_[at];
    // What waited has nobody left to read it.
    if (moved != moved_.end()) {
      if (moved->second.to) --moving_;
      moved_.erase(moved);
    }
    return true;
  }

  // Asks for a move. Gives the loop to tell; nothing where it is on its way already, or there.
  std::optional<LoopIndex> BeginMove(ConnectionId id, LoopIndex to) {
    auto moved = moved_.find(id);
    const LoopIndex at = At(id, moved);
    if (at == to || (moved != moved_.end() && moved->second.to)) return std::nullopt;
    if (moved == moved_.end()) moved = moved_.emplace(id, Place{at, std::nullopt, {}}).first;
    moved->second.to = to;
    ++moving_;
    return at;
  }

  struct FinishedMove {
    LoopIndex loop = 0;
    std::vector<Answer> held_answers;  // In the order in which they were given.
  };
  // The loop asked has let it go (`left`) or keeps it. Nothing where no such move was asked of that loop.
  // Where it has left, the caller has it adopted at `at` before anything of `waited` is sent there.
  std::optional<FinishedMove> FinishMove(ConnectionId id, LoopIndex from, bool left) {
    const auto moved = moved_.find(id);
    if (moved == moved_.end() || !moved->second.to || moved->second.at != from) return std::nullopt;
    Place& place = moved->second;
    const LoopIndex to = *std::exchange(place.to, std::nullopt);
    --moving_;
    if (left) {
      --counts_[place.at];
      ++counts_[to];
      place.at = to;
    }
    FinishedMove finished{place.at, std::exchange(place.waiting, {})};
    if (place.at == Birth(id)) moved_.erase(moved);
    return finished;
  }

  // The loop to send an answer to, or nothing: it was put among those that wait.
  std::optional<LoopIndex> Route(ConnectionId id, Answer& answer) {
    if (moved_.empty()) return Birth(id);
    const auto moved = moved_.find(id);
    if (moved == moved_.end()) return Birth(id);
    if (!moved->second.to) return moved->second.at;
    moved->second.waiting.push_back(std::move(answer));
    return std::nullopt;
  }

  // Whether answers may wait. Guards against a process that ends with some of them here.
  bool has_pending_moves() const { return moving_ > 0; }
  std::size_t count(LoopIndex loop) const { return counts_[loop]; }
  std::size_t size() const {
    std::size_t sum = 0;
    for (const std::size_t count : counts_) sum += count;
    return sum;
  }
  // Connections that are not where they began, which take room here.
  std::size_t moved_count() const { return moved_.size(); }

 private:
  struct Place {
    LoopIndex at = 0;
    std::optional<LoopIndex> to;
    std::vector<Answer> waiting;
  };
  using Places = std::unordered_map<ConnectionId, Place>;

  static LoopIndex Birth(ConnectionId id) { return id >> kLoopShift; }
  LoopIndex At(ConnectionId id, typename Places::const_iterator moved) const {
    return moved == moved_.end() ? Birth(id) : moved->second.at;
  }

  std::vector<std::size_t> counts_;
  ConnectionId last_ = 0;
  std::size_t moving_ = 0;
  Places moved_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_CONNECTIONS_CONNECTION_LOCATIONS_H_
