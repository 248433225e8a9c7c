#include "standin/faults.h"

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace hingelink::standin {

std::vector<PoolFault> ParseFaults(const std::string& text) {
  static const std::map<std::string, PoolFault::Kind> kKinds = {{"break-links", PoolFault::Kind::kBreakLinks},
                                                                {"hang", PoolFault::Kind::kHang},
                                                                {"slow", PoolFault::Kind::kSlow},
                                                                {"errors", PoolFault::Kind::kErrors},
                                                                {"remark", PoolFault::Kind::kRemark}};
  const nlohmann::json list = nlohmann::json::parse(text, nullptr, false);
  if (!list.is_array()) throw std::runtime_error("fault script: no JSON list");
  std::vector<PoolFault> faults;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const auto wrong = [i](const std::string& what) {
      return std::runtime_error("fault script: /" + std::to_string(i) + ": " + what);
    };
    const nlohmann::json& entry = list[i];
    if (!entry.is_object()) throw wrong("no object");
    const auto number = [&](const char* key, double otherwise) {
      if (!entry.contains(key)) return otherwise;
      if (!entry[key].is_number() || entry[key].get<double>() < 0) {
        throw wrong(std::string(key) + " is no number of 0 or more");
      }
      return entry[key].get<double>();
    };
    for (const auto& [key, value] : entry.items()) {
      if (key != "fault" && key != "at_ms" && key != "for_ms" && key != "factor")
        throw wrong("unknown '" + key + "'");
    }
    const auto kind = entry.contains("fault") && entry["fault"].is_string()
                          ? kKinds.find(entry["fault"].get<std::string>())
                          : kKinds.end();
    if (kind == kKinds.end()) throw wrong("fault is none of break-links, hang, slow, errors, remark");
    faults.push_back(
        {kind->second, Millis(number("at_ms", 0)), Millis(number("for_ms", 0)), number("factor", 1)});
  }
  return faults;
}

}  // namespace hingelink::standin
