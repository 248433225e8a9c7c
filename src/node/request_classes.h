// Index of the classes and tenants of the current settings by name.
#ifndef HINGELINK_NODE_REQUEST_CLASSES_H_
#define HINGELINK_NODE_REQUEST_CLASSES_H_

#include <chrono>
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
  // Requests share ownership of their class, so a class that was removed from the settings lives as long as
  // its last request.
  struct Class {
    std::string name;
    hingelink::Idempotency idempotency = hingelink::Idempotency::kIdempotent;
    // Unique among current and removed classes, so that no cached result of a removed class answers a request
    // of a new class with the same name.
    std::uint64_t id = 0;
    // The position of the class in Settings::classes.
    std::uint16_t index = 0;
    std::chrono::duration<double, std::milli> deadline{0};
  };
  using ClassPtr = std::shared_ptr<const Class>;

  // Replaces the classes and tenants. A class keeps its id if its name and idempotency are unchanged.
  void Reconfigure(const hingelink::Settings& settings);

  // Null if the current settings have no such class.
  [[nodiscard]] ClassPtr Find(std::string_view name) const;
  // A class that had this name before the last change of the settings, as long as it has an open request.
  // Null if there is none.
  [[nodiscard]] ClassPtr FindRemoved(std::string_view name) const;
  [[nodiscard]] bool has_tenants() const { return !tenants_.empty(); }
  // The index of a tenant in Settings::tenants. 0 without configured tenants; nullopt for an unknown name.
  [[nodiscard]] std::optional<std::uint16_t> FindTenant(const std::string& name) const;
  // Nullopt if there is no tenant with this index.
  [[nodiscard]] std::optional<std::string> TenantName(std::uint16_t index) const;

 private:
  // The map keys refer to Class::name of the values.
  std::unordered_map<std::string_view, ClassPtr> classes_;
  std::unordered_map<std::string, std::weak_ptr<const Class>> removed_;
  std::unordered_map<std::string, std::uint16_t> tenants_;
  std::uint64_t last_id_ = 0;
};

}  // namespace hingelink::node

#endif  // HINGELINK_NODE_REQUEST_CLASSES_H_
