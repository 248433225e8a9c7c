#include "cli/lab_rig.h"

#include "cli/sample_config.h"
#include "control/client.h"
#include "net/peers.h"

namespace hingelink::cli {

lab::RigOptions ProgramsRig(const std::string& program, const std::string& folder) {
  lab::RigOptions rig;
  rig.program = program;
  rig.folder = folder;
  rig.new_key = net::NewPeerKey;
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
          control::Client(socket).Call("members", nlohmann::json::object(), std::chrono::seconds(2));
      lab::NodeView view;
      view.life = seen.at("self").at("life");
      view.cut_off = seen.at("cut_off");
      for (const auto& m : seen.at("members")) {
        view.others[m.at("name")] = {m.at("life"), m.at("state") == "gone", m.at("state") == "suspect"};
      }
      return view;
    } catch (const control::Fault&) {
      // It answers, and was started without peers.
      return lab::NodeView{};
    } catch (const std::exception&) {
      return std::nullopt;
    }
  };
  return rig;
}

}  // namespace hingelink::cli
