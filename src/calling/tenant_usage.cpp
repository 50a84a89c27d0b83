#include "calling/tenant_usage.hpp"

namespace ashbeam::calling {

void TenantUsage::assign_slots(const TenantDirectory& directory, Instant now) {
  std::erase_if(slot_by_name_, [&](const auto& entry) {
    const auto& [name, slot] = entry;
    return usages_[slot].in_flight == 0 && directory.find_by_name(name) == TenantDirectory::kNone;
  });
  std::vector<bool> used(usages_.size(), false);
  for (const auto& [name, slot] : slot_by_name_) used[slot] = true;
  slot_by_index_.assign(directory.size(), 0);
  std::uint32_t free_slot = 0;
  for (std::uint32_t index = 0; index < directory.size(); ++index) {
    const std::string& name = directory[index].name;
    if (const auto known = slot_by_name_.find(name); known != slot_by_name_.end()) {
      slot_by_index_[index] = known->second;
      continue;
    }
    while (free_slot < used.size() && used[free_slot]) ++free_slot;
    if (free_slot == used.size()) {
      used.push_back(false);
      usages_.emplace_back();
    }
    used[free_slot] = true;
    usages_[free_slot] = Usage{};
    usages_[free_slot].bucket.reset(nanoseconds_of(now), Bucket::kUnset, Bucket::kUnset);
    slot_by_name_.emplace(name, free_slot);
    slot_by_index_[index] = free_slot;
  }
}

}  // namespace ashbeam::calling
