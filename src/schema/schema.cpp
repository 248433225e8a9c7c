#include "schema/schema.h"

#include <stdexcept>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace hingelink::schema {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxFoundCharacters = 60;  // Longer values are cut in error messages.

// Converts the path of an error as valijson reports it, such as {"<root>", "[node]", "[stop_ms]"}, to a JSON
// pointer.
std::string ToJsonPointer(const std::vector<std::string>& steps) {
  std::string pointer;
  for (std::string step : steps) {
    if (step == "<root>") continue;
    if (step.size() >= 2 && step.front() == '[' && step.back() == ']') step = step.substr(1, step.size() - 2);
    pointer += '/';
    for (const char c : step) pointer += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
  }
  return pointer;
}

// Returns the value at `pointer` as JSON text for an error message; empty if there is no value.
std::string ValueText(const Json& document, const std::string& pointer) {
  try {
    std::string text =
        document.at(Json::json_pointer(pointer)).dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > kMaxFoundCharacters) text = text.substr(0, kMaxFoundCharacters - 3) + "...";
    return text;
  } catch (const Json::exception&) {
    return {};
  }
}

}  // namespace

std::string ValidationError::Text() const {
  return (pointer.empty() ? "the whole document" : pointer) +
         (found.empty() ? ": " : ": found " + found + "; ") + expected;
}

struct Schema::Compiled {
  valijson::Schema schema;
};

Schema::Schema(std::string_view text) : compiled_(std::make_unique<Compiled>()) {
  const Json document = Json::parse(text);
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(document), compiled_->schema);
}
Schema::~Schema() = default;
Schema::Schema(Schema&&) noexcept = default;

std::vector<ValidationError> Schema::Check(const Json& document) const {
  valijson::Validator validator;
  valijson::ValidationResults results;
  std::vector<ValidationError> errors;
  if (validator.validate(compiled_->schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
    return errors;
  }
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    const std::string pointer = ToJsonPointer(error.context);
    // Valijson reports an invalid member or item once for the value itself and once for each enclosing object
    // or array. Only the first report is specific; skip the others.
    if (error.description.starts_with("Failed to validate against schema") ||
        error.description.starts_with("Failed to validate item")) {
      continue;
    }
    errors.push_back({pointer, ValueText(document, pointer), error.description});
  }
  if (errors.empty()) errors.push_back({"", "", "does not match the schema"});
  return errors;
}

}  // namespace hingelink::schema
