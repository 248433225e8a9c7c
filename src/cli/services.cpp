// Services that a node shares with others: from their file to a group of pools.
#include <fstream>
#include <iterator>
#include <pcg_extras.hpp>
#include <pcg_random.hpp>
#include <random>
#include <set>

#include "cli/control_of_node.h"
#include "control/protocol.h"
#include "log/log.h"
#include "net/pool_group.h"
#include "schema/schema.h"

namespace hingelink::cli {
namespace {

using namespace std::chrono_literals;
using control::Json;
using decide::LoadBalancer;

// Between two looks at who else is here.
constexpr auto kNodesEach = 1s;

net::PoolGroupOptions ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw std::runtime_error(path + ": cannot be read; wanted a file by deploy/schema/services.json");
  const nlohmann::json json =
      nlohmann::json::parse(std::string(std::istreambuf_iterator<char>(file), {}), nullptr, false, true);
  if (json.is_discarded()) throw std::runtime_error(path + ": no JSON");
  static const schema::Schema form(schema::ServicesSchema());
  std::string faults;
  const auto bad = [&](const std::string& what) {
    faults += (faults.empty() ? "" : "\n") + path + ' ' + what;
  };
  for (const schema::ValidationError& fault : form.Check(json)) bad(fault.Text());
  if (!faults.empty()) throw std::runtime_error(faults);
  net::PoolGroupOptions options;
  options.zone = json.value("zone", "");
  options.load_balancing.subset_size = json.value("subset", options.load_balancing.subset_size);
  options.load_balancing.policy =
      *decide::ParsePolicy(json.value("way", decide::PolicyName(options.load_balancing.policy)));
  std::set<std::string> names, addresses;
  std::size_t place = 0;
  for (const auto& one : json["services"]) {
    const std::string at = "/services/" + std::to_string(place++);
    net::ServiceEndpoint service{one["name"], one.value("zone", ""), one.value("cores", 1.0),
                                 one.value("address", "")};
    if (!names.insert(service.name).second)
      bad(at + "/name: found \"" + service.name + "\" twice; wanted names of their own");
    if (!service.address.empty() && !addresses.insert(service.address).second)
      bad(at + "/address: found " + service.address + " twice; a pool has one link at each address");
    if (!service.address.empty()) net::ParseAddress(service.address);
    options.services.push_back(std::move(service));
  }
  if (addresses.empty() && faults.empty()) bad("/services: none has an address; wanted one to run on");
  if (!faults.empty()) throw std::runtime_error(faults);
  return options;
}

class SharedServices : public ServicesOfNode {
 public:
  explicit SharedServices(std::string path) : path_(std::move(path)), options_(ReadFile(path_)) {}

  node::Node::WorkerPoolFactory Maker() override {
    return [this](event_base* base, const std::string& name, net::PoolEvents events,
                  net::PoolGroupCallbacks callbacks) {
      net::PoolGroupOptions options = options_;
      options.self = name;
      auto draw = std::make_shared<pcg64>(pcg_extras::seed_seq_from<std::random_device>{});
      options.random = [draw] { return (*draw)(); };
      auto group =
          std::make_unique<net::PoolGroup>(base, std::move(options), std::move(events), std::move(callbacks));
      group_ = group.get();
      self_ = name;
      log::Info("services", {{"told", options_.services.size()},
                             {"in_use", group_->load_balancer().active_endpoints().size()},
                             {"way", decide::PolicyName(options_.load_balancing.policy)}});
      return group;
    };
  }
  std::unique_ptr<node::NodeExtension> Join(node::Node& node, const FleetOfNode* fleet) override;
  std::string Spread() const override;
  void SeeNodes(const FleetOfNode& fleet) {
    std::vector<decide::SubsetNode> nodes;
    for (auto& [name, zone] : fleet.Here()) nodes.push_back({name, zone});
    group_->SetNodes(std::move(nodes));
  }
  void Reload() {
    try {
      net::PoolGroupOptions fresh = ReadFile(path_);
      log::Info("services-reload", {{"told", fresh.services.size()}});
      group_->SetServices(std::move(fresh.services));
    } catch (const std::exception& fault) {
      // What held before holds on.
      log::Warn("services-reload-failed", {{"what", fault.what()}});
    }
  }

