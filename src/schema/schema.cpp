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

constexpr std::size_t kMostFound = 60;

// "[node][stop_ms]" steps, as the library gives them, to a JSON pointer.
std::string ToPointer(const std::vector<std::string>& steps) {
  std::string pointer;
  for (std::string step : steps) {
    if (step == "<root>") continue;
    if (step.size() >= 2 && step.front() == '[' && step.back() == ']') step = step.substr(1, step.size() - 2);
    pointer += '/';
    for (const char c : step) pointer += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
  }
  return pointer;
}

std::string FoundAt(const Json& document, const std::string& pointer) {
  try {
    std::string text =
        document.at(Json::json_pointer(pointer)).dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > kMostFound) text = text.substr(0, kMostFound - 3) + "...";
    return text;
  } catch (const Json::exception&) {
    return {};
  }
}

}  // namespace

std::string ValidationError::Text() const {
  return (pointer.empty() ? "the whole document" : pointer) +
         (found.empty() ? ": " : ": found " + found + "; ") + wanted;
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
  std::vector<ValidationError> faults;
  if (validator.validate(compiled_->schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
    return faults;
  }
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    const std::string pointer = ToPointer(error.context);
    // That a member or item does not match is told of the member itself, more closely.
    if (error.description.starts_with("Failed to validate against schema") ||
        error.description.starts_with("Failed to validate item")) {
      continue;
    }
    faults.push_back({pointer, FoundAt(document, pointer), error.description});
  }
  if (faults.empty()) faults.push_back({"", "", "does not match the schema"});
  return faults;
}

}  // namespace hingelink::schema
