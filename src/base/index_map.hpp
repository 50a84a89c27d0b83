// Maps outside ids to small indices: open addressing, no allocation once grown. Key and value are plain
// numbers; iteration is not offered, so that nothing can depend on the order of the table.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ashbeam {

class IndexMap {
 public:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  explicit IndexMap(std::size_t places = 64) : cells_(places) {}

  std::uint32_t find(std::uint64_t key) const {
    for (std::size_t i = start(key);; i = next(i)) {
      if (cells_[i].value == kNone) return kNone;
      if (cells_[i].key == key) return cells_[i].value;
    }
  }

  void put(std::uint64_t key, std::uint32_t value) {
    if ((used_ + 1) * 2 > cells_.size()) grow();
    std::size_t i = start(key);
    while (cells_[i].value != kNone && cells_[i].key != key) i = next(i);
    if (cells_[i].value == kNone) ++used_;
    cells_[i] = Cell{key, value};
  }

  void erase(std::uint64_t key) {
    std::size_t i = start(key);
    while (cells_[i].value != kNone && cells_[i].key != key) i = next(i);
    if (cells_[i].value == kNone) return;
    --used_;
    for (std::size_t j = next(i);; j = next(j)) {  // close the gap, so that later finds need no markers
      if (cells_[j].value == kNone) break;
      const std::size_t home = start(cells_[j].key);
      const bool reachable = i <= j ? (home > i && home <= j) : (home > i || home <= j);
      if (!reachable) {
        cells_[i] = cells_[j];
        i = j;
      }
    }
    cells_[i] = Cell{};
  }

  std::size_t size() const { return used_; }

 private:
  struct Cell {
    std::uint64_t key = 0;
    std::uint32_t value = kNone;
  };
  static std::uint64_t mix(std::uint64_t x) {
    x = (x ^ (x >> 31)) * 0x9e3779b97f4a7c15ULL;
    return x ^ (x >> 29);
  }
  std::size_t start(std::uint64_t key) const { return mix(key) & (cells_.size() - 1); }
  std::size_t next(std::size_t i) const { return (i + 1) & (cells_.size() - 1); }
  void grow() {
    std::vector<Cell> old(cells_.size() * 2);
    old.swap(cells_);
    used_ = 0;
    for (const Cell& c : old) {
      if (c.value != kNone) put(c.key, c.value);
    }
  }

  std::vector<Cell> cells_;  // always a power of two
  std::size_t used_ = 0;
};

}  // namespace ashbeam
