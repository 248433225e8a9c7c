#include "decide/load_balancing/endpoint.h"

#include <array>

namespace hingelink::decide {
namespace {

// In the order of the enumerations. Records contain these words.
constexpr std::array<const char*, 5> kStateNames = {"good", "back", "aside", "trial", "down"};
constexpr std::array<const char*, 4> kCauseNames = {"none", "errors", "latency", "silence"};

}  // namespace

const char* EndpointStateName(EndpointState state) { return kStateNames.at(static_cast<std::size_t>(state)); }

const char* EjectionCauseName(EjectionCause cause) { return kCauseNames.at(static_cast<std::size_t>(cause)); }

}  // namespace hingelink::decide
