// What each tenant has used of its quota and has in flight. It belongs to the tenant's name, so that it
// stands when the operator's settings are read anew: a tenant that is gone keeps its slot until its last
// request has ended. No I/O; the time is an argument.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "calling/quota.hpp"
#include "calling/tenant_directory.hpp"

namespace ashbeam::calling {

class TenantUsage {
 public:
  struct Usage {
    Bucket bucket;
    std::uint32_t in_flight = 0;  // requests
  };

  // To be called with each new directory, before slot_of() is called for it.
  void assign_slots(const TenantDirectory& directory, Instant now);
  // The slot of the tenant with that index in the directory.
  std::uint32_t slot_of(std::uint32_t tenant_index) const { return slot_by_index_[tenant_index]; }
  Usage& operator[](std::uint32_t slot) { return usages_[slot]; }

 private:
  std::vector<Usage> usages_;
  std::map<std::string, std::uint32_t, std::less<>> slot_by_name_;
  std::vector<std::uint32_t> slot_by_index_;  // by the directory's index
};

}  // namespace ashbeam::calling
