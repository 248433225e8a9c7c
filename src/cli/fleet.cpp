// `hingelink fleet`: what a node that serves knows of the others.
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>

#include "cli/commands.h"
#include "cli/state_folder.h"
#include "control/client.h"
#include "net/gossip_transport.h"

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

void PrintSpread(const nlohmann::json& seen) {
  std::printf("%s chooses by %s; %zu nodes share %zu services, in use %zu\n",
              seen.at("self").get<std::string>().c_str(), seen.at("way").get<std::string>().c_str(),
              seen.at("nodes").get<std::size_t>(), seen.at("services").size(),
              seen.at("in_use").get<std::size_t>());
  std::printf("%-20s %-8s %-8s %5s %6s %7s %9s %8s %8s %8s\n", "service", "state", "fault", "own", "starts",
              "told", "told ago", "counted", "slower", "run ms");
  for (const auto& s : seen.at("services")) {
    if (!s.at("in_use").get<bool>()) continue;
    const bool told = s.contains("told");
    std::printf("%-20s %-8s %-8s %5zu %6zu %7s %9s %8.1f %7.2fx %8.1f%s\n",
                s.at("name").get<std::string>().c_str(), s.at("state").get<std::string>().c_str(),
                s.at("fault").get<std::string>().c_str(), s.at("own").get<std::size_t>(),
                s.at("starts").get<std::size_t>(),
                told ? std::to_string(std::lround(s["told"].get<double>())).c_str() : "-",
                told ? (std::to_string(std::lround(s["told_ago_ms"].get<double>())) + " ms").c_str() : "-",
                s.at("believed").get<double>(), s.at("slowness").get<double>(), s.at("run_ms").get<double>(),
                s.at("extra").get<bool>() ? "  extra" : "");
  }
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

int Spread(const FleetOptions& options) {
  const nlohmann::json seen = Ask(options, "spread");
  if (options.json) {
    std::printf("%s\n", seen.dump(2).c_str());
    return 0;
  }
  PrintSpread(seen);
  return 0;
}

// A record of `fleet spread --json`: why each of its last choices fell.
int Explain(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error(path + ": cannot be read; wanted what 'hingelink fleet spread --json' printed");
  const nlohmann::json seen = nlohmann::json::parse(file, nullptr, false);
  if (!seen.is_object() || !seen.contains("recent"))
    throw std::runtime_error(path + ": wanted what 'hingelink fleet spread --json' printed");
  PrintSpread(seen);
  std::printf("\n%10s  %-20s %-10s %8s  %-20s %8s\n", "ago", "to", "why", "cost", "beside", "cost");
  std::map<std::string, std::size_t> by_why;
  for (const auto& one : seen.at("recent")) {
    ++by_why[one.at("why").get<std::string>()];
    std::printf("%7.0f ms  %-20s %-10s %8.2f  %-20s %8s\n", one.at("ago_ms").get<double>(),
                one.at("to").get<std::string>().c_str(), one.at("why").get<std::string>().c_str(),
                one.at("cost").get<double>(), one.value("beside", "-").c_str(),
                one.contains("beside_cost")
                    ? std::to_string(one["beside_cost"].get<double>()).substr(0, 6).c_str()
                    : "-");
  }
  for (const auto& [why, count] : by_why) std::printf("%s: %zu\n", why.c_str(), count);
  return 0;
}

void AddWhere(CLI::App& command, FleetOptions& options) {
  command.add_option("--state", options.state, "The appliance's state folder")
      ->envname("HINGELINK_STATE")
      ->capture_default_str();
  command.add_option("--socket", options.socket, "A node's control socket, instead of an appliance's");
}

}  // namespace

void AddFleet(CLI::App& app, int& status) {
  const auto options = std::make_shared<FleetOptions>();
  CLI::App* fleet = app.add_subcommand("fleet", "The other nodes, as a node that serves knows them");
  fleet->require_subcommand(1);
  CLI::App* members =
      fleet->add_subcommand("members", "Who is there, in what state, and when it was last heard");
  AddWhere(*members, *options);
  members->add_flag("--json", options->json, "As JSON");
  members->add_flag("--gone", options->gone, "Those that are gone, too");
  members->callback([options, &status] { status = Members(*options); });
  CLI::App* spread =
      fleet->add_subcommand("spread", "The services that a node shares with others, as it sees them");
  AddWhere(*spread, *options);
  spread->add_flag("--json", options->json, "As JSON; 'hingelink spread explain' reads it");
  spread->callback([options, &status] { status = Spread(*options); });
  CLI::App* about = app.add_subcommand("spread", "Records of how runs were spread over services");
  about->require_subcommand(1);
  const auto path = std::make_shared<std::string>();
  CLI::App* explain = about->add_subcommand("explain", "Why each of the last choices of a record fell");
  explain->add_option("file", *path, "What 'hingelink fleet spread --json' printed")->required();
  explain->callback([path, &status] { status = Explain(*path); });
  fleet->add_subcommand("key", "Print a key drawn now, a line of the file that peers.keys names")
      ->callback([] { std::fputs(net::GenerateGossipKey().c_str(), stdout); });
}

}  // namespace hingelink::cli
