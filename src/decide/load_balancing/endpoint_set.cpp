#include "decide/load_balancing/endpoint_set.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hingelink::decide {
namespace {

// Returns a function that returns the subset of the node `self` according to AssignSubsets().
SubsetFunction SubsetOf(const std::string& self) {
  return [self](const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& endpoints,
                std::size_t size) {
    const auto subsets = AssignSubsets(nodes, endpoints, size);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].name == self) return subsets[i];
    }
    return std::vector<std::uint32_t>();
  };
}

}  // namespace

EndpointSet::EndpointSet(SubsetNode self, std::size_t subset_size, SubsetFunction subset,
                         const SlowStart& slow_start)
    : self_(std::move(self)),
      subset_size_(subset_size),
      subset_(subset ? std::move(subset) : SubsetOf(self_.name)),
      slow_start_(slow_start),
      nodes_{self_} {}

EndpointId EndpointSet::Find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? kNoEndpoint : found->second;
}

std::vector<EndpointId> EndpointSet::listed() const {
  std::vector<EndpointId> ids;
  for (const auto& [name, id] : by_name_) {
    if (endpoints_[id].is_listed) ids.push_back(id);
  }
  return ids;
}

EndpointId EndpointSet::FindOrAdd(const std::string& name) {
  const auto [entry, is_new] = by_name_.try_emplace(name, static_cast<EndpointId>(endpoints_.size()));
  if (!is_new) return entry->second;
  const auto unused = std::find_if(endpoints_.begin(), endpoints_.end(), [](const Endpoint& endpoint) {
    return endpoint.record.name.empty() && endpoint.in_flight == 0;
  });
  entry->second = static_cast<EndpointId>(unused - endpoints_.begin());
  if (unused == endpoints_.end()) endpoints_.emplace_back();
  endpoints_[entry->second] = Endpoint();
  endpoints_[entry->second].state = EndpointState::kDisconnected;
  return entry->second;
}

void EndpointSet::RemoveUnlisted() {
  for (Endpoint& endpoint : endpoints_) {
    if (endpoint.is_listed || endpoint.record.name.empty()) continue;
    endpoint.is_active = endpoint.is_expansion = false;
    // The endpoint keeps its id while requests are in flight, in case it is listed again.
    if (endpoint.in_flight > 0) continue;
    by_name_.erase(endpoint.record.name);
    endpoint.record.name.clear();
  }
}

void EndpointSet::SetEndpoints(Milliseconds now, const std::vector<SubsetEndpoint>& listed) {
  for (Endpoint& endpoint : endpoints_) endpoint.is_listed = false;
  for (const SubsetEndpoint& record : listed) {
    Endpoint& endpoint = endpoints_[FindOrAdd(record.name)];
    endpoint.record = record;
    endpoint.is_listed = true;
  }
  RemoveUnlisted();
  UpdateSubset(now);
}

void EndpointSet::SetNodes(Milliseconds now, std::vector<SubsetNode> nodes) {
  const bool has_self = std::any_of(nodes.begin(), nodes.end(),
                                    [this](const SubsetNode& node) { return node.name == self_.name; });
  if (!has_self) nodes.push_back(self_);
  std::sort(nodes.begin(), nodes.end(),
            [](const SubsetNode& left, const SubsetNode& right) { return left.name < right.name; });
  if (nodes == nodes_) return;
  nodes_ = std::move(nodes);
  UpdateSubset(now);
}

void EndpointSet::UpdateSubset(Milliseconds now) {
  const std::vector<EndpointId> ids = listed();
  std::vector<SubsetEndpoint> records;
  records.reserve(ids.size());
  for (const EndpointId id : ids) records.push_back(endpoints_[id].record);
  const std::vector<std::size_t> slots = SlotsPerEndpoint(nodes_.size(), records, subset_size_);
  std::vector<bool> is_in_subset(ids.size(), false);
  for (const std::uint32_t index : subset_(nodes_, records, subset_size_)) is_in_subset[index] = true;
  active_.clear();
  standbys_.clear();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    Endpoint& endpoint = endpoints_[ids[i]];
    endpoint.sharing_nodes = std::max<std::size_t>(1, slots[i]);
    if (is_in_subset[i]) {
      endpoint.is_expansion = false;
      Activate(now, ids[i], false);
    } else if (endpoint.is_expansion) {
      active_.push_back(ids[i]);
    } else {
      endpoint.is_active = false;
      standbys_.push_back(ids[i]);
    }
  }
  SortStandbys();
}

void EndpointSet::SortStandbys() {
  std::sort(standbys_.begin(), standbys_.end(), [this](EndpointId left_id, EndpointId right_id) {
    const SubsetEndpoint& left = endpoints_[left_id].record;
    const SubsetEndpoint& right = endpoints_[right_id].record;
    const bool is_left_in_zone = left.zone == self_.zone;
    const bool is_right_in_zone = right.zone == self_.zone;
    if (is_left_in_zone != is_right_in_zone) return is_left_in_zone;
    return RendezvousHash(self_.name, left.name) > RendezvousHash(self_.name, right.name);
  });
}

void EndpointSet::Activate(Milliseconds now, EndpointId id, bool is_expansion) {
  Endpoint& endpoint = endpoints_[id];
  active_.push_back(id);
  OnLoadChanged();
  if (std::exchange(endpoint.is_active, true)) return;
  endpoint.is_expansion = is_expansion;
  endpoint.last_request_at = endpoint.last_response_at = now;
  // Slow start, because all nodes whose subsets changed activate the endpoint at about the same time.
  if (endpoint.is_connected) BeginRecovery(now, endpoint);
}

void EndpointSet::BeginRecovery(Milliseconds now, Endpoint& endpoint) {
  slow_start_.Begin(now, endpoint);
  OnLoadChanged();
}

void EndpointSet::SetConnected(Milliseconds now, EndpointId id, bool is_connected) {
  Endpoint& endpoint = endpoints_.at(id);
  if (endpoint.is_connected == is_connected) return;
  endpoint.is_connected = is_connected;
  if (is_connected) {
    BeginRecovery(now, endpoint);
  } else {
    endpoint.state = EndpointState::kDisconnected;
  }
}

bool EndpointSet::Expand(Milliseconds now) {
  const auto next = std::find_if(standbys_.begin(), standbys_.end(),
                                 [this](EndpointId id) { return endpoints_[id].is_connected; });
  if (next == standbys_.end()) return false;
  const EndpointId id = *next;
  standbys_.erase(next);
  Activate(now, id, true);
  return true;
}

bool EndpointSet::Contract() {
  const auto latest = std::find_if(active_.rbegin(), active_.rend(), [this](EndpointId id) {
    return endpoints_[id].is_expansion && endpoints_[id].in_flight == 0;
  });
  if (latest == active_.rend()) return false;
  const EndpointId id = *latest;
  endpoints_[id].is_expansion = endpoints_[id].is_active = false;
  standbys_.insert(standbys_.begin(), id);
  active_.erase(std::next(latest).base());
  OnLoadChanged();
  return true;
}

}  // namespace hingelink::decide
