#include "lab/series/store.h"

#include <sqlite3.h>

#include <algorithm>
#include <charconv>
#include <exception>
#include <map>
#include <mutex>
#include <thread>

namespace hingelink::lab {
namespace {

constexpr int kVersion = 1;
constexpr int kBusyMs = 10'000;

// A statement that is bound, stepped through and reset by itself.
class Statement {
 public:
  Statement(sqlite3* database, const char* sql) : database_(database) {
    if (sqlite3_prepare_v2(database, sql, -1, &statement_, nullptr) != SQLITE_OK)
      throw StoreError(sqlite3_errmsg(database));
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& Bind(const std::string& text) {
    sqlite3_bind_text(statement_, ++bound_, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& Bind(double value) {
    sqlite3_bind_double(statement_, ++bound_, value);
    return *this;
  }
  // Whether there is a row.
  bool Step() {
    const int code = sqlite3_step(statement_);
    if (code != SQLITE_ROW && code != SQLITE_DONE) throw StoreError(sqlite3_errmsg(database_));
    return code == SQLITE_ROW;
  }
  std::string Text(int column) const {
    const auto* text = sqlite3_column_text(statement_, column);
    return text == nullptr ? std::string() : reinterpret_cast<const char*>(text);
  }
  double Number(int column) const { return sqlite3_column_double(statement_, column); }
  long long Whole(int column) const { return sqlite3_column_int64(statement_, column); }

 private:
  sqlite3* database_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

// Numbers before texts, and as numbers.
bool Before(const std::string& a, const std::string& b) {
  double x = 0, y = 0;
  const bool a_number = std::from_chars(a.data(), a.data() + a.size(), x).ec == std::errc();
  const bool b_number = std::from_chars(b.data(), b.data() + b.size(), y).ec == std::errc();
  if (a_number != b_number) return a_number;
  if (a_number && x != y) return x < y;
  return a < b;
}

Spread SpreadOf(std::vector<double> values) {
  Spread spread;
  spread.runs = values.size();
  if (values.empty()) return spread;
  std::sort(values.begin(), values.end());
  spread.least = values.front();
  spread.most = values.back();
  const std::size_t half = values.size() / 2;
  spread.median = values.size() % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2;
  return spread;
}

}  // namespace

void SeriesStore::Close::operator()(sqlite3* database) const { sqlite3_close(database); }

void SeriesStore::Fail() const { throw StoreError(path_ + ": " + sqlite3_errmsg(database_.get())); }

void SeriesStore::Do(const char* sql) const {
  if (sqlite3_exec(database_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) Fail();
}

SeriesStore::SeriesStore(const std::string& path) : path_(path) {
  sqlite3* database = nullptr;
  const int code = sqlite3_open(path.c_str(), &database);
  database_.reset(database);
  if (code != SQLITE_OK) throw StoreError(path + ": cannot be opened as a file of runs");
  sqlite3_busy_timeout(database, kBusyMs);
  try {
    // A run that a crash cut off leaves nothing behind, and what was added is there after a power cut.
    Do("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA foreign_keys=ON;");
    Do("BEGIN IMMEDIATE");
    Statement version(database, "PRAGMA user_version");
    version.Step();
    const long long found = version.Whole(0);
    if (found == 0) {
      Do("CREATE TABLE run(id INTEGER PRIMARY KEY, series TEXT, program TEXT, key TEXT, void INTEGER, "
         "at TEXT DEFAULT CURRENT_TIMESTAMP, result TEXT);"
         "CREATE UNIQUE INDEX one_good ON run(key) WHERE void = 0;"
         "CREATE INDEX by_key ON run(key);"
         "CREATE TABLE param(run INTEGER REFERENCES run(id), name TEXT, value TEXT, PRIMARY KEY(run, name));"
         "CREATE TABLE figure(run INTEGER REFERENCES run(id), name TEXT, value REAL, PRIMARY KEY(run, name));"
         "PRAGMA user_version = 1;");
    } else if (found != kVersion) {
      throw StoreError("it is of version " + std::to_string(found) + "; this program knows version " +
                       std::to_string(kVersion));
    }
    Do("COMMIT");
  } catch (const StoreError& fault) {
    const std::string what = fault.what();
    throw StoreError(what.starts_with(path) ? what + "; wanted a file of runs, or none" : path + ": " + what);
  }
}

SeriesStore::Times SeriesStore::Count(const std::string& key) const {
  Statement count(database_.get(), "SELECT void, COUNT(*) FROM run WHERE key = ? GROUP BY void");
  count.Bind(key);
  Times times;
  while (count.Step())
    (count.Whole(0) == 0 ? times.good : times.voided) = static_cast<std::size_t>(count.Whole(1));
  return times;
}

void SeriesStore::Add(const std::string& series, const std::string& program, const std::string& key,
                      const SeriesRun& run, const nlohmann::ordered_json& result, bool is_void) {
  Do("BEGIN IMMEDIATE");
  try {
    Statement add(database_.get(),
                  "INSERT OR IGNORE INTO run(series, program, key, void, result) VALUES(?, ?, ?, ?, ?)");
    add.Bind(series).Bind(program).Bind(key).Bind(is_void ? 1.0 : 0.0).Bind(result.dump()).Step();
    if (sqlite3_changes(database_.get()) > 0) {
      const auto id = static_cast<double>(sqlite3_last_insert_rowid(database_.get()));
      for (const auto& [name, value] : run.params) {
        Statement param(database_.get(), "INSERT INTO param VALUES(?, ?, ?)");
        param.Bind(id).Bind(name).Bind(value).Step();
      }
      const nlohmann::ordered_json places = result.flatten();
      for (const auto& [place, value] : places.items()) {
        if (!value.is_number() && !value.is_boolean()) continue;
        Statement figure(database_.get(), "INSERT INTO figure VALUES(?, ?, ?)");
        figure.Bind(id)
            .Bind(place)
            .Bind(value.is_boolean() ? (value.get<bool>() ? 1.0 : 0.0) : value.get<double>())
            .Step();
      }
    }
    Do("COMMIT");
  } catch (...) {
    sqlite3_exec(database_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

std::vector<std::string> SeriesStore::Series() const {
  Statement names(database_.get(), "SELECT DISTINCT series FROM run WHERE void = 0 ORDER BY series");
  std::vector<std::string> all;
  while (names.Step()) all.push_back(names.Text(0));
  return all;
}

std::vector<Group> SeriesStore::Table(const std::string& series, const std::vector<std::string>& by,
                                      const std::vector<std::string>& figures) const {
  Statement runs(database_.get(),
                 "SELECT id FROM run WHERE series = ?1 AND void = 0 AND program = "
                 "(SELECT program FROM run WHERE series = ?1 AND void = 0 ORDER BY id DESC LIMIT 1)");
  runs.Bind(series);
  const auto less = [](const std::vector<std::string>& a, const std::vector<std::string>& b) {
    return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(), Before);
  };
  std::map<std::vector<std::string>, std::vector<std::vector<double>>, decltype(less)> groups(less);
  while (runs.Step()) {
    const double id = runs.Number(0);
    std::vector<std::string> key;
    for (const std::string& name : by) {
      Statement param(database_.get(), "SELECT value FROM param WHERE run = ? AND name = ?");
      param.Bind(id).Bind(name);
      key.push_back(param.Step() ? param.Text(0) : "");
    }
    auto& values = groups[key];
    values.resize(figures.size());
    for (std::size_t f = 0; f < figures.size(); ++f) {
      Statement figure(database_.get(), "SELECT value FROM figure WHERE run = ? AND name = ?");
      figure.Bind(id).Bind(figures[f]);
      if (figure.Step()) values[f].push_back(figure.Number(0));
    }
  }
  std::vector<Group> table;
  for (const auto& [key, values] : groups) {
    Group group{key, {}};
    for (const std::vector<double>& of : values) group.figures.push_back(SpreadOf(of));
    table.push_back(std::move(group));
  }
  return table;
}

std::size_t RunSeries(const SeriesPlan& plan, SeriesStore& store, const SeriesOptions& options) {
  const std::vector<SeriesRun> runs = RunsOf(plan);
  std::mutex mutex;  // Of all below.
  std::size_t next = 0, played = 0;
  std::exception_ptr fault;
  const auto one = [&](const SeriesRun& run, std::size_t number) {
    const std::string key = run.Key(plan.name, options.program);
    std::string name = std::to_string(number) + " of " + std::to_string(runs.size());
    for (const auto& [at, value] : run.params) name += ' ' + at + '=' + value;
    for (;;) {
      {
        const std::lock_guard lock(mutex);
        const SeriesStore::Times times = store.Count(key);
        if (times.good > 0) return;
        if (times.voided >= options.most_void) {
          options.said(name + ": given up, void " + std::to_string(times.voided) + " times");
          return;
        }
      }
      const Played result = options.play(run);
      const std::lock_guard lock(mutex);
      store.Add(plan.name, options.program, key, run, result.result, result.is_void);
      ++played;
      options.said(name + (result.is_void ? ": void, the rig was the bound" : ": done"));
    }
  };
  const auto work = [&] {
    for (;;) {
      std::size_t mine = 0;
      {
        const std::lock_guard lock(mutex);
        if (fault || next == runs.size()) return;
        mine = next++;
      }
      try {
        one(runs[mine], mine + 1);
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!fault) fault = std::current_exception();
      }
    }
  };
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 1; i < options.jobs; ++i) threads.emplace_back(work);
    work();
  }
  if (fault) std::rethrow_exception(fault);
  return played;
}

}  // namespace hingelink::lab
