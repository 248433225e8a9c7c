// `hingelink state`: what a node has learned and left in a folder. `hingelink background`: the jobs beside
// the requests of a node that serves.
#include <sys/stat.h>

#include <cstdio>
#include <ctime>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cli/commands.h"
#include "cli/state_folder.h"
#include "control/client.h"
#include "decide/learned/learned_state_import.h"
#include "state/learned_store.h"

namespace hingelink::cli {
namespace {

using Json = nlohmann::ordered_json;

struct StateOptions {
  std::string folder;
  bool json = false;
};

// Looks and touches nothing: what Load() would set aside stays where it is.
class ReadOnly : public state::FileSystem {
 public:
  std::unique_ptr<state::WritableFile> Create(const std::string& path) override {
    throw state::FileError("open", path, EROFS);
  }
  void Rename(const std::string&, const std::string&) override {}
  void SyncDirectory(const std::string&) override {}
  std::optional<std::string> Read(const std::string& path) override {
    return state::SystemFileSystem().Read(path);
  }
};

std::string When(std::chrono::milliseconds at) {
  const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(at).count();
  std::tm utc{};
  char text[32] = "?";
  if (gmtime_r(&seconds, &utc) != nullptr) std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

state::LoadedLearned Look(const StateOptions& options) {
  if (!std::filesystem::is_directory(options.folder)) {
    throw std::runtime_error(options.folder + ": there is no such folder; give the one of serve --learned");
  }
  ReadOnly files;
  return state::LearnedStore(files, options.folder).Load();
}

int Show(const StateOptions& options) {
  const state::LoadedLearned found = Look(options);
  if (options.json) {
    Json json = {
        {"found", found.entry.has_value()}, {"records", found.log_records}, {"notes", found.warnings}};
    if (found.entry) {
      const decide::LearnedRecord& r = found.entry->record;
      json["sequence"] = found.entry->sequence;
      json["site"] = r.node_name;
      json["at_ms"] = r.recorded_at.count();
      json["classes"] = Json::array();
      for (const hingelink::LearnedClass& c : r.learned.classes) {
        json["classes"].push_back({{"name", c.name},
                                   {"run_ms", c.run_ms},
                                   {"cost_ms", c.core_time_ms},
                                   {"hint_ms", c.expected_work_ms},
                                   {"samples", c.samples},
                                   {"wrong", decide::SanityCheckFailure(c)}});
      }
    }
    std::printf("%s\n", json.dump(2).c_str());
  } else if (!found.entry) {
    std::printf("nothing learned in %s\n", options.folder.c_str());
  } else {
    const decide::LearnedRecord& r = found.entry->record;
    std::printf("%s, learned by %s, %s, entry %llu (%zu in the log)\n", options.folder.c_str(),
                r.node_name.c_str(), When(r.recorded_at).c_str(),
                static_cast<unsigned long long>(found.entry->sequence), found.log_records);
    std::printf("%-24s %10s %10s %10s %9s\n", "class", "run ms", "cost ms", "hint ms", "samples");
    for (const hingelink::LearnedClass& c : r.learned.classes) {
      std::printf("%-24s %10.2f %10.2f %10.2f %9d %s\n", c.name.c_str(), c.run_ms, c.core_time_ms,
                  c.expected_work_ms, c.samples, decide::SanityCheckFailure(c).c_str());
    }
  }
  for (const std::string& note : found.warnings) std::fprintf(stderr, "hingelink: %s\n", note.c_str());
  return 0;
}

int Verify(const StateOptions& options) {
  const state::LoadedLearned found = Look(options);
  std::size_t wrong = found.warnings.size();
  for (const std::string& note : found.warnings) std::printf("%s\n", note.c_str());
  if (found.entry) {
    for (const hingelink::LearnedClass& c : found.entry->record.learned.classes) {
      const std::string why = decide::SanityCheckFailure(c);
      if (why.empty()) continue;
      std::printf("class \"%s\": %s\n", c.name.c_str(), why.c_str());
      ++wrong;
    }
  }
  if (wrong == 0) std::printf("%s: good%s\n", options.folder.c_str(), found.entry ? "" : ", nothing learned");
  return wrong == 0 ? 0 : 1;
}

int Reset(const StateOptions& options) {
  Look(options);
  const auto lock = state::DirectoryLock::TryAcquire(options.folder + "/learned.lock");
  if (!lock) throw std::runtime_error(options.folder + ": a node keeps what it learns there; end it first");
  for (const char* name : {"learned.state", "learned.state.1", "learned.log"}) {
    std::filesystem::remove(options.folder + '/' + name);
  }
  std::printf("%s: what was learned is gone\n", options.folder.c_str());
  return 0;
}

}  // namespace

void AddState(CLI::App& app, int& status) {
  const auto options = std::make_shared<StateOptions>();
  CLI::App* all = app.add_subcommand("state", "What a node has learned and left in a folder");
  all->require_subcommand(1);
  const auto add = [&](const char* name, const char* help, int (*run)(const StateOptions&)) {
    CLI::App* one = all->add_subcommand(name, help);
    one->add_option("--folder", options->folder, "The folder of serve --learned")->required();
    one->callback([options, run, &status] { status = run(*options); });
    return one;
  };
  add("show", "Print it", Show)->add_flag("--json", options->json, "As JSON");
  add("verify", "Say what is wrong with it; exit status 1 where anything is", Verify);
  add("reset", "Remove it: the node learns anew", Reset);
}

void AddBackground(CLI::App& app, int& status) {
  struct Options {
    std::string socket, state = DefaultStateFolder();
    bool json = false;
  };
  const auto options = std::make_shared<Options>();
  CLI::App* command = app.add_subcommand("background", "The jobs beside the requests of a node that serves");
  command->add_option("--state", options->state, "The appliance's state folder")
      ->envname("HINGELINK_STATE")
      ->capture_default_str();
  command->add_option("--socket", options->socket, "A node's control socket, instead of an appliance's");
  command->add_flag("--json", options->json, "As JSON");
  command->callback([options, &status] {
    const std::string socket = options->socket.empty() ? options->state + "/" + kNodeSocket : options->socket;
    const auto jobs = control::Client(socket).Call("background").at("jobs");
    if (options->json) {
      std::printf("%s\n", jobs.dump(2).c_str());
      return;
    }
    std::printf("%-12s %4s %-8s %7s %8s %8s %10s %9s %10s\n", "job", "prio", "state", "runs", "failures",
                "starved", "last ms", "cpu ms", "bytes");
    for (const auto& job : jobs) {
      std::printf("%-12s %4d %-8s %7llu %8llu %8llu %10.1f %9.1f %10.0f\n",
                  job.at("name").get<std::string>().c_str(), job.at("priority").get<int>(),
                  job.at("state").get<std::string>().c_str(), job.at("runs").get<unsigned long long>(),
                  job.at("failures").get<unsigned long long>(), job.at("starved").get<unsigned long long>(),
                  job.at("last_took_ms").get<double>(), job.at("cpu_ms").get<double>(),
                  job.at("bytes").get<double>());
    }
    status = 0;
  });
}

}  // namespace hingelink::cli
