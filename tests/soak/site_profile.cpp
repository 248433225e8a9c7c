#include "site_profile.h"

#include <stdexcept>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "cli/sample_config.h"

namespace hingelink::soak {
namespace {

using standin::Millis;

std::chrono::milliseconds ToMilliseconds(double ms) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(ms));
}

// The value of a key that holds a number or a range [low, high].
double DrawValue(const toml::node_view<toml::node>& node, Draw& draw, const char* key) {
  if (const toml::array* range = node.as_array(); range != nullptr && range->size() == 2) {
    const auto low = (*range)[0].value<double>();
    const auto high = (*range)[1].value<double>();
    if (low && high) return draw.Between(*low, *high);
  }
  if (const auto value = node.value<double>()) return *value;
  throw std::runtime_error(std::string("site file: ") + key + " is no number and no range of two");
}

struct DrawnClass {
  standin::ClassLoad load;
  nlohmann::ordered_json settings;
};

DrawnClass DrawClass(toml::node& node, Draw& draw, bool has_store) {
  toml::node_view<toml::node> entry(node);
  const auto value = [&](const char* key) { return DrawValue(entry[key], draw, key); };
  const std::string effect = entry["effect"].value_or(std::string("safe"));
  DrawnClass drawn;
  drawn.load.name = entry["name"].value_or(std::string());
  drawn.load.share = value("share");
  drawn.load.work = Millis(value("work_ms"));
  drawn.load.spread = value("cv");
  drawn.load.timeout = Millis(value("deadline_ms"));
  drawn.load.repeats = effect != "unsafe";
  drawn.load.keyed = effect == "keyed";
  drawn.load.calls = has_store && effect != "unsafe" ? 1 : 0;
  drawn.settings = {{"name", drawn.load.name},
                    {"goalTimeMs", value("aim_ms")},
                    {"hardLimitMs", drawn.load.timeout.count()},
                    {"repeat", effect},
                    {"worth", value("worth")},
                    {"lateShare", value("late_worth") / value("worth")}};
  if (drawn.load.keyed) drawn.settings["windowMs"] = value("window_ms");
  return drawn;
}

void DrawTenants(toml::table& site, SiteProfile& profile) {
  const toml::array* tenants = site["tenant"].as_array();
  profile.settings["tenants"] = nlohmann::ordered_json::array();
  if (tenants == nullptr) return;
  constexpr double kQuotaRps = 500;
  for (const toml::node& node : *tenants) {
    const toml::table& tenant = *node.as_table();
    const std::string name = tenant["name"].value_or(std::string());
    const double share = tenant["share"].value_or(1.0);
    profile.tenants.push_back({name, share});
    profile.settings["tenants"].push_back({{"name", name}, {"portion", share}, {"quotaRps", kQuotaRps}});
  }
}

}  // namespace

double SiteProfile::Capacity(int nodes) const {
  double shares = 0;
  double work_ms = 0;
  for (const standin::ClassLoad& load : classes) {
    shares += load.share;
    work_ms += load.share * load.work.count();
  }
  constexpr double kMsPerSecond = 1000;
  return nodes * cores.count * kMsPerSecond * shares / work_ms;
}

SiteProfile SampleProfile() {
  const nlohmann::ordered_json config = cli::SampleConfig({});
  SiteProfile profile;
  profile.name = "sample";
  profile.classes = cli::SampleLoad();
  const auto& settings = config["settings"];
  for (const char* key : {"requestClasses", "tenants"}) profile.settings[key] = settings[key];
  profile.cores.count = settings["specifics"]["cpus"].get<double>();
  profile.stop_time = ToMilliseconds(config["stop_ms"].get<double>());
  profile.drain_grace = ToMilliseconds(settings["rules"]["drainGraceMs"].get<double>());
  profile.answer_slack = ToMilliseconds(settings["rules"]["answerSlackMs"].get<double>());
  return profile;
}

SiteProfile DrawSiteProfile(const std::string& path, Draw& draw) {
  toml::table site;
  try {
    site = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    throw std::runtime_error(path + ": " + std::string(error.description()));
  }
  SiteProfile profile;
  profile.name = site["name"].value_or(std::string("site"));
  const bool has_store = site["fam"]["shared"].value_or(false);
  profile.settings["requestClasses"] = nlohmann::ordered_json::array();
  toml::array* classes = site["class"].as_array();
  if (classes == nullptr) throw std::runtime_error(path + ": no classes");
  for (toml::node& node : *classes) {
    DrawnClass drawn = DrawClass(node, draw, has_store);
    profile.classes.push_back(std::move(drawn.load));
    profile.settings["requestClasses"].push_back(std::move(drawn.settings));
  }
  DrawTenants(site, profile);
  toml::array& kinds = *site["tier"][0]["kind"].as_array();
  toml::node_view<toml::node> kind(
      kinds[static_cast<std::size_t>(draw.Int(0, static_cast<int>(kinds.size()) - 1))]);
  profile.cores.count = DrawValue(kind["cores"], draw, "cores");
  constexpr double kMsPerSecond = 1000;
  profile.stop_time = ToMilliseconds(kMsPerSecond * DrawValue(site["front"]["notice_s"], draw, "notice_s"));
  profile.drain_grace = ToMilliseconds(DrawValue(site["rules"]["drain_grace_ms"], draw, "drain_grace_ms"));
  profile.answer_slack = ToMilliseconds(DrawValue(site["fam"]["slack_ms"], draw, "slack_ms"));
  profile.tells_wait = site["fam"]["passes_deadline"].value_or(true);
  return profile;
}

}  // namespace hingelink::soak
