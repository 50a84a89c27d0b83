// The endpoints of the list, as it stands now.
//
// Job: apply updates of the endpoint list, keep what is known of each endpoint while it is the same process,
// and count the ready ones by release role. Order of calls: begin_update(), update() for each entry,
// end_update(), then count_roles(), which is called again when the release state changes. Units: instants. No
// I/O. Errors: none; an index past the end makes room for it.
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

  // `complete`: endpoints not named until end_update() are removed.
  void begin_update(bool complete);
  // Draws the endpoint's slow start jitter from `random` where the entry names another process.
  void update(const EndpointUpdate& update, Instant now, Pcg& random);
  // Removes what was not named, and returns the lowest version among the ready endpoints; none: none is
  // ready.
  std::optional<ReleaseVersion> end_update();
  void count_roles(const ReleaseTracker& release);

  std::size_t size() const { return endpoints_.size(); }
  bool contains(EndpointIndex index) const { return index < endpoints_.size(); }
  Endpoint& operator[](EndpointIndex index) { return endpoints_[index]; }
  const Endpoint& operator[](EndpointIndex index) const { return endpoints_[index]; }
  auto begin() { return endpoints_.begin(); }
  auto end() { return endpoints_.end(); }
  auto begin() const { return endpoints_.begin(); }
  auto end() const { return endpoints_.end(); }

  // Ready endpoints, now and at the most so far.
  std::size_t ready() const { return ready_; }
  std::size_t max_ready() const { return max_ready_; }
  // Of those, the ones whose version is, and is not, a canary (ReleaseTracker::is_canary).
  std::size_t canary_ready() const { return canary_ready_; }
  std::size_t stable_ready() const { return stable_ready_; }
  // When the last ready endpoint of the newest version started; far past: there is none.
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