 private:
  std::string path_, self_;
  net::PoolGroupOptions options_;
  net::PoolGroup* group_ = nullptr;  // The node's.
};

class Sharing : public node::NodeExtension {
 public:
  Sharing(node::Node& node, SharedServices& services, const FleetOfNode* fleet)
      : node_(node), services_(services), fleet_(fleet) {
    node_.AddExtension(*this);
  }
  ~Sharing() override { node_.RemoveExtension(*this); }
  void OnLifecyclePhase(LifecyclePhase phase) override {
    if (phase == LifecyclePhase::kReloaded) services_.Reload();
  }
  void OnRoundCompleted() override {
    const auto now = net::Steady::now();
    if (fleet_ == nullptr || now - seen_ < kNodesEach) return;
    seen_ = now;
    services_.SeeNodes(*fleet_);
  }

 private:
  node::Node& node_;
  SharedServices& services_;
  const FleetOfNode* fleet_;
  net::Steady::time_point seen_{};
};

std::unique_ptr<node::NodeExtension> SharedServices::Join(node::Node& node, const FleetOfNode* fleet) {
  return std::make_unique<Sharing>(node, *this, fleet);
}

std::string SharedServices::Spread() const {
  const decide::LoadBalancer& spread = group_->load_balancer();
  const decide::Milliseconds now = group_->Now();
  Json json = {{"self", self_},
               {"way", decide::PolicyName(options_.load_balancing.policy)},
               {"nodes", spread.node_count()},
               {"in_use", spread.active_endpoints().size()},
               {"links", group_->link_count()},
               {"in_hand", group_->in_flight()}};
  json["services"] = Json::array();
  for (const decide::EndpointId id : spread.endpoints()) {
    const decide::EndpointSnapshot look = spread.Snapshot(now, id);
    Json one = {{"name", look.name},
                {"zone", look.zone},
                {"cores", look.capacity},
                {"state", decide::EndpointStateName(look.state)},
                {"fault", decide::EjectionCauseName(look.ejection_cause)},
                {"in_use", look.is_active},
                {"extra", look.is_expansion},
                {"sharers", look.sharing_nodes},
                {"own", look.local_in_flight},
                {"starts", look.requests},
                {"errors", look.errors},
                {"never_ran", look.not_executed},
                {"asides", look.ejections},
                {"believed", look.estimated_load},
                {"slowness", look.latency_ratio},
                {"run_ms", look.mean_latency_ms}};
    if (look.reported_load >= 0) {
      one["told"] = look.reported_load;
      one["told_ago_ms"] = look.report_age.count();
    }
    if (look.last_request_age.count() >= 0) one["tried_ago_ms"] = look.last_request_age.count();
    if (look.state == decide::EndpointState::kEjected) one["aside_for_ms"] = look.ejection_time_left.count();
    json["services"].push_back(std::move(one));
  }
  json["recent"] = Json::array();
  for (const decide::ChoiceRecord& decision : spread.recent_choices()) {
    Json one = {{"ago_ms", (now - decision.at).count()},
                {"to", spread.Snapshot(now, decision.endpoint).name},
                {"why", decide::ChoiceReasonName(decision.reason)},
                {"cost", decision.cost}};
    if (decision.alternative != decide::kNoEndpoint) {
      one["beside"] = spread.Snapshot(now, decision.alternative).name;
      one["beside_cost"] = decision.alternative_cost;
    }
    json["recent"].push_back(std::move(one));
  }
  const decide::LoadBalancerCounters& c = spread.counters();
  json["counts"] = {{"starts", c.requests},
                    {"repeats", c.retries},
                    {"repeats_refused", c.retries_denied},
                    {"untried", c.unprobed_choices},
                    {"trials", c.half_open_probes},
                    {"asides", c.ejections},
                    {"returns", c.recoveries},
                    {"widened", c.expansions},
                    {"narrowed", c.contractions},
                    {"asked", c.polls},
                    {"all_aside", c.all_ejected_choices},
                    {"none_up", c.no_endpoint}};
  return json.dump();
}

}  // namespace

std::unique_ptr<ServicesOfNode> ReadServices(const std::string& path) {
  return std::make_unique<SharedServices>(path);
}

}  // namespace hingelink::cli
