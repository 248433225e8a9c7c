#include "cli/process.h"

#include <unistd.h>

#include <cerrno>
#include <climits>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <stdexcept>

#include "appliance/processes.h"

namespace hingelink::cli {

std::string OwnProgram() {
  char path[PATH_MAX];
  const ssize_t size = readlink("/proc/self/exe", path, sizeof path);
  if (size <= 0) throw std::runtime_error("cannot find this program's own file");
  return std::string(path, static_cast<std::size_t>(size));
}

pid_t StartDetached(const std::string& program, const std::vector<std::string>& args,
                    const std::map<std::string, std::string>& environment, const std::string& output) {
  appliance::PendingProcess process(program, args, environment, output.empty() ? "/dev/null" : output);
  process.Release();
  return static_cast<pid_t>(process.id().pid);
}

TemporaryFolder::TemporaryFolder() {
  const char* root = std::getenv("TMPDIR");
  std::string path = std::string(root != nullptr && *root != '\0' ? root : "/tmp") + "/hingelink.XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot make a folder at " + path + ": " + std::strerror(errno));
  }
  path_ = path;
}

TemporaryFolder::~TemporaryFolder() {
  if (is_kept_) return;
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace hingelink::cli
