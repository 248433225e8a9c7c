#include "simulator_adapter/codec.h"

#include <bit>
#include <cmath>
#include <cstring>
#include <limits>
#include <type_traits>
#include <utility>

#include "simulator_adapter/errors.h"

namespace hingelink::simulator_adapter {
namespace {

static_assert(std::endian::native == std::endian::little, "frames are little-endian");

// The codes of the protocol, named after the events and actions of the policy. Error messages use the field
// names of the protocol.
enum class EventCode : std::uint8_t {
  kOpenInstance = 1,
  kArrival = 2,
  kFinished = 3,
  kUpstreamCallRequested = 4,
  kUpstreamCallFinished = 5,
  kDrainNotice = 6,
  kCallerDisconnected = 7,
  kTimerFired = 8,
  kRetireInstance = 9,
};

enum class ActionCode : std::uint8_t {
  kPublishLoadSignal = 1,
  kSetTimer = 2,
  kReject = 3,
  kStartUpstreamCall = 4,
  kRetainKey = 5,
  kLog = 6,
  kCancelRun = 7,
  kStart = 8,
  kUseFallback = 9,
  kCloseIdle = 10,
  kReplay = 12,
  kReleaseKey = 13,
  kFail = 14,
  kSetHealth = 15,
};

// Bits of the field "opts".
constexpr std::uint16_t kExpectedWorkBit = 1;  // The field "estimateMs" is valid.
constexpr std::uint16_t kRetryBit = 2;
constexpr std::uint16_t kWriteBit = 4;

// Number of actions (4 bytes) and frame length (4).
constexpr std::size_t kReplyHeaderBytes = 8;

// Reads the fields of a frame in order. `field` is the name for error messages. All functions throw
// FrameError if the field exceeds the frame.
class FrameReader {
 public:
  explicit FrameReader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T Get(const char* field) {
    static_assert(std::is_trivially_copyable_v<T>);
    Require(sizeof(T), field);
    T value;
    std::memcpy(&value, bytes_.data() + offset_, sizeof(T));
    offset_ += sizeof(T);
    return value;
  }

  // Reads a double. Throws FrameError if the value is not finite.
  double Double(const char* field) { return RequireFinite(Get<double>(field), field); }
  // Reads a float. Throws FrameError if the value is not finite.
  double Float(const char* field) { return RequireFinite(Get<float>(field), field); }

  // Reads `count` bytes.
  std::string Bytes(std::size_t count, const char* field) {
    Require(count, field);
    std::string text(bytes_.substr(offset_, count));
    offset_ += count;
    return text;
  }

  std::size_t offset() const { return offset_; }
  std::size_t remaining() const { return bytes_.size() - offset_; }

 private:
  void Require(std::size_t count, const char* field) const {
    if (remaining() < count) {
      throw FrameError(offset_, std::string(field) + " at byte " + std::to_string(offset_) +
                                    " exceeds the frame of " + std::to_string(bytes_.size()) + " bytes");
    }
  }

  double RequireFinite(double value, const char* field) const {
    if (!std::isfinite(value)) {
      throw FrameError(offset_, std::string(field) + " before byte " + std::to_string(offset_) +
                                    " is not a finite number");
    }
    return value;
  }

