// Structured logging: one line for each event, as text or as JSON. docs/on-call.md explains the events.
//
// Lines go either directly to standard error, which is the form that service platforms expect, or through a
// bounded queue to a rotated file. If the disk is slow or full, the file output drops and counts lines
// instead of blocking the calling thread. All functions may be called on any thread.
#ifndef HINGELINK_LOG_LOG_H_
#define HINGELINK_LOG_LOG_H_

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hingelink::log {

enum class Level { kDebug, kInfo, kWarning, kError };
// Sets `level` to the level with this name (debug, info, warning, error). Returns false if there is none.
bool ParseLevel(std::string_view name, Level& level);
const char* LevelName(Level level);

// The value of a log field: a text or a whole number. Texts may contain any bytes; see Printable().
class Value {
 public:
  Value(std::string_view text) : value_(std::string(text)) {}
  Value(const std::string& text) : value_(text) {}
  Value(const char* text) : value_(std::string(text)) {}
  Value(bool yes) : value_(std::string(yes ? "yes" : "no")) {}
  template <std::integral T>
  Value(T number) : value_(static_cast<std::int64_t>(number)) {}

  // The value as it appears in a log line, without control characters.
  std::string Text() const;
  bool is_number() const { return std::holds_alternative<std::int64_t>(value_); }
  std::int64_t number() const { return std::get<std::int64_t>(value_); }

 private:
  std::variant<std::string, std::int64_t> value_;
};

struct Field {
  const char* key;  // If empty, text lines show only the value, and JSON lines use the key `text`.
  Value value;
};

// Writes an event if its level is enabled. `name` identifies the kind of event.
void Event(Level level, std::string_view name, std::initializer_list<Field> fields = {});
inline void Info(std::string_view name, std::initializer_list<Field> fields = {}) {
  Event(Level::kInfo, name, fields);
}
inline void Warn(std::string_view name, std::initializer_list<Field> fields = {}) {
  Event(Level::kWarning, name, fields);
}
// Writes an info event that a peer can cause at any rate. Events beyond the LogBudget are dropped; the next
// event within the budget is preceded by a warning with the number of dropped events.
void PeerEvent(std::string_view name, std::initializer_list<Field> fields = {});

struct Options {
  bool json = false;
  Level level = Level::kInfo;
  std::string file;                    // Path of the log file; empty for standard error.
  std::size_t rotate_bytes = 1 << 20;  // At this size the file is rotated to FILE.1, FILE.2, ...
  std::size_t keep = 5;                // Number of rotated files that are kept.
  std::size_t recent = 0;              // Number of lines that RecentLines() can return.
};
// Applies the options to all later events. Throws std::runtime_error if the file cannot be opened.
void Configure(const Options& options);
void SetLevel(Level level);
Level CurrentLevel();
// Writes the queued lines to the file and closes it. Blocks until the disk has accepted them. Later events go
// to standard error. Lines that are queued for standard error are written as far as it accepts them at once.
void Close();
// Returns the last lines written, oldest first, at most Options::recent of them.
std::vector<std::string> RecentLines();
// Returns how many lines have been lost because the disk was slow or full, or because standard error was not
// read.
std::uint64_t LostLineCount();

// Returns `text` with control characters and bytes that are not valid UTF-8 replaced by \xNN. The result can
// neither break a line nor send commands to a terminal.
std::string Printable(std::string_view text);

// A token bucket that limits the rate of log lines. Not thread-safe.
class LogBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;
  static constexpr int kBurstLines = 1000;
  static constexpr int kLinesPerSecond = 100;

  // Consumes a token. Returns false, and counts the line as suppressed, if there is none.
  bool TryConsume(Time now);
  // Returns how many lines were suppressed since the last call.
  long ResetSuppressedCount();

 private:
  double tokens_ = kBurstLines;
  Time last_refill_{};
  long suppressed_lines_ = 0;
};

}  // namespace hingelink::log

#endif  // HINGELINK_LOG_LOG_H_
