// The ids of hits in hand and of those just over, so that no second request comes with one of them.
#pragma once
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace ashbeam {

class Ids {
 public:
  explicit Ids(std::size_t most) : most_(most) {}
  // False if the id is held already; holds it until then otherwise. At the most, what ends first is let go.
  bool take(std::string_view id, Instant now, Instant until) {
    while (!ends_.empty() && (ends_.begin()->first <= now || held_.size() >= most_)) {
      held_.erase(ends_.begin()->second);
      ends_.erase(ends_.begin());
    }
    const auto [place, fresh] = held_.emplace(id);
    if (fresh) ends_.emplace(until, place);
    return fresh;
  }

 private:
  using Held = std::set<std::string, std::less<>>;
  std::size_t most_;
  Held held_;
  std::multimap<Instant, Held::iterator> ends_;
};

}  // namespace ashbeam
