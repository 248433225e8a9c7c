#include "simulator_adapter/instance_table.h"

#include <stdexcept>
#include <utility>
#include <variant>
#include <vector>

#include "simulator_adapter/errors.h"
#include "simulator_adapter/settings_parser.h"

namespace hingelink::simulator_adapter {

std::string InstanceTable::ProcessBatch(const Batch& batch) {
  std::map<std::uint32_t, std::vector<Event>> events_by_instance;
  for (const Record& record : batch.records) {
    const std::uint32_t instance = record.instance;
    if (const auto* open = std::get_if<OpenInstance>(&record.content)) {
      Open(instance, *open);
      events_by_instance[instance].clear();
      continue;
    }
    if (instances_.count(instance) == 0)
      throw InstanceError(instance, "event for instance " + std::to_string(instance) + ", which is not open");
    if (const auto* event = std::get_if<Event>(&record.content)) {
      events_by_instance[instance].push_back(*event);
    } else {
      instances_.erase(instance);
      events_by_instance.erase(instance);
    }
  }
  ReplyEncoder reply;
  for (const auto& [instance, events] : events_by_instance) {
    for (const Action& action : instances_.at(instance).Step(batch.now_ms, events))
      reply.Add(instance, action);
  }
  return reply.Finish();
}

void InstanceTable::Open(std::uint32_t instance, const OpenInstance& open) {
  try {
    instances_.insert_or_assign(instance, ServerPolicy(ParseSettings(open.settings), open.seed));
  } catch (const std::invalid_argument& error) {
    throw InstanceError(instance, "settings of instance " + std::to_string(instance) + ": " + error.what());
  } catch (const SettingsError& error) {
    throw InstanceError(instance, "instance " + std::to_string(instance) + ": " + error.what());
  }
}

}  // namespace hingelink::simulator_adapter