  std::string_view bytes_;
  std::size_t offset_ = 0;
};

Outcome ToOutcome(std::uint16_t code, std::size_t offset) {
  switch (code) {
    case 0:
      return Outcome::kError;
    case 1:
      return Outcome::kOk;
    case 2:
      return Outcome::kFull;
    case 3:
      return Outcome::kTimeout;
    case 4:
      return Outcome::kConnectFailed;
    case 5:
      return Outcome::kReset;
    case 6:
      return Outcome::kCancelled;
    case 7:
      return Outcome::kNotStarted;
    default:
      throw FrameError(
          offset, "unknown outcome code " + std::to_string(code) + " before byte " + std::to_string(offset));
  }
}

Arrival ReadArrival(FrameReader& reader) {
  Arrival arrival;
  arrival.id = reader.Get<std::uint64_t>("ticket");
  arrival.original = reader.Get<std::uint64_t>("forerunner");
  arrival.reserved_kb = reader.Float("kb");
  arrival.subject = reader.Get<std::uint64_t>("entity");
  arrival.rank = reader.Float("prio");
  arrival.tenant = reader.Get<std::uint16_t>("customer");
  arrival.read_delay_ms = reader.Double("queuedForMs");
  arrival.caller = reader.Get<std::uint32_t>("who");
  const auto options = reader.Get<std::uint16_t>("opts");
  arrival.expected_work_ms = reader.Double("estimateMs");
  if ((options & kExpectedWorkBit) == 0) arrival.expected_work_ms = 0;
  arrival.is_retry = (options & kRetryBit) != 0;
  arrival.is_write = (options & kWriteBit) != 0;
  arrival.remaining_wait_ms = reader.Double("budgetMs");
  arrival.request_class = reader.Get<std::uint16_t>("priority");
  return arrival;
}

Finished ReadFinished(FrameReader& reader) {
  Finished finished;
  finished.id = reader.Get<std::uint64_t>("ticket");
  finished.elapsed_ms = reader.Double("costTimeMs");
  finished.outcome = ToOutcome(reader.Get<std::uint16_t>("outcome"), reader.offset());
  return finished;
}

UpstreamCallFinished ReadUpstreamCallFinished(FrameReader& reader) {
  UpstreamCallFinished finished;
  finished.id = reader.Get<std::uint64_t>("ticket");
  finished.outcome = ToOutcome(reader.Get<std::uint16_t>("outcome"), reader.offset());
  finished.elapsed_ms = reader.Double("costTimeMs");
  return finished;
}

TimerFired ReadTimerFired(FrameReader& reader) {
  TimerFired fired;
  fired.token = reader.Get<std::uint32_t>("handle");
  const auto count = reader.Get<std::uint8_t>("serverStats");
  for (int i = 0; i < count; ++i) fired.gauges.push_back(reader.Float("serverStats"));
  return fired;
}

OpenInstance ReadOpenInstance(FrameReader& reader) {
  OpenInstance open;
  open.seed = reader.Get<std::uint64_t>("salt");
  open.settings = reader.Bytes(reader.Get<std::uint32_t>("profileData"), "profileData");
  return open;
}

Record ReadRecord(FrameReader& reader) {
  const std::size_t start = reader.offset();
  const auto code = reader.Get<std::uint8_t>("event code");
  if (code < static_cast<int>(EventCode::kOpenInstance) ||
      code > static_cast<int>(EventCode::kRetireInstance)) {
    throw FrameError(start,
                     "unknown event code " + std::to_string(code) + " at byte " + std::to_string(start));
  }
  Record record;
  record.instance = reader.Get<std::uint32_t>("server");
  switch (static_cast<EventCode>(code)) {
    case EventCode::kOpenInstance:
      record.content = ReadOpenInstance(reader);
      break;
    case EventCode::kRetireInstance:
      record.content = RetireInstance{};
      break;
    case EventCode::kArrival:
      record.content = Event(ReadArrival(reader));
      break;
    case EventCode::kFinished:
      record.content = Event(ReadFinished(reader));
      break;
    case EventCode::kUpstreamCallRequested:
      record.content = Event(UpstreamCallRequested{reader.Get<std::uint64_t>("ticket")});
      break;
    case EventCode::kUpstreamCallFinished:
      record.content = Event(ReadUpstreamCallFinished(reader));
      break;
    case EventCode::kDrainNotice:
      record.content = Event(DrainNotice{reader.Double("budgetMs")});
      break;
    case EventCode::kCallerDisconnected:
      record.content = Event(CallerDisconnected{reader.Get<std::uint64_t>("ticket")});
      break;
    case EventCode::kTimerFired:
      record.content = Event(ReadTimerFired(reader));
      break;
  }
  return record;
}

template <typename T>
void AppendValue(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

// Appends one action to the reply in the encoding of the protocol.
class ActionEncoder {
 public:
  ActionEncoder(std::string& out, std::uint32_t instance) : out_(out), instance_(instance) {}

  void operator()(const Start& start) const { AppendFields(ActionCode::kStart, start.id); }
  void operator()(const Replay& replay) const { AppendFields(ActionCode::kReplay, replay.id); }
  void operator()(const Reject& reject) const {
    AppendFields(ActionCode::kReject, reject.id, static_cast<std::uint8_t>(reject.no_other_server),
                 reject.retry_after_ms);
  }
  void operator()(const Fail& fail) const { AppendFields(ActionCode::kFail, fail.id); }
  void operator()(const CancelRun& cancel) const { AppendFields(ActionCode::kCancelRun, cancel.id); }
  void operator()(const UseFallback& fallback) const { AppendFields(ActionCode::kUseFallback, fallback.id); }
  void operator()(const StartUpstreamCall& call) const {
    AppendFields(ActionCode::kStartUpstreamCall, call.id, call.timeout_ms);
  }
  void operator()(const RetainKey& retain) const {
    AppendFields(ActionCode::kRetainKey, retain.id, retain.ttl_ms);
  }
  void operator()(const ReleaseKey& release) const { AppendFields(ActionCode::kReleaseKey, release.id); }
  void operator()(const SetTimer& timer) const {
    AppendFields(ActionCode::kSetTimer, timer.in_ms, timer.token);
  }
  void operator()(const SetHealth& health) const {
    AppendFields(ActionCode::kSetHealth, static_cast<std::uint8_t>(health.healthy),
                 static_cast<std::uint8_t>(health.shallow));
  }
  void operator()(const PublishLoadSignal& signal) const {
    AppendFields(ActionCode::kPublishLoadSignal, static_cast<float>(signal.value));
  }
  void operator()(const CloseIdle& close) const { AppendFields(ActionCode::kCloseIdle, close.after_ms); }
  void operator()(const Log& log) const {
    // The length field has 16 bits; longer texts are cut.
    const std::string_view text =
        std::string_view(log.text).substr(0, std::numeric_limits<std::uint16_t>::max());
    AppendFields(ActionCode::kLog, static_cast<std::uint16_t>(text.size()));
    out_.append(text);
  }

 private:
  template <typename... Fields>
  void AppendFields(ActionCode code, Fields... fields) const {
    AppendValue(out_, static_cast<std::uint8_t>(code));
    AppendValue(out_, instance_);
    (AppendValue(out_, fields), ...);
  }

  std::string& out_;
  std::uint32_t instance_;
};

}  // namespace

std::size_t FrameLength(std::string_view header) {
  FrameReader reader(header);
  reader.Get<double>("clock");
  const auto length = reader.Get<std::uint32_t>("length");
  if (length < kBatchHeaderBytes) {
    throw FrameError(reader.offset(), "frame length " + std::to_string(length) +
                                          " is less than the header of " + std::to_string(kBatchHeaderBytes) +
                                          " bytes");
  }
  return length;
}

Batch DecodeBatch(std::string_view frame) {
  if (const std::size_t length = FrameLength(frame); length != frame.size()) {
    throw FrameError(0, "frame length " + std::to_string(length) + " does not match the " +
                            std::to_string(frame.size()) + " bytes received");
  }
  FrameReader reader(frame);
  Batch batch;
  batch.now_ms = reader.Double("clock");
  reader.Get<std::uint32_t>("length");
  const auto count = reader.Get<std::uint32_t>("number of records");
  for (std::uint32_t i = 0; i < count; ++i) {
    if (reader.remaining() == 0) {
      throw FrameError(reader.offset(), "record " + std::to_string(i + 1) + " of " + std::to_string(count) +
                                            " exceeds the frame of " + std::to_string(frame.size()) +
                                            " bytes");
    }
    batch.records.push_back(ReadRecord(reader));
  }
  if (reader.remaining() != 0) {
    throw FrameError(reader.offset(), std::to_string(reader.remaining()) +
                                          " unexpected bytes after the last record, at byte " +
                                          std::to_string(reader.offset()));
  }
  return batch;
}

void ReplyEncoder::Add(std::uint32_t instance, const Action& action) {
  ++action_count_;
  std::visit(ActionEncoder(body_, instance), action);
}

std::string ReplyEncoder::Finish() {
  const std::size_t length = kReplyHeaderBytes + body_.size();
  std::string frame;
  frame.reserve(length);
  AppendValue(frame, std::exchange(action_count_, 0));
  AppendValue(frame, static_cast<std::uint32_t>(length));
  frame += body_;
  body_.clear();
  return frame;
}

}  // namespace hingelink::simulator_adapter
