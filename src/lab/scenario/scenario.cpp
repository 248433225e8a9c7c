#include "lab/scenario/scenario.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>

#include "schema/schema.h"

namespace hingelink::lab {
namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kDoNames[] = {
    "cut",  "delay", "loss", "duplicate", "reorder", "throttle", "reset",   "stall",  "kill", "freeze",
    "pace", "wall",  "slow", "forge",     "keys",    "upgrade",  "degrade", "errors", "hang"};
constexpr const char* kCheckNames[] = {
    "views-agree",      "nobody-gone",  "none-dropped", "gone-known", "back", "bytes",
    "false-suspicions", "cut-off-said", "served",       "even",       "whole"};

template <class Enum, std::size_t N>
Enum FromName(const char* const (&names)[N], const std::string& name) {
  return static_cast<Enum>(std::find(std::begin(names), std::end(names), name) - std::begin(names));
}

std::string Joined(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all += (all.empty() ? "" : "\n") + line;
  return all;
}

std::size_t Number(const std::string& text) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) throw std::invalid_argument(text);
  return value;
}

// What the schema cannot say.
void CheckSense(const Scenario& scenario, std::vector<std::string>& faults) {
  const auto bad = [&faults](const std::string& at, const std::string& what) {
    faults.push_back(at + ": " + what);
  };
  const auto check_who = [&](const Who& who, const std::string& at) {
    if (who.kind == Who::Kind::kRange && (who.first > who.last || who.last >= scenario.fleet.nodes)) {
      bad(at,
          "found \"" + who.text + "\"; wanted nodes from 0 to " + std::to_string(scenario.fleet.nodes - 1));
    }
    if (who.kind == Who::Kind::kServices && (who.first > who.last || who.last >= scenario.fleet.services)) {
      bad(at, "found \"" + who.text + "\"; wanted services below /fleet/services, " +
                  std::to_string(scenario.fleet.services));
    }
    const auto& zones = scenario.fleet.zones;
    if (who.kind == Who::Kind::kZone && std::find(zones.begin(), zones.end(), who.zone) == zones.end()) {
      bad(at, "found \"" + who.text + "\"; wanted a zone of /fleet/zones");
    }
  };
  for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
    const Fault& fault = scenario.faults[i];
    const std::string at = "/faults/" + std::to_string(i);
    check_who(fault.who, at + "/who");
    check_who(fault.to, at + "/to");
    if (fault.at > scenario.length) {
      bad(at + "/at_ms",
          "found " + std::to_string(std::lround(fault.at.count())) + "; wanted at most /length_ms");
    }
    const auto kind = fault.who.kind;
    if (!OnLinks(fault.do_) && (kind == Who::Kind::kRest || kind == Who::Kind::kGateways)) {
      bad(at + "/who",
          "found \"" + fault.who.text + "\"; a process fault wants nodes, pools or the registry");
    }
    const bool on_services = fault.do_ >= Do::kDegrade;
    if (!OnLinks(fault.do_) && on_services != (kind == Who::Kind::kServices)) {
      bad(at + "/who", std::string("found \"") + fault.who.text + "\"; \"" + NameOf(fault.do_) + "\" wants " +
                           (on_services ? "services" : "nodes"));
    }
    if (fault.do_ == Do::kDegrade && fault.share <= 1) {
      bad(at + "/share", "wanted above 1: how many times as long work takes");
    }
    if (fault.do_ == Do::kPace && (fault.share <= 0 || fault.share > 100)) {
      bad(at + "/share", "wanted above 0: how many times as fast the clock runs");
    }
    if ((fault.do_ == Do::kLoss || fault.do_ == Do::kDuplicate || fault.do_ == Do::kReorder) &&
        fault.share > 1) {
      bad(at + "/share", "wanted from 0 to 1: the share of the datagrams");
    }
    if (fault.do_ == Do::kThrottle && fault.bytes <= 0) bad(at + "/bytes", "missing; wanted bytes a second");
    if (fault.do_ == Do::kForge && fault.rate <= 0) bad(at + "/rate", "missing; wanted datagrams a second");
    if (fault.do_ == Do::kKeys && fault.keys.empty())
      bad(at + "/keys", "missing; wanted one name of a key, or two: the first signs, both are believed");
  }
  for (std::size_t i = 0; i < scenario.assertions.size(); ++i) {
    const Assertion& assertion = scenario.assertions[i];
    const std::string at = "/assert/" + std::to_string(i);
    if (assertion.who) check_who(*assertion.who, at + "/who");
    if (assertion.what == Check::kCutOffSaid && !assertion.who) bad(at, "\"cut-off-said\" wants a \"who\"");
  }
}

}  // namespace

