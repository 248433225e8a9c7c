// The endpoints of a pool, and which of them are active, that is, used by this node.
//
// The active endpoints are the node's subset (subsetting.h), and expansions beyond the subset while the
// active endpoints are overloaded. The other endpoints are standbys, in the order in which they would be
// activated.
#ifndef HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SET_H_
#define HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decide/load_balancing/choice.h"
#include "decide/load_balancing/endpoint.h"
#include "decide/load_balancing/slow_start.h"
#include "decide/load_balancing/subsetting.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

// Returns the subset of one node, as indexes into `endpoints`.
using SubsetFunction = std::function<std::vector<std::uint32_t>(
    const std::vector<SubsetNode>& nodes, const std::vector<SubsetEndpoint>& endpoints, std::size_t size)>;

// Not thread-safe. All references must outlive the object.
class EndpointSet {
 public:
  // `self`: this node. `subset`: computes the subset of this node; if it is empty, AssignSubsets() is used.
  EndpointSet(SubsetNode self, std::size_t subset_size, SubsetFunction subset, const SlowStart& slow_start);

  // Replaces the list of endpoints. New endpoints start disconnected. An endpoint that is no longer listed is
  // removed by this call or a later one, once no request of this node is in flight there.
  void SetEndpoints(Milliseconds now, const std::vector<SubsetEndpoint>& listed);
  // Replaces the list of nodes that share the endpoints. This node is added if it is missing.
  void SetNodes(Milliseconds now, std::vector<SubsetNode> nodes);
  void SetConnected(Milliseconds now, EndpointId id, bool is_connected);
  // Begins the slow start of an endpoint and discards its load report.
  void BeginRecovery(Milliseconds now, Endpoint& endpoint);

  // Activates the first connected standby. Returns false if there is none.
  bool Expand(Milliseconds now);
  // Deactivates the most recent expansion without requests in flight. Returns false if there is none.
  bool Contract();

  // Returns kNoEndpoint if no endpoint has this name.
  [[nodiscard]] EndpointId Find(const std::string& name) const;
  [[nodiscard]] const Endpoint& at(EndpointId id) const { return endpoints_.at(id); }
  [[nodiscard]] Endpoint& at(EndpointId id) { return endpoints_.at(id); }
  // All listed endpoints, sorted by name.
  [[nodiscard]] std::vector<EndpointId> listed() const;
  [[nodiscard]] const std::vector<EndpointId>& active() const { return active_; }
  [[nodiscard]] const std::vector<EndpointId>& standbys() const { return standbys_; }
  [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }

  // Changes whenever cached sums of the load of the active endpoints have to be recomputed.
  [[nodiscard]] std::uint64_t load_revision() const { return load_revision_; }
  void OnLoadChanged() { ++load_revision_; }

 private:
  // Returns the id of the endpoint of this name, and adds a disconnected endpoint if there is none.
  EndpointId FindOrAdd(const std::string& name);
  // Deactivates the endpoints that are not listed, and removes those without requests in flight.
  void RemoveUnlisted();
  // Recomputes the subset, the active endpoints and the standbys.
  void UpdateSubset(Milliseconds now);
  // Orders the standbys: those in the zone of this node first, then by descending rendezvous hash.
  void SortStandbys();
  void Activate(Milliseconds now, EndpointId id, bool is_expansion);

  SubsetNode self_;
  std::size_t subset_size_;
  SubsetFunction subset_;
  const SlowStart& slow_start_;
  std::vector<Endpoint> endpoints_;  // Indexed by id. An unused entry has an empty name.
  std::map<std::string, EndpointId> by_name_;
  std::vector<SubsetNode> nodes_;  // Sorted by name.
  std::vector<EndpointId> active_;
  std::vector<EndpointId> standbys_;
  std::uint64_t load_revision_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_LOAD_BALANCING_ENDPOINT_SET_H_
