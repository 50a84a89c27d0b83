// Stores the ids of requests that are in flight or were answered recently, so that a second request with the
// same id can be rejected.
#pragma once
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace ashbeam {

class RecentRequestIds {
 public:
  // Stores at most `max_ids` ids. Beyond that the ids that expire first are removed early.
  explicit RecentRequestIds(std::size_t max_ids) : max_ids_(max_ids) {}

  // Stores `id` until `expiry`. Returns false, and does nothing, if it is stored already.
  bool insert(std::string_view id, Instant now, Instant expiry) {
    remove_expired(now);
    const auto [slot, inserted] = ids_.emplace(id);
    if (inserted) by_expiry_.emplace(expiry, slot);
    return inserted;
  }

 private:
  using Ids = std::set<std::string, std::less<>>;

  // Removes expired ids, and more if there is no room for another one.
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