const char* NameOf(Do what) { return kDoNames[static_cast<std::size_t>(what)]; }
const char* NameOf(Check what) { return kCheckNames[static_cast<std::size_t>(what)]; }

bool OnLinks(Do what) { return what < Do::kKill; }

ScenarioError::ScenarioError(const std::vector<std::string>& faults) : std::runtime_error(Joined(faults)) {}

Who ParseWho(const std::string& text) {
  Who who;
  who.text = text;
  try {
    const std::size_t colon = text.find(':');
    const std::string head = text.substr(0, colon),
                      tail = colon == std::string::npos ? "" : text.substr(colon + 1);
    if (text == "all") return who;
    if (text == "nodes") return who.kind = Who::Kind::kNodes, who;
    if (text == "rest") return who.kind = Who::Kind::kRest, who;
    if (text == "gateways") return who.kind = Who::Kind::kGateways, who;
    if (text == "pools") return who.kind = Who::Kind::kPools, who;
    if (text == "registry") return who.kind = Who::Kind::kRegistry, who;
    if (head == "node") {
      who.kind = Who::Kind::kRange;
      who.first = who.last = Number(tail);
      return who;
    }
    if (const std::size_t dash = tail.find('-'); head == "nodes" && dash != std::string::npos) {
      who.kind = Who::Kind::kRange;
      who.first = Number(tail.substr(0, dash));
      who.last = Number(tail.substr(dash + 1));
      return who;
    }
    if (head == "service" || head == "services") {
      const std::size_t dash = head == "service" ? std::string::npos : tail.find('-');
      who.kind = Who::Kind::kServices;
      who.first = Number(tail.substr(0, dash));
      who.last = dash == std::string::npos ? who.first : Number(tail.substr(dash + 1));
      return who;
    }
    if (head == "zone" && !tail.empty()) return who.kind = Who::Kind::kZone, who.zone = tail, who;
    if (head == "share") return who.kind = Who::Kind::kShare, who.share = std::stod(tail), who;
  } catch (const std::exception&) {
  }
  throw std::invalid_argument("found \"" + text +
                              "\"; wanted all, nodes, node:3, nodes:0-4, zone:a, share:0.2, service:3, "
                              "services:0-4, rest, gateways, pools or registry");
}

Millis Scenario::LastFault() const {
  Millis last{0};
  for (const Fault& fault : faults) {
    Millis end = fault.at + fault.lasts;
    if (!OnLinks(fault.do_)) {
      const auto targets = NodesOf(*this, fault.who);
      const auto count = static_cast<double>(std::count(targets.begin(), targets.end(), true));
      end += fault.stagger * std::max(0.0, count - 1);
    }
    if (fault.restart) end += *fault.restart;
    last = std::max(last, std::min(end, length));
  }
  return last;
}

