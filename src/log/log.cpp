#include "log/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/rotating_file_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "log/standard_error_sink.h"

namespace hingelink::log {
namespace {

// Lines that wait to be written to the disk or to standard error, about half a megabyte. When the queue is
// full, the oldest lines are dropped.
constexpr std::size_t kMaxQueuedLines = 4096;
// Limit of a text line, and of each text value of a JSON line, in bytes.
constexpr std::size_t kMaxLineBytes = 1024;

// The state of the log, one instance for the process. Configure() replaces the logger. `mutex` guards all
// members but `lost`, which the thread of the pool increments.
struct State {
  std::mutex mutex;
  Options options;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::logger> logger;
  std::shared_ptr<StandardErrorSink> standard_error = std::make_shared<StandardErrorSink>(kMaxQueuedLines);
  std::deque<std::string> recent;
  LogBudget budget;
  std::atomic<std::uint64_t> lost{0};

  State() { UseStandardError(); }

  void UseStandardError() {
    logger = std::make_shared<spdlog::logger>("hingelink", standard_error);
    SetUpLogger();
  }
  void SetUpLogger() {
    logger->set_pattern("%v");
    logger->set_level(spdlog::level::trace);
    // A failed write must not stop the process. It is counted and not reported on standard error, which may
    // be unread.
    logger->set_error_handler([this](const std::string&) { ++lost; });
  }
};

State& GlobalState() {
  // Never destroyed, so that the destructors of static objects can log.
  static State* state = new State;
  return *state;
}

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      break;
  }
  return spdlog::level::err;
}

std::int64_t UnixMs() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now())
      .time_since_epoch()
      .count();
}

std::string FormatText(std::string_view name, std::initializer_list<Field> fields) {
  std::string line = std::to_string(UnixMs());
  line.append(" ").append(name);
  for (const Field& field : fields) {
    line += ' ';
    if (*field.key != '\0') line.append(field.key).append("=");
    line += field.value.Text();
  }
  if (line.size() > kMaxLineBytes) line.resize(kMaxLineBytes);
  return line;
}

std::string FormatJson(Level level, std::string_view name, std::initializer_list<Field> fields) {
  nlohmann::ordered_json line = {{"ts", UnixMs()}, {"level", LevelName(level)}, {"event", name}};
  for (const Field& field : fields) {
    const char* key = *field.key != '\0' ? field.key : "text";
    if (field.value.is_number()) {
      line[key] = field.value.number();
    } else {
      line[key] = field.value.Text().substr(0, kMaxLineBytes);
    }
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Writes one line if its level is enabled. The caller holds `state.mutex`.
void Write(State& state, Level level, std::string_view name, std::initializer_list<Field> fields) {
  if (level < state.options.level) return;
  std::string line = state.options.json ? FormatJson(level, name, fields) : FormatText(name, fields);
  state.logger->log(ToSpdlog(level), spdlog::string_view_t(line));
  if (state.options.recent == 0) return;
  state.recent.push_back(std::move(line));
  if (state.recent.size() > state.options.recent) state.recent.pop_front();
}

// Returns the size in bytes of the UTF-8 character at the front of `text`, which must not be empty; 0 if the
// bytes are not valid UTF-8.
std::size_t CharacterSize(std::string_view text) {
  const auto byte = [text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  const unsigned char first = byte(0);
  const std::size_t size = first < 0x80 ? 1 : first < 0xc2 ? 0 : first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;
  if (first > 0xf4 || size == 0 || size > text.size()) return 0;
  for (std::size_t i = 1; i < size; ++i) {
    if ((byte(i) & 0xc0) != 0x80) return 0;
  }
  // Reject overlong encodings, UTF-16 surrogates and values above U+10FFFF.
  if ((first == 0xe0 && byte(1) < 0xa0) || (first == 0xed && byte(1) > 0x9f) ||
      (first == 0xf0 && byte(1) < 0x90) || (first == 0xf4 && byte(1) > 0x8f)) {
    return 0;
  }
  return size;
}

}  // namespace

bool ParseLevel(std::string_view name, Level& level) {
  for (const Level each : {Level::kDebug, Level::kInfo, Level::kWarning, Level::kError}) {
    if (name != LevelName(each)) continue;
    level = each;
    return true;
  }
  return false;
}

const char* LevelName(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      break;
  }
  return "error";
}

std::string Printable(std::string_view text) {
  static constexpr char kHex[] = "0123456789abcdef";
  std::string out;
  while (!text.empty()) {
    const auto first = static_cast<unsigned char>(text[0]);
    const std::size_t size = CharacterSize(text);
    // U+0080 to U+009F are control characters as well, and some terminals interpret them.
    const bool is_escaped = size == 0 || first < 0x20 || first == 0x7f ||
                            (size == 2 && first == 0xc2 && static_cast<unsigned char>(text[1]) < 0xa0);
    if (!is_escaped) {
      out.append(text.substr(0, size));
    } else {
      for (std::size_t i = 0; i < std::max<std::size_t>(size, 1); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        out.append("\\x").append(1, kHex[byte >> 4]).append(1, kHex[byte & 15]);
      }
    }
    text.remove_prefix(std::max<std::size_t>(size, 1));
  }
  return out;
}

std::string Value::Text() const {
  if (is_number()) return std::to_string(number());
  return Printable(std::get<std::string>(value_));
}

void Event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  State& state = GlobalState();
  const std::lock_guard lock(state.mutex);
  Write(state, level, name, fields);
}

