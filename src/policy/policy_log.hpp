// Formats log lines of the decisions and hands them to the router's log.
#pragma once
#include <algorithm>
#include <cstdio>

#include "policy/router_policy.hpp"

namespace ashbeam::policy {

class PolicyLog {
 public:
  // `actions` has to outlive this object.
  explicit PolicyLog(RouterActions& actions) : actions_(actions) {}

  // Writes one line, printf-style; what is longer than kMaxLineBytes is cut.
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
