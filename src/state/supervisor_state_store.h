// The supervisor's plan on the disk: `plan.json` in the state folder.
//
//   {"format":1,"boot":"<the machine's boot id>","want":"serve","last_generation":3,"crashes_in_row":0,
//    "current":{"generation":3,"pid":812,"start_ticks":9231,"ready":true,"leaving":false},
//    "check":"<16 hex digits: XXH3 of the JSON above without `check`>"}
//
// `successor` and `predecessor` have the form of `current`; what is not there is left out.
#ifndef HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_
#define HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_

#include <string>

#include "decide/supervision/supervisor_state.h"
#include "state/file_system.h"

namespace hingelink::state {

struct LoadedSupervisorState {
  enum class Status {
    kAbsent,  // There is no plan yet.
    kValid,
    kPreviousBoot,        // Of another boot of this machine: its processes are gone, what was wanted holds.
    kCorrupt,             // Set aside as plan.json.damaged; the plan here is empty.
    kUnsupportedVersion,  // Of a version that this one does not know; set aside as plan.json.newer.
  };
  Status status = Status::kAbsent;
  decide::SupervisorState state;
  std::string detail;  // With kDamaged and kNewer.
};

class SupervisorStateStore {
 public:
  // `boot` is the id of this boot of the machine.
  SupervisorStateStore(FileSystem& files, std::string directory, std::string boot);
  // Throws FileError where the folder cannot be read; never for what stands in the file.
  LoadedSupervisorState Load();
  // Lasts once this returns. Throws FileError; the plan before is then still whole.
  void Save(const decide::SupervisorState& state);

  static std::string Encode(const decide::SupervisorState& state, const std::string& boot);
  // The plan as it stands in the text; throws std::runtime_error that says what is wrong with it.
  static LoadedSupervisorState Decode(const std::string& text, const std::string& boot);

 private:
  FileSystem& files_;
  std::string directory_;
  std::string boot_;
};

// Of this machine; empty where it does not tell.
std::string BootId();

}  // namespace hingelink::state

#endif  // HINGELINK_STATE_SUPERVISOR_STATE_STORE_H_