// Limits the lines that peers cause, so that a flood of connections can neither fill the disk nor use up a
// core.
void PeerEvent(std::string_view name, std::initializer_list<Field> fields) {
  State& state = GlobalState();
  const std::lock_guard lock(state.mutex);
  if (!state.budget.TryConsume(std::chrono::steady_clock::now())) return;
  if (const long lines = state.budget.ResetSuppressedCount(); lines > 0) {
    Write(state, Level::kWarning, "log-lines-suppressed", {{"lines", lines}});
  }
  Write(state, Level::kInfo, name, fields);
}

void Configure(const Options& options) {
  State& state = GlobalState();
  const std::lock_guard lock(state.mutex);
  if (options.file.empty()) {
    state.UseStandardError();
  } else {
    try {
      auto sink = std::make_shared<spdlog::sinks::rotating_file_sink_mt>(options.file, options.rotate_bytes,
                                                                         options.keep);
      state.pool = std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1);
      auto logger = std::make_shared<spdlog::async_logger>("hingelink", std::move(sink), state.pool,
                                                           spdlog::async_overflow_policy::overrun_oldest);
      logger->flush_on(spdlog::level::trace);
      state.logger = std::move(logger);
    } catch (const spdlog::spdlog_ex& error) {
      throw std::runtime_error(error.what());
    }
    state.SetUpLogger();
  }
  state.options = options;
}

void SetLevel(Level level) {
  State& state = GlobalState();
  const std::lock_guard lock(state.mutex);
  state.options.level = level;
}

Level CurrentLevel() {
  State& state = GlobalState();
  const std::lock_guard lock(state.mutex);
  return state.options.level;
}

void Close() {
  State& state = GlobalState();
  const std::lock_guard lock(state.mutex);
  state.UseStandardError();
  state.logger->flush();
  state.pool.reset();  // Joins the thread of the pool after it has written the last queued line.
}

std::vector<std::string> RecentLines() {
  State& state = GlobalState();
  const std::lock_guard lock(state.mutex);
  return {state.recent.begin(), state.recent.end()};
}

std::uint64_t LostLineCount() {
  State& state = GlobalState();
  const std::lock_guard lock(state.mutex);
  return state.lost + state.standard_error->lost() + (state.pool ? state.pool->overrun_counter() : 0);
}

bool LogBudget::TryConsume(Time now) {
  const double elapsed_seconds = std::chrono::duration<double>(now - last_refill_).count();
  tokens_ = std::min<double>(kBurstLines, tokens_ + kLinesPerSecond * elapsed_seconds);
  last_refill_ = now;
  if (tokens_ < 1) {
    ++suppressed_lines_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

long LogBudget::ResetSuppressedCount() { return std::exchange(suppressed_lines_, 0); }

}  // namespace hingelink::log
