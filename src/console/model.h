// What the console shows, from the snapshots that came: rates over a span, histories, and sums that agree
// with the rows above them. No terminal, no socket, no clock.
#ifndef HINGELINK_CONSOLE_MODEL_H_
#define HINGELINK_CONSOLE_MODEL_H_

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hingelink::console {

// Whole numbers, as they are shown: the sum of the rows is the sum shown.
struct Row {
  std::string name;
  std::int64_t held = 0, running = 0;                // Mean over the last second or so.
  std::int64_t served = 0, refused = 0, failed = 0;  // A second, over the last seconds.
  std::uint64_t all_served = 0, all_refused = 0, all_failed = 0;
  std::vector<double> history;  // Served a second, oldest first, a value for each step of kHistoryStep.
};

struct GatewayRow {
  std::uint64_t via = 0, open = 0;
  std::int64_t requests = 0, refused = 0;  // A second.
};

struct View {
  bool reached = false;  // Some snapshot has come.
  std::string name, version, state;
  bool ready = false;
  std::int64_t pid = 0, generation = 0;
  double uptime_ms = 0;
  double age_ms = 0;  // Of the newest snapshot.
  std::vector<Row> classes;
  Row sum;
  std::vector<GatewayRow> gateways;
  std::uint64_t gateways_known = 0;
  std::uint64_t owed = 0, connections = 0;
  struct Loop {
    std::uint64_t connections = 0;
    double busy = 0;
    bool hung = false;
  };
  std::vector<Loop> loops;
  struct Fleet {
    std::uint64_t alive = 0, suspect = 0, gone = 0;
    bool cut_off = false, linked = false;
  };
  std::optional<Fleet> fleet;
  // Of the members' page, those that need a look first.
  struct Member {
    std::string name, address, state, phase, zone;
    bool held = false;
    double heard_ms = -1;  // Since it was last heard itself; below 0: never.
  };
  std::vector<Member> members;
  bool pool_good = false, registry_good = false;
  std::string pool_address, registry_address;
  std::optional<double> pool_busy;
  struct Drain {
    std::uint64_t owed = 0;
    double left_ms = 0, of_ms = 0;
  };
  std::optional<Drain> drain;
  std::uint64_t log_lost = 0;
  std::vector<std::string> log;
};

class Model {
 public:
  static constexpr double kRateOverMs = 5000;
  static constexpr double kLevelOverMs = 1000;
  static constexpr double kHistoryStepMs = 1000;
  static constexpr std::size_t kHistory = 40;

  // A snapshot that came now. One of another process starts anew: its counts begin at 0.
  void Take(const nlohmann::json& snapshot, double now_ms);
  View Show(double now_ms) const;
  // What `members` answers.
  void TakeMembers(const nlohmann::json& members);

 private:
  struct Sample {
    double at = 0;
    nlohmann::json snapshot;
  };
  std::deque<Sample> samples_;  // Of the last kRateOverMs and one before.
  struct History {
    std::deque<double> values;
    std::uint64_t served_at_step = 0;
  };
  std::vector<std::pair<std::string, History>> histories_;
  double step_at_ = 0;
  std::optional<double> drain_of_;
  std::vector<View::Member> members_;
};

}  // namespace hingelink::console

#endif  // HINGELINK_CONSOLE_MODEL_H_
