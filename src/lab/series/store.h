// Runs of series in one SQLite file. A run is there as a whole or not at all, whatever ends the process
// between two; several processes may add to one file.
#ifndef HINGELINK_LAB_SERIES_STORE_H_
#define HINGELINK_LAB_SERIES_STORE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "lab/series/plan.h"

struct sqlite3;

namespace hingelink::lab {

class StoreError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A row of a table: the values that its runs have in common, and of each figure what they came to.
struct Spread {
  std::size_t runs = 0;
  double least = 0, median = 0, most = 0;
};
struct Group {
  std::vector<std::string> by;  // In the order that was asked for; "" where a run has no such parameter.
  std::vector<Spread> figures;  // In the order that was asked for.
};

class SeriesStore {
 public:
  // Makes the file where there is none. Throws StoreError that names the file: not SQLite's, another
  // version's, not to be written.
  explicit SeriesStore(const std::string& path);

  // How often a run of this key is there: good, and void (the rig was the bound, and it says nothing).
  struct Times {
    std::size_t good = 0, voided = 0;
  };
  Times Count(const std::string& key) const;
  // Its result as JSON; each number in it can be asked for later, by its place. A good run that is there
  // already stays as it is.
  void Add(const std::string& series, const std::string& program, const std::string& key,
           const SeriesRun& run, const nlohmann::ordered_json& result, bool is_void);

  // Of the newest program that has good runs of this series: rows in the order of `by`, numbers as numbers.
  std::vector<Group> Table(const std::string& series, const std::vector<std::string>& by,
                           const std::vector<std::string>& figures) const;
  std::vector<std::string> Series() const;

 private:
  struct Close {
    void operator()(sqlite3* database) const;
  };
  void Do(const char* sql) const;
  [[noreturn]] void Fail() const;

  std::string path_;
  std::unique_ptr<sqlite3, Close> database_;
};

// Runs what is not there yet, in the plan's order; a run that came out void is tried again. Returns how many
// were played. What `play` throws ends it, with all that was played before kept.
struct Played {
  nlohmann::ordered_json result;
  bool is_void = false;
};
struct SeriesOptions {
  std::string program;                                // Whose runs they are, by its digest.
  std::function<Played(const SeriesRun&)> play;       // With several jobs called on several threads at once.
  std::function<void(const std::string& line)> said;  // Of each run.
  std::size_t most_void = 3;
  std::size_t jobs = 1;
};
std::size_t RunSeries(const SeriesPlan& plan, SeriesStore& store, const SeriesOptions& options);

}  // namespace hingelink::lab

#endif  // HINGELINK_LAB_SERIES_STORE_H_
