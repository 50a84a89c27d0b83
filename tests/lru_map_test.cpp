// The least-recently-used map, by itself and beside a plain list.
#include "base/lru_map.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "base/pcg.hpp"

namespace ashbeam {
namespace {

std::vector<int> from_least_recent(LruMap<int>& map) {
  std::vector<int> values;
  for (auto index = map.least_recent(); index != LruMap<int>::kNone; index = map.next_more_recent(index))
    values.push_back(map[index]);
  return values;
}

TEST(LruMap, KeepsTheOrderOfUse) {
  LruMap<int> map;
  EXPECT_EQ(map.least_recent(), LruMap<int>::kNone);
  for (int key = 1; key <= 3; ++key) map[map.insert(static_cast<std::uint64_t>(key))] = key;
  EXPECT_EQ(from_least_recent(map), (std::vector<int>{1, 2, 3}));
  map.touch(map.find(1));
  EXPECT_EQ(from_least_recent(map), (std::vector<int>{2, 3, 1}));
  map.touch(map.find(3));
  EXPECT_EQ(from_least_recent(map), (std::vector<int>{2, 1, 3}));
  map.touch(map.find(3));
  EXPECT_EQ(from_least_recent(map), (std::vector<int>{2, 1, 3}));
  map.erase(map.find(1));
  EXPECT_EQ(from_least_recent(map), (std::vector<int>{2, 3}));
  EXPECT_EQ(map.find(1), LruMap<int>::kNone);
  EXPECT_EQ(map.size(), 2U);
}

TEST(LruMap, AnErasedEntryReleasesWhatItOwns) {
  LruMap<std::shared_ptr<int>> map;
  const auto owned = std::make_shared<int>(1);
  map[map.insert(7)] = owned;
  EXPECT_EQ(owned.use_count(), 2);
  map.erase(map.find(7));
  EXPECT_EQ(owned.use_count(), 1);
  EXPECT_EQ(map[map.insert(7)], nullptr);
}

TEST(LruMap, AgreesWithAPlainList) {
  LruMap<int> map;
  std::vector<int> plain;  // the most recently used one last
  Pcg random(5);
  for (int step = 0; step < 20'000; ++step) {
    const int key = static_cast<int>(random.next_below(200));
    const auto index = map.find(static_cast<std::uint64_t>(key));
    const auto listed = std::find(plain.begin(), plain.end(), key);
    ASSERT_EQ(index != LruMap<int>::kNone, listed != plain.end()) << step;
    if (listed != plain.end()) plain.erase(listed);
    if (index == LruMap<int>::kNone) {
      map[map.insert(static_cast<std::uint64_t>(key))] = key;
      plain.push_back(key);
    } else if (random.next_below(3) == 0) {
      map.erase(index);
    } else {
      map.touch(index);
      plain.push_back(key);
    }
    ASSERT_EQ(map.size(), plain.size()) << step;
    if (step % 100 == 0) {
      ASSERT_EQ(from_least_recent(map), plain) << step;
    }
  }
}

}  // namespace
}  // namespace ashbeam
