// `hingelink fleet`: what a node that serves knows of the others.
#include <cstdio>
#include <memory>
#include <string>

#include "cli/commands.h"
#include "cli/state_folder.h"
#include "control/client.h"
#include "net/peers.h"

namespace hingelink::cli {
namespace {

struct FleetOptions {
  std::string state = DefaultStateFolder(), socket;
  bool json = false, gone = false;
};

nlohmann::json Ask(const FleetOptions& options, const std::string& op) {
  return control::Client(options.socket.empty() ? options.state + "/" + kNodeSocket : options.socket)
      .Call(op);
}

std::string Heard(const nlohmann::json& member) {
  const double ms = member.value("heard_ms", -1.0);
  if (ms < 0) return "-";
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", ms / 1000);
  return text;
}

int Members(const FleetOptions& options) {
  const nlohmann::json seen = Ask(options, "members");
  if (options.json) {
    std::printf("%s\n", seen.dump(2).c_str());
    return 0;
  }
  const auto& self = seen.at("self");
  std::printf("%s at %s, %s, life %llu.%u%s%s\n", self.at("name").get<std::string>().c_str(),
              self.at("address").get<std::string>().c_str(), self.at("phase").get<std::string>().c_str(),
              self.at("life").get<unsigned long long>(), self.at("incarnation").get<unsigned>(),
              seen.at("linked").get<bool>() ? "" : ", NO LINK",
              seen.at("cut_off").get<bool>() ? ", CUT OFF" : "");
  std::printf("%-24s %-21s %-8s %-8s %-10s %9s\n", "member", "address", "state", "phase", "zone", "heard");
  std::size_t left_out = 0;
  for (const auto& m : seen.at("members")) {
    const std::string belief = m.at("state");
    if (belief == "gone" && !options.gone) {
      ++left_out;
      continue;
    }
    std::printf("%-24s %-21s %-8s %-8s %-10s %9s%s\n", m.at("name").get<std::string>().c_str(),
                m.at("address").get<std::string>().c_str(), belief.c_str(),
                m.at("phase").get<std::string>().c_str(), m.at("zone").get<std::string>().c_str(),
                Heard(m).c_str(), m.at("held").get<bool>() ? "  held" : "");
  }
  if (left_out > 0) std::printf("and %zu that are gone (--gone shows them)\n", left_out);
  return 0;
}

}  // namespace

void AddFleet(CLI::App& app, int& status) {
  const auto options = std::make_shared<FleetOptions>();
  CLI::App* fleet = app.add_subcommand("fleet", "The other nodes, as a node that serves knows them");
  fleet->require_subcommand(1);
  CLI::App* members =
      fleet->add_subcommand("members", "Who is there, in what state, and when it was last heard");
  members->add_option("--state", options->state, "The appliance's state folder")
      ->envname("HINGELINK_STATE")
      ->capture_default_str();
  members->add_option("--socket", options->socket, "A node's control socket, instead of an appliance's");
  members->add_flag("--json", options->json, "As JSON");
  members->add_flag("--gone", options->gone, "Those that are gone, too");
  members->callback([options, &status] { status = Members(*options); });
  fleet->add_subcommand("key", "Print a key drawn now, a line of the file that peers.keys names")
      ->callback([] { std::fputs(net::NewPeerKey().c_str(), stdout); });
}

}  // namespace hingelink::cli
