#include "node/request_classes.h"

#include <algorithm>
#include <utility>

namespace hingelink::node {

void RequestClasses::Reconfigure(const hingelink::Settings& settings) {
  std::erase_if(removed_, [](const auto& removed) { return removed.second.expired(); });
  for (const auto& [name, previous] : classes_) removed_.try_emplace(previous->name, previous);
  std::unordered_map<std::string_view, ClassPtr> classes;
  std::uint16_t index = 0;
  for (const hingelink::RequestClass& configured : settings.classes) {
    const ClassPtr previous = Find(configured.name);
    const bool unchanged = previous && previous->idempotency == configured.idempotency;
    const auto current = std::make_shared<const Class>(
        Class{configured.name, configured.idempotency, unchanged ? previous->id : ++last_id_, index++,
              std::chrono::duration<double, std::milli>(configured.deadline_ms)});
    classes.emplace(current->name, current);
  }
  classes_ = std::move(classes);
  tenants_.clear();
  for (const hingelink::Tenant& tenant : settings.tenants) {
    tenants_.emplace(tenant.name, static_cast<std::uint16_t>(tenants_.size()));
  }
}

RequestClasses::ClassPtr RequestClasses::Find(std::string_view name) const {
  const auto found = classes_.find(name);
  return found == classes_.end() ? nullptr : found->second;
}

RequestClasses::ClassPtr RequestClasses::FindRemoved(std::string_view name) const {
  const auto found = removed_.find(std::string(name));
  return found == removed_.end() ? nullptr : found->second.lock();
}

std::optional<std::uint16_t> RequestClasses::FindTenant(const std::string& name) const {
  if (tenants_.empty()) return 0;
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::string> RequestClasses::TenantName(std::uint16_t index) const {
  const auto found = std::find_if(tenants_.begin(), tenants_.end(),
                                  [index](const auto& tenant) { return tenant.second == index; });
  return found == tenants_.end() ? std::nullopt : std::optional(found->first);
}

}  // namespace hingelink::node
