// The classes as configured, and what is learned about each: the cost of an execution, the mix of arrivals,
// and how many of its requests are served.
//
// A class that was removed by a reconfiguration keeps its entry while requests of it are in flight; after
// that the entry is reused, so that the table does not grow with each reconfiguration.
#ifndef HINGELINK_POLICY_CLASS_TABLE_H_
#define HINGELINK_POLICY_CLASS_TABLE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "hingelink/server_policy.h"
#include "policy/open_request.h"

namespace hingelink::policy {

struct ClassEntry {
  RequestClass config;
  bool configured = true;       // Is among the settings given last.
  int open_requests = 0;        // In flight.
  LearnedClass learned;         // Its name is the class's; with one sample it is the initial estimate.
  double arrival_fraction = 0;  // Of recent arrivals.
  double served_fraction = 1;   // Of its recently decided requests: started, not rejected.
};

// Not thread-safe. `settings` must outlive the object.
class ClassTable {
 public:
  explicit ClassTable(const Settings& settings) : settings_(settings) {}

  // Takes over Settings::classes. Classes of the same name keep their entry.
  void Configure();

  std::size_t size() const { return entries_.size(); }
  const ClassEntry& operator[](std::size_t index) const { return entries_[index]; }
  // The entry of a class by its index in Settings::classes; nothing if there is no such class.
  std::optional<std::size_t> IndexOf(std::size_t configured_index) const;

  const RequestClass& ConfigOf(const OpenRequest& request) const {
    return entries_[request.class_index].config;
  }
  const LearnedClass& LearnedOf(const OpenRequest& request) const {
    return entries_[request.class_index].learned;
  }
  bool IsIdempotent(const OpenRequest& request) const {
    return ConfigOf(request).idempotency == Idempotency::kIdempotent;
  }
  bool IsKeyed(const OpenRequest& request) const {
    return ConfigOf(request).idempotency == Idempotency::kKeyed;
  }

  void RequestOpened(std::size_t index) { ++entries_[index].open_requests; }
  void RequestClosed(std::size_t index) { --entries_[index].open_requests; }
  // Updates the fractions.
  void CountArrival(std::size_t index);
  void CountStarted(std::size_t index);
  void CountRejected(std::size_t index);

  // Learns from an execution that ended with kOk after `elapsed_ms`.
  void Learn(const OpenRequest& request, double elapsed_ms);
  // Length of recent executions relative to the learned means; 1: as usual.
  double pace() const { return pace_; }
  // How much time, in ms, must be left before the latency objective of `request` for a start, or for the rest
  // of its execution behind an upstream call, to make sense.
  double RequiredRunMs(const OpenRequest& request) const;
  double RequiredCoreTimeMs(const OpenRequest& request) const;
  // The longest learned mean of the classes that are configured or have requests in flight, in ms.
  double LongestMeanRunMs() const;

  // What a request of this class adds to the operator's goal for each ms of work: its part of all weight and,
  // for the class that is served worst, its part in that class's result, so that no class bears all of a
  // loss.
  double GoalWeightPerMs(std::size_t index) const;

  void Import(const Learned& learned);
  Learned Export() const;

 private:
  // Initializes a free entry, or a new one, for a class. Returns its index.
  std::size_t AddEntry(const RequestClass& config);
  double RequestWeight(const ClassEntry& entry) const;

  const Settings& settings_;
  std::vector<ClassEntry> entries_;
  std::vector<std::size_t> entry_of_;  // By index in Settings::classes.
  double pace_ = 1;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_CLASS_TABLE_H_
