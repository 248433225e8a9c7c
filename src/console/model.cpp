#include "console/model.h"

#include <algorithm>
#include <cmath>

namespace hingelink::console {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostSamples = 128;

const Json* FindBy(const Json& list, const char* key, const Json& value) {
  for (const Json& each : list) {
    if (each.value(key, Json()) == value) return &each;
  }
  return nullptr;
}

// How much a count grew a second between two entries; 0 where the older has none. A class that came later
// began at 0.
double Rate(const Json* older, const Json& newer, const char* key, double span_ms) {
  if (span_ms <= 0) return 0;
  const double before = older != nullptr ? older->value(key, 0.0) : 0;
  return std::max(0.0, (newer.value(key, 0.0) - before) * 1000 / span_ms);
}

}  // namespace

void Model::Take(const Json& snapshot, double now) {
  if (!samples_.empty() && samples_.back().snapshot.value("pid", 0) != snapshot.value("pid", 0)) {
    samples_.clear();
    histories_.clear();
    drain_of_.reset();
  }
  if (samples_.empty()) step_at_ = now;
  samples_.push_back({now, snapshot});
  while (samples_.size() > 2 && (samples_[1].at < now - kRateOverMs || samples_.size() > kMostSamples)) {
    samples_.pop_front();
  }
  if (snapshot.contains("drain")) {
    const double left = snapshot["drain"].value("left_ms", 0.0);
    drain_of_ = std::max(drain_of_.value_or(0), left);
  }
  const bool step = now - step_at_ >= kHistoryStepMs;
  const double span = now - step_at_;
  if (step) step_at_ = now;
  for (const Json& c : snapshot["classes"]) {
    const std::string name = c.value("name", "");
    const std::uint64_t served = c.value("served", std::uint64_t{0});
    auto it =
        std::find_if(histories_.begin(), histories_.end(), [&](const auto& h) { return h.first == name; });
    if (it == histories_.end()) {
      histories_.emplace_back(name, History{{}, served});
      continue;
    }
    if (!step) continue;
    History& history = it->second;
    history.values.push_back(static_cast<double>(served - std::min(served, history.served_at_step)) * 1000 /
                             span);
    history.served_at_step = served;
    if (history.values.size() > kHistory) history.values.pop_front();
  }
  std::erase_if(histories_,
                [&](const auto& h) { return FindBy(snapshot["classes"], "name", h.first) == nullptr; });
}

void Model::TakeMembers(const Json& members) {
  members_.clear();
  if (!members.contains("members")) return;
  for (const Json& one : members["members"]) {
    members_.push_back({one.value("name", ""), one.value("address", ""), one.value("state", ""),
                        one.value("phase", ""), one.value("zone", ""), one.value("held", false),
                        one.value("heard_ms", -1.0)});
  }
  // Held and suspect ones first, then those that are gone: with hundreds of members the page has no room for
  // more.
  const auto rank = [](const View::Member& m) {
    return m.held ? 0 : m.state == "suspect" ? 1 : m.state == "gone" ? 2 : 3;
  };
  std::stable_sort(members_.begin(), members_.end(), [&rank](const View::Member& a, const View::Member& b) {
    return rank(a) != rank(b) ? rank(a) < rank(b) : a.name < b.name;
  });
}

