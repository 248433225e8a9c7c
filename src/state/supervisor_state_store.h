// Stores the supervisor's state as `plan.json` in its directory. The one place where the file's keys meet the
// terms of the code.
//
//   {"format":1,"boot":"<boot id>","want":"serve","last_generation":3,"crashes_in_row":0,
//    "current":{"generation":3,"pid":812,"start_ticks":9231,"ready":true,"leaving":false},
//    "check":"<16 hex digits: XXH3 of the JSON above without `check`>"}
//
// `successor` and `predecessor` have the form of `current`; an absent incarnation is left out.
#ifndef HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_
#define HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_

#include <stdexcept>
#include <string>

#include "decide/supervision/supervisor_state.h"
#include "state/file_system.h"

namespace hingelink::state {

// The text is not a state that a program wrote. what() says why, for an operator.
class CorruptSupervisorState : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct LoadedSupervisorState {
  enum class Status {
    kAbsent,
    kValid,
    kPreviousBoot,        // Its processes no longer exist, so that `state` holds no incarnation.
    kCorrupt,             // Renamed to plan.json.damaged; `state` is empty.
    kUnsupportedVersion,  // Of a newer program; renamed to plan.json.newer; `state` is empty.
  };
  Status status = Status::kAbsent;
  decide::SupervisorState state;
  std::string detail;  // With kCorrupt and kUnsupportedVersion: what is wrong, for an operator.
};

// Blocks on files. Not thread-safe. `files` must outlive the object.
class SupervisorStateStore {
 public:
  // `boot_id` identifies this boot of the machine; process ids are valid within one boot.
  SupervisorStateStore(FileSystem& files, std::string directory, std::string boot_id);

  // Never throws for what the file holds; throws FileError where it cannot be read or renamed.
  [[nodiscard]] LoadedSupervisorState Load();
  // Durable once this returns. Throws FileError; the state saved before is then still there.
  void Save(const decide::SupervisorState& state);

  [[nodiscard]] static std::string Encode(const decide::SupervisorState& state, const std::string& boot_id);
  // Throws CorruptSupervisorState.
  [[nodiscard]] static LoadedSupervisorState Decode(const std::string& text, const std::string& boot_id);

 private:
  FileSystem& files_;
  std::string directory_;
  std::string boot_id_;
};

// The id of this boot of the machine; empty where the system has none.
[[nodiscard]] std::string BootId();

}  // namespace hingelink::state

#endif  // HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_
