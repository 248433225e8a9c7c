// The classes and tenants of the current settings, by name.
#ifndef HINGELINK_NODE_REQUEST_CLASSES_H_
#define HINGELINK_NODE_REQUEST_CLASSES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hingelink/server_policy.h"

namespace hingelink::node {

// Not thread-safe.
class RequestClasses {
 public:
  // A class as a request holds it: a class that was removed lives as long as its last request.
  struct Class {
    std::string name;
    hingelink::Idempotency idempotency = hingelink::Idempotency::kIdempotent;
    // Never used again, so that no cached result of a removed class answers a new one.
    std::uint64_t id = 0;
    // Its index in the settings.
    std::uint16_t index = 0;
  };
  using ClassPtr = std::shared_ptr<const Class>;

  // Replaces classes and tenants. A class keeps its id if its name and idempotency stay.
  void Reconfigure(const hingelink::Settings& settings);

  // Null if there is no such class.
  [[nodiscard]] ClassPtr Find(std::string_view name) const;
  [[nodiscard]] bool has_tenants() const { return !tenants_.empty(); }
  // The index of a tenant in the settings, or 0 without tenants; none if the name is unknown.
  [[nodiscard]] std::optional<std::uint16_t> FindTenant(const std::string& name) const;
  // None if there is no such tenant.
  [[nodiscard]] std::optional<std::string> TenantName(std::uint16_t index) const;

 private:
  // The keys lie in the classes.
  std::unordered_map<std::string_view, ClassPtr> classes_;
  std::unordered_map<std::string, std::uint16_t> tenants_;
  std::uint64_t last_id_ = 0;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_REQUEST_CLASSES_H_