View Model::Show(double now) const {
  View view;
  if (samples_.empty()) return view;
  const Sample& newest = samples_.back();
  const Sample& oldest = samples_.front();
  const Json& json = newest.snapshot;
  const double span = newest.at - oldest.at;
  view.reached = true;
  view.name = json.value("name", "");
  view.version = json.value("version", "");
  view.state = json.value("state", "");
  view.ready = json.value("ready", false);
  view.pid = json.value("pid", 0);
  view.generation = json.value("generation", 0);
  view.uptime_ms = json.value("uptime_ms", 0.0) + (now - newest.at);
  view.age_ms = now - newest.at;
  view.sum.name = "all";
  const auto level = [&](const Json& name, const char* key) {
    double sum = 0;
    int count = 0;
    for (const Sample& sample : samples_) {
      if (sample.at < newest.at - kLevelOverMs) continue;
      const Json* entry = FindBy(sample.snapshot["classes"], "name", name);
      if (entry == nullptr) continue;
      sum += entry->value(key, 0.0);
      ++count;
    }
    return static_cast<std::int64_t>(std::llround(count > 0 ? sum / count : 0));
  };
  for (const Json& c : json["classes"]) {
    const Json* before = FindBy(oldest.snapshot["classes"], "name", c["name"]);
    const auto rate = [&](const char* key) {
      return static_cast<std::int64_t>(std::llround(Rate(before, c, key, span)));
    };
    Row row;
    row.name = c.value("name", "");
    row.held = level(c["name"], "held");
    row.running = level(c["name"], "running");
    row.served = rate("served");
    row.refused = rate("refused");
    row.failed = rate("failed");
    row.all_served = c.value("served", std::uint64_t{0});
    row.all_refused = c.value("refused", std::uint64_t{0});
    row.all_failed = c.value("failed", std::uint64_t{0});
    for (const auto& [name, history] : histories_) {
      if (name == row.name) row.history.assign(history.values.begin(), history.values.end());
    }
    view.sum.held += row.held;
    view.sum.running += row.running;
    view.sum.served += row.served;
    view.sum.refused += row.refused;
    view.sum.failed += row.failed;
    view.sum.all_served += row.all_served;
    view.sum.all_refused += row.all_refused;
    view.sum.all_failed += row.all_failed;
    if (row.history.size() > view.sum.history.size()) {
      view.sum.history.insert(view.sum.history.begin(), row.history.size() - view.sum.history.size(), 0);
    }
    for (std::size_t i = 0; i < row.history.size(); ++i) {
      view.sum.history[view.sum.history.size() - row.history.size() + i] += row.history[i];
    }
    view.classes.push_back(std::move(row));
  }
  for (const Json& g : json["gateways"]) {
    const Json* before = FindBy(oldest.snapshot["gateways"], "via", g["via"]);
    GatewayRow row;
    row.via = g.value("via", std::uint64_t{0});
    row.open = g.value("open", std::uint64_t{0});
    // One that was not among those shown before has no rate yet.
    if (before != nullptr) {
      row.requests = std::llround(Rate(before, g, "requests", span));
      row.refused = std::llround(Rate(before, g, "refused", span));
    }
    view.gateways.push_back(row);
  }
  // By what they send, so that the order does not jump with each answer.
  std::stable_sort(view.gateways.begin(), view.gateways.end(), [](const GatewayRow& a, const GatewayRow& b) {
    return a.requests != b.requests ? a.requests > b.requests : a.via < b.via;
  });
  const Json& totals = json["totals"];
  view.gateways_known = totals.value("gateways", std::uint64_t{0});
  view.owed = totals.value("owed", std::uint64_t{0});
  view.connections = totals.value("connections", std::uint64_t{0});
  if (json.contains("loops")) {
    for (const Json& loop : json["loops"]) {
      view.loops.push_back(
          {loop.value("connections", std::uint64_t{0}), loop.value("busy", 0.0), loop.value("hung", false)});
    }
  }
  view.members = members_;
  if (json.contains("fleet")) {
    const Json& fleet = json["fleet"];
    view.fleet = View::Fleet{fleet.value("alive", std::uint64_t{0}), fleet.value("suspect", std::uint64_t{0}),
                             fleet.value("gone", std::uint64_t{0}), fleet.value("cut_off", false),
                             fleet.value("linked", false)};
  }
  const Json &pool = json["links"]["pool"], &registry = json["links"]["registry"];
  view.pool_good = pool.value("good", false);
  view.pool_address = pool.value("address", "");
  if (pool.contains("busy")) view.pool_busy = pool.value("busy", 0.0);
  view.registry_good = registry.value("good", false);
  view.registry_address = registry.value("address", "");
  if (json.contains("drain")) {
    const double left = json["drain"].value("left_ms", 0.0);
    view.drain = View::Drain{json["drain"].value("owed", std::uint64_t{0}),
                             std::max(0.0, left - (now - newest.at)), drain_of_.value_or(left)};
  }
  view.log_lost = json["log"].value("lost", std::uint64_t{0});
  for (const Json& line : json["log"]["lines"]) view.log.push_back(line.get<std::string>());
  return view;
}

}  // namespace hingelink::console