std::vector<bool> NodesOf(const Scenario& scenario, const Who& who, const Who* other) {
  const std::size_t count = scenario.fleet.nodes;
  std::vector<bool> in(count, false);
  switch (who.kind) {
    case Who::Kind::kAll:
    case Who::Kind::kNodes:
      in.assign(count, true);
      break;
    case Who::Kind::kRange:
      for (std::size_t i = who.first; i <= who.last && i < count; ++i) in[i] = true;
      break;
    case Who::Kind::kZone:
      for (std::size_t i = 0; i < count; ++i)
        in[i] = scenario.fleet.zones[i % scenario.fleet.zones.size()] == who.zone;
      break;
    case Who::Kind::kShare: {
      std::vector<std::size_t> all(count);
      for (std::size_t i = 0; i < count; ++i) all[i] = i;
      pcg64 draw(scenario.seed, 77);
      for (std::size_t i = count; i > 1; --i) std::swap(all[i - 1], all[draw() % i]);
      const auto wanted = static_cast<std::size_t>(std::lround(who.share * static_cast<double>(count)));
      for (std::size_t i = 0; i < wanted && i < count; ++i) in[all[i]] = true;
      break;
    }
    case Who::Kind::kRest:
      if (other != nullptr) {
        in = NodesOf(scenario, *other);
        in.flip();
      }
      break;
    case Who::Kind::kGateways:
    case Who::Kind::kPools:
    case Who::Kind::kRegistry:
    case Who::Kind::kServices:
      break;
  }
  return in;
}

Json ParseLines(const std::string& text, const std::string& file) {
  try {
    return Json::parse(text, nullptr, true, true);
  } catch (const Json::parse_error& fault) {
    const std::size_t byte = std::min(fault.byte, text.size());
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(byte), '\n');
    throw ScenarioError({file + " line " + std::to_string(line) + ": no JSON (" + fault.what() + ")"});
  }
}

Scenario ParseScenario(const std::string& text, const std::string& file) {
  const Json json = ParseLines(text, file);
  static const schema::Schema form(schema::ScenarioSchema());
  std::vector<std::string> faults;
  for (const schema::ValidationError& fault : form.Check(nlohmann::json::parse(json.dump()))) {
    faults.push_back(file + ' ' + fault.Text());
  }
  if (!faults.empty()) throw ScenarioError(faults);
  Scenario scenario;
  scenario.name = json["name"];
  scenario.why = json["why"];
  scenario.seed = json.value("seed", scenario.seed);
  scenario.length = Millis(json["length_ms"].get<double>());
  const Json& fleet = json["fleet"];
  Fleet& f = scenario.fleet;
  f.nodes = fleet["nodes"];
  f.zones = fleet.value("zones", f.zones);
  f.gateways = fleet.value("gateways", f.gateways);
  f.cores = fleet.value("cores", f.cores);
  f.services = fleet.value("services", f.services);
  f.subset = fleet.value("subset", f.subset);
  f.way = fleet.value("way", f.way);
  f.delay = Millis(fleet.value("delay_ms", f.delay.count()));
  f.jitter = Millis(fleet.value("jitter_ms", f.jitter.count()));
  f.loss = fleet.value("loss", f.loss);
  f.start_within = Millis(fleet.value("start_within_ms", f.start_within.count()));
  f.seeds = fleet.value("seeds", f.seeds);
  for (const Json& step : json.value("load", Json::array())) {
    scenario.load.push_back({Millis(step["at_ms"].get<double>()), step["share"].get<double>()});
  }
  for (const Json& one : json.value("faults", Json::array())) {
    Fault fault;
    fault.at = Millis(one["at_ms"].get<double>());
    fault.lasts = Millis(one.value("for_ms", 0.0));
    fault.do_ = FromName<Do>(kDoNames, one["do"].get<std::string>());
    fault.who = ParseWho(one["who"].get<std::string>());
    fault.to = ParseWho(one.value("to", std::string("all")));
    fault.both = one.value("both", true);
    fault.ms = one.value("ms", 0.0);
    fault.jitter_ms = one.value("jitter_ms", 0.0);
    fault.share = one.value("share", fault.do_ == Do::kPace ? 1.0 : 0.0);
    fault.bytes = one.value("bytes", 0.0);
    fault.rate = one.value("rate", 0.0);
    fault.keys = one.value("keys", fault.keys);
    if (one.contains("restart_ms")) fault.restart = Millis(one["restart_ms"].get<double>());
    fault.disk_lost = one.value("disk", std::string("lost")) == "lost";
    fault.stagger = Millis(one.value("stagger_ms", 0.0));
    scenario.faults.push_back(std::move(fault));
  }
  for (const Json& one : json.value("assert", Json::array())) {
    Assertion assertion;
    assertion.what = FromName<Check>(kCheckNames, one["what"].get<std::string>());
    assertion.within = Millis(one.value("within_ms", assertion.within.count()));
    assertion.share = one.value("share", assertion.share);
    assertion.most = one.value("most", assertion.most);
    assertion.least = one.value("least", assertion.least);
    if (one.contains("who")) assertion.who = ParseWho(one["who"].get<std::string>());
    scenario.assertions.push_back(std::move(assertion));
  }
  CheckSense(scenario, faults);
  for (std::string& fault : faults) fault = file + ' ' + fault;
  if (!faults.empty()) throw ScenarioError(faults);
  return scenario;
}

