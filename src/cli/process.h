// A child process of this program, for demos and trials.
#ifndef HINGELINK_CLI_PROCESS_H_
#define HINGELINK_CLI_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace hingelink::cli {

// Starts `program` in a session of its own, so that no signal of this terminal reaches it. What it writes
// goes to `output` (appended), or nowhere if that is empty. Throws std::runtime_error.
pid_t StartDetached(const std::string& program, const std::vector<std::string>& args,
                    const std::map<std::string, std::string>& environment, const std::string& output);
// The path of this program's own file.
std::string OwnProgram();

// A folder of its own under $TMPDIR or /tmp, removed with all that is in it at the end, unless it is kept.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }
  // The folder is not removed.
  void Keep() { is_kept_ = true; }

 private:
  std::string path_;
  bool is_kept_ = false;
};

}  // namespace hingelink::cli

#endif  // HINGELINK_CLI_PROCESS_H_
