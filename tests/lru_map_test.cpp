// Tests LruMap, also against a reference model: a list in the order of the last use.
#include "base/lru_map.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "base/pcg.hpp"

namespace ashbeam {
namespace {

// Returns the values in the order of their last use, the least recently used one first.
std::vector<int> values_by_last_use(LruMap<int>& map) {
  std::vector<int> values;
  for (auto index = map.least_recent(); index != LruMap<int>::kNone; index = map.next_more_recent(index))
    values.push_back(map[index]);
  return values;
}

TEST(LruMap, KeepsEntriesInOrderOfLastUse) {
  LruMap<int> map;
  EXPECT_EQ(map.least_recent(), LruMap<int>::kNone);
  for (int key = 1; key <= 3; ++key) map[map.insert(static_cast<std::uint64_t>(key))] = key;
  EXPECT_EQ(values_by_last_use(map), (std::vector<int>{1, 2, 3}));
  map.touch(map.find(1));
  EXPECT_EQ(values_by_last_use(map), (std::vector<int>{2, 3, 1}));
  map.touch(map.find(3));
  EXPECT_EQ(values_by_last_use(map), (std::vector<int>{2, 1, 3}));
  map.touch(map.find(3));
  EXPECT_EQ(values_by_last_use(map), (std::vector<int>{2, 1, 3}));
  map.erase(map.find(1));
  EXPECT_EQ(values_by_last_use(map), (std::vector<int>{2, 3}));
  EXPECT_EQ(map.find(1), LruMap<int>::kNone);
  EXPECT_EQ(map.size(), 2U);
}

TEST(LruMap, ErasingAnEntryReleasesResourcesOfItsValue) {
  LruMap<std::shared_ptr<int>> map;
  const auto owned = std::make_shared<int>(1);
  map[map.insert(7)] = owned;
  EXPECT_EQ(owned.use_count(), 2);
  map.erase(map.find(7));
  EXPECT_EQ(owned.use_count(), 1);
  EXPECT_EQ(map[map.insert(7)], nullptr);
}

TEST(LruMap, MatchesReferenceListOverRandomOperations) {
  LruMap<int> map;
  std::vector<int> reference;  // the keys, the most recently used one last
  Pcg random(5);
  for (int step = 0; step < 20'000; ++step) {
    const int key = static_cast<int>(random.next_below(200));
    const auto index = map.find(static_cast<std::uint64_t>(key));
    const auto position = std::find(reference.begin(), reference.end(), key);
    ASSERT_EQ(index != LruMap<int>::kNone, position != reference.end()) << step;
    if (position != reference.end()) reference.erase(position);
    if (index == LruMap<int>::kNone) {
      map[map.insert(static_cast<std::uint64_t>(key))] = key;
      reference.push_back(key);
    } else if (random.next_below(3) == 0) {
      map.erase(index);
    } else {
      map.touch(index);
      reference.push_back(key);
    }
    ASSERT_EQ(map.size(), reference.size()) << step;
    if (step % 100 == 0) {
      ASSERT_EQ(values_by_last_use(map), reference) << step;
    }
  }
}

}  // namespace
}  // namespace ashbeam
