// Formats the log lines of the routing policy and writes them to the router's log.
#pragma once
#include <algorithm>
#include <cstdio>

#include "policy/router_policy.hpp"

namespace ashbeam::policy {

class PolicyLog {
 public:
  // `actions` must outlive this object.
  explicit PolicyLog(RouterActions& actions) : actions_(actions) {}

  // Writes one line; `format` and `values` are those of printf(). A line longer than kMaxLineBytes - 1 bytes
  // is truncated.
  template <class... Values>
  void write(const char* format, Values... values) const {
    char line[kMaxLineBytes];
    const int length = std::snprintf(line, sizeof line, format, values...);
    actions_.log({line, static_cast<std::size_t>(std::clamp(length, 0, kMaxLineBytes - 1))});
  }

 private:
  static constexpr int kMaxLineBytes = 160;

  RouterActions& actions_;
};

}  // namespace ashbeam::policy
