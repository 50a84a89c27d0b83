// The ids of requests in flight and of those answered lately, so that no second request is accepted with one
// of them.
#pragma once
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace ashbeam {

class RecentRequestIds {
 public:
  // Remembers at most `max_ids`: past that the ids that would be forgotten first are forgotten early.
  explicit RecentRequestIds(std::size_t max_ids) : max_ids_(max_ids) {}

  // Remembers the id until `expiry`; false, and nothing done, if it is remembered already.
  bool insert(std::string_view id, Instant now, Instant expiry) {
    remove_expired(now);
    const auto [slot, inserted] = ids_.emplace(id);
    if (inserted) by_expiry_.emplace(expiry, slot);
    return inserted;
  }

 private:
  using Ids = std::set<std::string, std::less<>>;

  void remove_expired(Instant now) {
    while (!by_expiry_.empty() && (by_expiry_.begin()->first <= now || ids_.size() >= max_ids_)) {
      ids_.erase(by_expiry_.begin()->second);
      by_expiry_.erase(by_expiry_.begin());
    }
  }

  std::size_t max_ids_;
  Ids ids_;
  std::multimap<Instant, Ids::iterator> by_expiry_;
};

}  // namespace ashbeam
