// The request classes: their configuration, the learned cost of an execution, and the fractions of arrivals
// and of served requests.
//
// A class that a reconfiguration removes keeps its entry while requests of the class are in flight. After
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
  bool configured = true;       // Whether the current settings contain the class.
  int open_requests = 0;        // Requests of the class in flight.
  LearnedClass learned;         // With one sample, this is the initial estimate.
  double arrival_fraction = 0;  // Fraction of all recent arrivals that are of this class.
  double served_fraction = 1;   // Fraction of the class's recent requests that were started, not rejected.
};

// Not thread-safe. `settings` must outlive the object.
class ClassTable {
 public:
  explicit ClassTable(const Settings& settings) : settings_(settings) {}

  // Applies Settings::classes. Classes of the same name keep their entry.
  void Configure();

  std::size_t size() const { return entries_.size(); }
  const ClassEntry& operator[](std::size_t index) const { return entries_[index]; }
  // Maps an index in Settings::classes to the index of the class's entry. Returns nullopt if there is no such
  // class.
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
  // Update arrival_fraction and served_fraction.
  void CountArrival(std::size_t index);
  void CountStarted(std::size_t index);
  void CountRejected(std::size_t index);

  // Updates the learned costs with an execution that ended with kOk after `elapsed_ms`.
  void Learn(const OpenRequest& request, double elapsed_ms);
  // Mean duration of the last few executions relative to the learned means; 1 if they match.
  double pace() const { return pace_; }
  // Time in ms that must be left before the latency objective of `request` to start its execution.
  double RequiredRunMs(const OpenRequest& request) const;
  // Time in ms that must be left before the latency objective of `request` when its upstream call ends.
  double RequiredCoreTimeMs(const OpenRequest& request) const;
  // The longest learned mean duration in ms, of the classes that are configured or have requests in flight.
  double LongestMeanRunMs() const;

  // Contribution of a request of this class to the operator's goal, per ms of work. The contribution is the
  // request's part of the total weight. For the class with the lowest served fraction, the request's part of
  // that class's result is added, so that load shedding does not fall on one class only.
  double GoalWeightPerMs(std::size_t index) const;

  void Import(const Learned& learned);
  Learned Export() const;

 private:
  // Initializes a free or new entry for a class and returns the index of the entry.
  std::size_t AddEntry(const RequestClass& config);
  double RequestWeight(const ClassEntry& entry) const;

  const Settings& settings_;
  std::vector<ClassEntry> entries_;
  std::vector<std::size_t> entry_index_;  // By index in Settings::classes.
  double pace_ = 1;
};

}  // namespace hingelink::policy

#endif  // HINGELINK_POLICY_CLASS_TABLE_H_
