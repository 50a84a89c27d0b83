// The endpoints of the current endpoint list, by index.
//
// Applies updates of the list, keeps the state of each endpoint while it is the same process, and counts the
// ready endpoints by release role. begin_update(), update() for each entry, end_update() and count_roles()
// are called in this order; count_roles() is called again when the release state changes. Performs no I/O and
// reports no errors. An index past the end grows the table.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "base/pcg.hpp"
#include "policy/endpoint.hpp"
#include "policy/release_tracker.hpp"
#include "policy/router_policy.hpp"

namespace ashbeam::policy {

class EndpointTable {
 public:
  EndpointTable(std::size_t class_count, unsigned machine_type_count)
      : class_count_(class_count), machine_type_count_(machine_type_count) {}

  // If `complete`, the endpoints that are not named before end_update() are removed.
  void begin_update(bool complete);
  // Adds or changes one endpoint. If the entry is of a different process, its state is reset and its slow
  // start jitter is drawn from `random`.
  void update(const EndpointUpdate& update, Instant now, Pcg& random);
  // Removes the endpoints that were not named. Returns the lowest version of the ready endpoints, or nothing
  // if none is ready.
  std::optional<ReleaseVersion> end_update();
  // Updates the counts by release role.
  void count_roles(const ReleaseTracker& release);

  std::size_t size() const { return endpoints_.size(); }
  bool contains(EndpointIndex index) const { return index < endpoints_.size(); }
  Endpoint& operator[](EndpointIndex index) { return endpoints_[index]; }
  const Endpoint& operator[](EndpointIndex index) const { return endpoints_[index]; }
  auto begin() { return endpoints_.begin(); }
  auto end() { return endpoints_.end(); }
  auto begin() const { return endpoints_.begin(); }
  auto end() const { return endpoints_.end(); }

  // Returns the number of ready endpoints.
  std::size_t ready() const { return ready_; }
  // Returns the largest number of ready endpoints so far.
  std::size_t max_ready() const { return max_ready_; }
  // Return the number of ready endpoints whose version is, or is not, under the exposure cap
  // (ReleaseTracker::is_capped()).
  std::size_t canary_ready() const { return canary_ready_; }
  std::size_t stable_ready() const { return stable_ready_; }
  // Returns the latest start of a ready endpoint of the newest version, or Instant() if there is none.
  Instant newest_canary_start() const { return newest_canary_start_; }

 private:
  std::size_t class_count_;
  unsigned machine_type_count_;
  std::vector<Endpoint> endpoints_;
  std::size_t ready_ = 0;
  std::size_t max_ready_ = 0;
  std::size_t canary_ready_ = 0;
  std::size_t stable_ready_ = 0;
  Instant newest_canary_start_;
};

}  // namespace ashbeam::policy
