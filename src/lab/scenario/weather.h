// What passes between two parties of a scenario while some of its link faults are on. The same for datagrams
// in simulated time and for real links through a relay.
#ifndef HINGELINK_LAB_SCENARIO_WEATHER_H_
#define HINGELINK_LAB_SCENARIO_WEATHER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "lab/scenario/scenario.h"

namespace hingelink::lab {

// A party by number: the nodes, then the worker pools (of each node, or the services that all share), then
// the gateways and the registry.
struct Parties {
  std::size_t nodes = 0, pools = 0;
  std::size_t Pool(std::size_t pool) const { return nodes + pool; }
  std::size_t Gateways() const { return nodes + pools; }
  std::size_t Registry() const { return nodes + pools + 1; }
  std::size_t size() const { return nodes + pools + 2; }
};

// From 0 to under 1.
using Chance = std::function<double()>;

struct Passage {
  bool lost = false;  // Or, of a connection: held until the link is whole again.
  bool twice = false;
  bool stalled = false;  // Of a connection: nothing more passes, in the middle of whatever it is.
  Millis delay{0};
};

class Weather {
 public:
  // A throttled link holds as much as it can send in this time; the rest is lost.
  static constexpr Millis kThrottleHolds{2'000};

  explicit Weather(const Scenario& scenario);

  // By the fault's place in the scenario; those on processes change nothing here.
  void Switch(std::size_t fault, bool on) { links_[fault].on = on; }
  // A datagram of so many bytes, now. `now` never goes back.
  Passage Datagram(std::size_t from, std::size_t to, std::size_t bytes, Millis now, const Chance& chance);
  // Bytes of a connection: lost is held, and nothing comes twice or out of order.
  Passage Piece(std::size_t from, std::size_t to, std::size_t bytes, Millis now, const Chance& chance);
  // Whether this fault's links are those between the two, either way.
  bool Touches(std::size_t fault, std::size_t from, std::size_t to) const;
  const Parties& parties() const { return parties_; }

 private:
  struct Link {
    const Fault* fault = nullptr;
    std::vector<bool> from, to;
    bool on = false;
  };
  Passage Pass(std::size_t from, std::size_t to, std::size_t bytes, Millis now, const Chance& chance,
               bool datagram);

  Parties parties_;
  std::vector<Link> links_;
  std::map<std::tuple<std::size_t, std::size_t, std::size_t>, Millis> free_at_;
};

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_SCENARIO_WEATHER_H_