Scenario ReadScenario(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ScenarioError({path + ": cannot be read; wanted a scenario, as in deploy/scenarios"});
  return ParseScenario(std::string(std::istreambuf_iterator<char>(file), {}), path);
}

std::string WriteScenario(const Scenario& scenario) {
  const Fleet& f = scenario.fleet;
  Json json = {{"name", scenario.name},
               {"why", scenario.why},
               {"seed", scenario.seed},
               {"length_ms", scenario.length.count()},
               {"fleet",
                {{"nodes", f.nodes},
                 {"zones", f.zones},
                 {"gateways", f.gateways},
                 {"cores", f.cores},
                 {"services", f.services},
                 {"subset", f.subset},
                 {"delay_ms", f.delay.count()},
                 {"jitter_ms", f.jitter.count()},
                 {"loss", f.loss},
                 {"start_within_ms", f.start_within.count()},
                 {"seeds", f.seeds}}}};
  if (!f.way.empty()) json["fleet"]["way"] = f.way;
  json["load"] = Json::array();
  for (const LoadStep& step : scenario.load)
    json["load"].push_back({{"at_ms", step.at.count()}, {"share", step.share}});
  json["faults"] = Json::array();
  for (const Fault& fault : scenario.faults) {
    Json one = {{"at_ms", fault.at.count()}, {"do", NameOf(fault.do_)}, {"who", fault.who.text}};
    if (fault.lasts.count() > 0) one["for_ms"] = fault.lasts.count();
    if (OnLinks(fault.do_)) {
      one["to"] = fault.to.text.empty() ? "all" : fault.to.text;
      one["both"] = fault.both;
    }
    if (fault.ms != 0) one["ms"] = fault.ms;
    if (fault.jitter_ms != 0) one["jitter_ms"] = fault.jitter_ms;
    if (fault.share != 0) one["share"] = fault.share;
    if (fault.bytes != 0) one["bytes"] = fault.bytes;
    if (fault.rate != 0) one["rate"] = fault.rate;
    if (!fault.keys.empty()) one["keys"] = fault.keys;
    if (fault.restart) one["restart_ms"] = fault.restart->count();
    if (!OnLinks(fault.do_)) one["disk"] = fault.disk_lost ? "lost" : "kept";
    if (fault.stagger.count() > 0) one["stagger_ms"] = fault.stagger.count();
    json["faults"].push_back(std::move(one));
  }
  json["assert"] = Json::array();
  for (const Assertion& a : scenario.assertions) {
    Json one = {{"what", NameOf(a.what)},
                {"within_ms", a.within.count()},
                {"share", a.share},
                {"most", a.most},
                {"least", a.least}};
    if (a.who) one["who"] = a.who->text;
    json["assert"].push_back(std::move(one));
  }
  return json.dump(2) + '\n';
}

