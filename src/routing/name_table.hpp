// Maps names, such as those of zones, to small indices. The names of the settings have the first indices, in
// their order. Names that the settings do not list have indices after those, so that an unknown name is never
// taken for a known one.
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

  // Returns the index of `name`. If the settings list no names at all, every name has index 0. Unknown names
  // beyond the first kMaxUnknown share the last index.
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

  // Returns the unknown name that index_of() has met for the first time since the last call, if there is one.
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
