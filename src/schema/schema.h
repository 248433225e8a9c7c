// JSON checked against a JSON Schema. Every fault is told at once, each with where it is, what stands there
// and what is wanted.
#ifndef HINGELINK_SCHEMA_SCHEMA_H_
#define HINGELINK_SCHEMA_SCHEMA_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hingelink::schema {

struct ValidationError {
  std::string pointer;  // JSON pointer (RFC 6901); empty: the whole document.
  std::string found;    // What stands there, as JSON, cut at 60 characters; empty where nothing does.
  std::string wanted;

  // As one line: "/node/stop_ms: found -5; value must be ...".
  std::string Text() const;
};

class Schema {
 public:
  // Throws std::runtime_error where the text is no schema.
  explicit Schema(std::string_view text);
  ~Schema();
  Schema(Schema&&) noexcept;
  // Empty where the document is good.
  std::vector<ValidationError> Check(const nlohmann::json& document) const;

 private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

// The schemas of deploy/schema/, as they were at the build.
std::string_view ControlRequestSchema();
std::string_view ControlSnapshotSchema();
std::string_view ApplianceSchema();
std::string_view PeersSchema();
std::string_view ScenarioSchema();
std::string_view SeriesSchema();
std::string_view ServicesSchema();

}  // namespace hingelink::schema

#endif  // HINGELINK_SCHEMA_SCHEMA_H_
