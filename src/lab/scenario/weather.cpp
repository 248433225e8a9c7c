#include "lab/scenario/weather.h"

#include <algorithm>

namespace hingelink::lab {
namespace {

std::vector<bool> PartiesOf(const Scenario& scenario, const Parties& parties, const Who& who,
                            const Who& other) {
  std::vector<bool> in(parties.size(), false);
  switch (who.kind) {
    case Who::Kind::kAll:
      in.assign(parties.size(), true);
      break;
    case Who::Kind::kGateways:
      in[parties.Gateways()] = true;
      break;
    case Who::Kind::kRegistry:
      in[parties.Registry()] = true;
      break;
    case Who::Kind::kPools:
      for (std::size_t i = 0; i < parties.pools; ++i) in[parties.Pool(i)] = true;
      break;
    case Who::Kind::kServices:
      for (std::size_t i = who.first; i <= who.last && i < parties.pools; ++i) in[parties.Pool(i)] = true;
      break;
    default: {
      const std::vector<bool> nodes = NodesOf(scenario, who, &other);
      std::copy(nodes.begin(), nodes.end(), in.begin());
      break;
    }
  }
  return in;
}

}  // namespace

Weather::Weather(const Scenario& scenario)
    : parties_{scenario.fleet.nodes,
               scenario.fleet.services > 0 ? scenario.fleet.services : scenario.fleet.nodes} {
  for (const Fault& fault : scenario.faults) {
    Link link;
    link.fault = &fault;
    if (OnLinks(fault.do_)) {
      link.from = PartiesOf(scenario, parties_, fault.who, fault.to);
      link.to = PartiesOf(scenario, parties_, fault.to, fault.who);
    }
    links_.push_back(std::move(link));
  }
}

bool Weather::Touches(std::size_t fault, std::size_t from, std::size_t to) const {
  const Link& link = links_[fault];
  return !link.from.empty() && ((link.from[from] && link.to[to]) || (link.from[to] && link.to[from]));
}

Passage Weather::Datagram(std::size_t from, std::size_t to, std::size_t bytes, Millis now,
                          const Chance& chance) {
  return Pass(from, to, bytes, now, chance, true);
}

Passage Weather::Piece(std::size_t from, std::size_t to, std::size_t bytes, Millis now,
                       const Chance& chance) {
  return Pass(from, to, bytes, now, chance, false);
}

Passage Weather::Pass(std::size_t from, std::size_t to, std::size_t bytes, Millis now, const Chance& chance,
                      bool datagram) {
  Passage passage;
  for (std::size_t f = 0; f < links_.size(); ++f) {
    const Link& link = links_[f];
    if (!link.on || link.from.empty()) continue;
    const Fault& fault = *link.fault;
    const bool forth = link.from[from] && link.to[to];
    const bool back = fault.both && link.to[from] && link.from[to];
    if (!forth && !back) continue;
    switch (fault.do_) {
      case Do::kCut:
        passage.lost = true;
        break;
      case Do::kDelay:
        passage.delay += Millis(fault.ms + fault.jitter_ms * chance());
        break;
      case Do::kLoss:
        if (datagram) passage.lost = chance() < fault.share || passage.lost;
        break;
      case Do::kDuplicate:
        if (datagram) passage.twice = chance() < fault.share || passage.twice;
        break;
      case Do::kReorder:
        if (datagram && chance() < fault.share) passage.delay += Millis(fault.ms * chance());
        break;
      case Do::kThrottle: {
        Millis& free = free_at_[{f, from, to}];
        const Millis takes(static_cast<double>(bytes) / fault.bytes * 1000);
        if (datagram && std::max(free, now) + takes - now > kThrottleHolds) {
          passage.lost = true;
        } else {
          free = std::max(free, now) + takes;
          passage.delay += free - now;
        }
        break;
      }
      case Do::kStall:
        passage.stalled = passage.stalled || !datagram;
        break;
      default:
        break;
    }
  }
  return passage;
}

}  // namespace hingelink::lab
