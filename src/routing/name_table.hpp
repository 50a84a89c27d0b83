// Small indices for names: those of the settings, in their order, and behind them those that the settings do
// not know, so that an unknown name is never taken for a known one.
#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ashbeam {

class NameTable {
 public:
  explicit NameTable(std::vector<std::string> known) : known_(std::move(known)) {}

  // Where the settings name none at all, all names have index 0. Past kMaxUnknown unknown names share one.
  unsigned index_of(const std::string& name) {
    if (known_.empty()) return 0;
    const std::size_t known = find(known_, name);
    if (known < known_.size()) return static_cast<unsigned>(known);
    const std::size_t unknown = find(unknown_, name);
    if (unknown == unknown_.size() && unknown < kMaxUnknown) {
      unknown_.push_back(name);
      if (!name.empty()) unreported_ = name;
    }
    return static_cast<unsigned>(known_.size() + std::min(unknown, kMaxUnknown - 1));
  }

  // The unknown name met since the last call, if it was the first time.
  std::optional<std::string> take_unreported() { return std::exchange(unreported_, std::nullopt); }

 private:
  static constexpr std::size_t kMaxUnknown = 16;

  static std::size_t find(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
  }

  std::vector<std::string> known_;
  std::vector<std::string> unknown_;
  std::optional<std::string> unreported_;
};

}  // namespace ashbeam
