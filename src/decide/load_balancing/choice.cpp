#include "decide/load_balancing/choice.h"

#include <array>
#include <cstddef>

namespace hingelink::decide {
namespace {

// In the order of ChoiceReason. Records contain these words.
constexpr std::array<const char*, 6> kReasonNames = {"chosen", "only",      "untried",
                                                     "trial",  "all-aside", "repeat"};

}  // namespace

const char* ChoiceReasonName(ChoiceReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

}  // namespace hingelink::decide
