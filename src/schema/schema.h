// Validation of JSON documents against a JSON Schema. Validation reports all errors of a document at once,
// each with its place, the value found and the expected value.
#ifndef HINGELINK_SCHEMA_SCHEMA_H_
#define HINGELINK_SCHEMA_SCHEMA_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hingelink::schema {

struct ValidationError {
  std::string pointer;   // JSON pointer (RFC 6901) to the invalid value; empty for the whole document.
  std::string found;     // The invalid value as JSON, cut at 60 characters; empty if there is no value.
  std::string expected;  // Description of the violated rule.

  // Returns the error as one line: "/node/stop_ms: found -5; value must be ...".
  std::string Text() const;
};

// A compiled JSON Schema.
class Schema {
 public:
  // Compiles the schema. Throws an exception derived from std::exception if `text` is not a valid schema.
  explicit Schema(std::string_view text);
  ~Schema();
  Schema(Schema&&) noexcept;
  // Returns all errors of the document; empty if it conforms to the schema.
  std::vector<ValidationError> Check(const nlohmann::json& document) const;

 private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

// The schemas in deploy/schema/, embedded in the program at build time.
std::string_view ControlRequestSchema();
std::string_view ControlSnapshotSchema();
std::string_view ApplianceSchema();
std::string_view PeersSchema();
std::string_view ScenarioSchema();
std::string_view SeriesSchema();
std::string_view ServicesSchema();

}  // namespace hingelink::schema

#endif  // HINGELINK_SCHEMA_SCHEMA_H_
