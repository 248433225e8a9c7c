#include "simulator_adapter/instance_table.h"

#include <stdexcept>
#include <utility>
#include <vector>

#include "simulator_adapter/settings_parser.h"

namespace hingelink::simulator_adapter {

std::string InstanceTable::Answer(const Batch& batch) {
  std::map<std::uint32_t, std::vector<Event>> dealt;
  for (const Record& record : batch.records) {
    const std::uint32_t instance = record.instance;
    if (const auto* open = std::get_if<OpenInstance>(&record.what)) {
      try {
        instances_.insert_or_assign(instance, ServerPolicy(ParseSettings(open->settings), open->seed));
      } catch (const std::invalid_argument& fault) {
        throw WireError("settings of instance " + std::to_string(instance) + ": " + fault.what());
      } catch (const WireError& fault) {
        throw WireError("instance " + std::to_string(instance) + ": " + fault.what());
      }
      dealt[instance].clear();
      continue;
    }
    if (instances_.count(instance) == 0) {
      throw WireError("event for instance " + std::to_string(instance) + ", which is not open");
    }
    if (std::holds_alternative<Retire>(record.what)) {
      instances_.erase(instance);
      dealt.erase(instance);
    } else {
      dealt[instance].push_back(std::get<Event>(record.what));
    }
  }
  ReplyWriter reply;
  for (const auto& [instance, events] : dealt) {
    for (const Action& action : instances_.at(instance).Step(batch.now_ms, events)) {
      reply.Add(instance, action);
    }
  }
  return reply.Take();
}

}  // namespace hingelink::simulator_adapter
