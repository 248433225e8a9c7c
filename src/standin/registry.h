// A stand-in of the platform's registry: takes reports, and knows who is listed.
#ifndef HINGELINK_STANDIN_REGISTRY_H_
#define HINGELINK_STANDIN_REGISTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "net/event.h"

namespace hingelink::standin {

struct RegistryOptions {
  std::string listen = "127.0.0.1:0";
  std::chrono::milliseconds lapse{3000};  // After the last report.
  double mute_share = 0;                  // Of the reports that get no answer, though they count.
  std::uint64_t seed = 1;
};

class Registry {
 public:
  struct Entry {
    net::Steady::time_point reported{};
    std::string state;
    std::uint64_t reports = 0;
  };

  // Listens at once. Throws where it cannot.
  Registry(event_base* base, const RegistryOptions& options);
  ~Registry();

  std::string address() const { return address_; }
  // The state last reported; empty where nothing was reported within the time.
  std::string state_of(const std::string& name) const;
  std::uint64_t reports() const { return reports_; }
  std::uint64_t bad_calls() const { return bad_calls_; }
  // From now on connections are taken and nothing is read (true), or all is well again.
  void SetDown(bool down);

 private:
  class Connection;

  void Accept(evutil_socket_t fd);
  // The response; empty: none is to be sent.
  std::string Take(std::string_view method, std::string_view path, std::string_view body);

  event_base* base_;
  RegistryOptions options_;
  net::ListenerPtr listener_;
  std::string address_;
  std::mt19937_64 draw_;
  std::map<std::string, Entry> entries_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::uint64_t reports_ = 0, bad_calls_ = 0;
  bool down_ = false;
};

}  // namespace hingelink::standin

#endif  // HINGELINK_STANDIN_REGISTRY_H_