Scenario RandomScenario(std::uint64_t seed, std::size_t nodes, Millis length) {
  constexpr Millis kQuietEnd{15'000}, kQuietStart{5'000};
  Scenario scenario;
  scenario.name = "random-" + std::to_string(seed);
  scenario.why = "faults drawn from the seed";
  scenario.seed = seed;
  scenario.length = length;
  scenario.fleet.nodes = nodes;
  scenario.fleet.zones = {"a", "b", "c"};
  pcg64 draw(seed, 78);
  const auto part = [&draw] { return static_cast<double>(draw() >> 11) * 0x1.0p-53; };
  const auto pick = [&](std::initializer_list<double> values) {
    return values.begin()[draw() % values.size()];
  };
  scenario.fleet.loss = pick({0, 0, 0.01, 0.05});
  scenario.fleet.delay = Millis(pick({0.2, 1, 5}));
  const auto who = [&]() -> Who {
    switch (draw() % 4) {
      case 0:
        return ParseWho("node:" + std::to_string(draw() % nodes));
      case 1:
        return ParseWho(std::string("zone:") + static_cast<char>('a' + draw() % 3));
      case 2:
        return ParseWho(draw() % 2 == 0 ? "share:0.2" : "share:0.6");
      default: {
        const std::size_t first = draw() % nodes;
        return ParseWho("nodes:" + std::to_string(first) + '-' +
                        std::to_string(std::min(nodes - 1, first + draw() % 3)));
      }
    }
  };
  const std::size_t faults = 1 + draw() % 6;
  const double room = std::max(0.0, (length - kQuietEnd - kQuietStart).count());
  for (std::size_t i = 0; i < faults; ++i) {
    Fault fault;
    static constexpr Do kKinds[] = {Do::kCut,       Do::kCut,     Do::kLoss, Do::kDelay,
                                    Do::kDuplicate, Do::kReorder, Do::kKill, Do::kFreeze,
                                    Do::kPace,      Do::kWall,    Do::kSlow, Do::kThrottle};
    fault.do_ = kKinds[draw() % std::size(kKinds)];
    fault.at = kQuietStart + Millis(room * part());
    fault.lasts = std::min(Millis(200 + 12'000 * part() * part()), kQuietStart + Millis(room) - fault.at);
    fault.who = who();
    fault.to = ParseWho(draw() % 2 == 0 ? "rest" : "all");
    fault.both = draw() % 2 == 0;
    switch (fault.do_) {
      case Do::kLoss:
      case Do::kDuplicate:
      case Do::kReorder:
        fault.share = part();
        fault.ms = 500 * part();
        break;
      case Do::kDelay:
        fault.ms = 2'000 * part() * part();
        fault.jitter_ms = fault.ms * part();
        break;
      case Do::kKill:
        // All come back, so that what must hold in the end can be said.
        fault.restart = std::min(fault.lasts, Millis(draw() % 2 == 0 ? 50 : 4'000));
        fault.lasts = Millis(0);
        break;
      case Do::kPace:
        fault.share = 0.5 + part();
        break;
      case Do::kWall:
        fault.ms = (part() - 0.5) * 2e6;
        break;
      case Do::kSlow:
        fault.ms = 300 * part();
        break;
      case Do::kThrottle:
        fault.bytes = 500 + 20'000 * part();
        break;
      default:
        break;
    }
    scenario.faults.push_back(std::move(fault));
  }
  // From a draw of its own: seeds that were told of before there were upgrades mean the same schedules still.
  pcg64 later(seed, 79);
  if (later() % 3 == 0) {
    Fault upgrade;
    upgrade.do_ = Do::kUpgrade;
    upgrade.at = kQuietStart + Millis(room * static_cast<double>(later() >> 11) * 0x1.0p-53);
    upgrade.who = ParseWho(later() % 2 == 0 ? "share:0.2" : "share:1");
    upgrade.stagger = Millis(static_cast<double>(later() % 300));
    scenario.faults.push_back(std::move(upgrade));
  }
  Assertion agree;
  agree.what = Check::kAgree;
  agree.within = Millis(12'000);
  scenario.assertions.push_back(agree);
  return scenario;
}

}  // namespace hingelink::lab
