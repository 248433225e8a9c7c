#include "cli/lab_rig.h"

#include "cli/sample_config.h"
#include "control/client.h"
#include "decide/load_balancing/subsetting.h"
#include "net/gossip_transport.h"

namespace hingelink::cli {

lab::RigOptions ProgramsRig(const std::string& program, const std::string& folder) {
  lab::RigOptions rig;
  rig.program = program;
  rig.folder = folder;
  rig.new_key = net::GenerateGossipKey;
  rig.services_of = [](const lab::Scenario& scenario, std::size_t size) {
    const lab::Fleet& fleet = scenario.fleet;
    std::vector<decide::SubsetNode> nodes;
    std::vector<decide::SubsetEndpoint> services;
    for (std::size_t i = 0; i < fleet.nodes; ++i)
      nodes.push_back({"n" + std::to_string(i), fleet.zones[i % fleet.zones.size()]});
    for (std::size_t s = 0; s < fleet.services; ++s)
      services.push_back(
          {"s" + std::to_string(s), fleet.zones[s % fleet.zones.size()], static_cast<double>(fleet.cores)});
    return decide::AssignSubsets(nodes, services, size);
  };
  rig.classes = SampleLoad();
  rig.capacity = SampleCapacity;
  rig.node_config = [](int cores, std::size_t gateways) {
    Sample sample;
    sample.cores = cores;
    sample.gateways = static_cast<int>(gateways);
    return SampleConfig(sample);
  };
  rig.look = [](const std::string& socket) -> std::optional<lab::NodeView> {
    try {
      const nlohmann::json seen =
          control::Client(socket).Call("members", {{"brief", true}}, std::chrono::seconds(2));
      lab::NodeView view;
      view.life = seen.at("self").at("life");
      view.cut_off = seen.at("cut_off");
      for (const auto& m : seen.at("members")) {
        view.others[m.at("name")] = {m.at("life"), m.at("state") == "gone", m.at("state") == "suspect"};
      }
      return view;
    } catch (const control::RequestError& fault) {
      // It answers, and was started without peers. Guards against a question that is refused for its form, as
      // a fleet in which nobody is ever gone.
      if (fault.code() != "no-fleet") throw;
      return lab::NodeView{};
    } catch (const std::exception&) {
      return std::nullopt;
    }
  };
  return rig;
}

}  // namespace hingelink::cli
