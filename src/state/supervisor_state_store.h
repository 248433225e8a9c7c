// Stores the supervisor's state as `plan.json` in its directory. The keys in the file differ from the names
// in the code; only this class maps between them.
//
//   {"format":1,"boot":"<boot id>","want":"serve","last_generation":3,"crashes_in_row":0,
//    "current":{"generation":3,"pid":812,"start_ticks":9231,"ready":true,"leaving":false},
//    "check":"<16 hex digits: XXH3 of the JSON above without `check`>"}
//
// `successor` and `predecessor` have the form of `current`; an incarnation that does not exist is omitted.
#ifndef HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_
#define HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_

#include <stdexcept>
#include <string>

#include "decide/supervision/supervisor_state.h"
#include "state/file_system.h"

namespace hingelink::state {

// Thrown for a text that is not a valid state. what() is the fault, as a text for operators.
class CorruptSupervisorState : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct LoadedSupervisorState {
  enum class Status {
    kAbsent,
    kValid,
    kPreviousBoot,        // Saved before a reboot that ended its processes; `state` holds no incarnation.
    kCorrupt,             // Renamed to plan.json.damaged; `state` is empty.
    kUnsupportedVersion,  // Written by a newer program. Renamed to plan.json.newer; `state` is empty.
  };
  Status status = Status::kAbsent;
  decide::SupervisorState state;
  std::string detail;  // With kCorrupt and kUnsupportedVersion: the fault, as a text for operators.
};

// Blocks on files. Not thread-safe. `files` must outlive the object.
class SupervisorStateStore {
 public:
  // `boot_id` identifies the current boot of the machine, because stored process ids are valid only within
  // one boot.
  SupervisorStateStore(FileSystem& files, std::string directory, std::string boot_id);

  // Invalid content never throws; throws FileError if the file cannot be read or renamed.
  [[nodiscard]] LoadedSupervisorState Load();
  // The state is durable when the function returns. Throws FileError; the file then holds the old or the new
  // state.
  void Save(const decide::SupervisorState& state);

  [[nodiscard]] static std::string Encode(const decide::SupervisorState& state, const std::string& boot_id);
  // Throws CorruptSupervisorState.
  [[nodiscard]] static LoadedSupervisorState Decode(const std::string& text, const std::string& boot_id);

 private:
  FileSystem& files_;
  std::string directory_;
  std::string boot_id_;
};

// The id of the current boot of the machine; empty if the system provides none.
[[nodiscard]] std::string BootId();

}  // namespace hingelink::state

#endif  // HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_
