// The consumed quota and the requests in flight of each tenant. Usage is stored under the tenant's name, so
// that it is retained when the operator's settings are reloaded. A tenant that has been removed from the
// settings keeps its slot until its last request has ended. Callers pass the current time.
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

  // Assigns a slot to each tenant of a new directory. Must be called before slot_of() is called with an index
  // of that directory.
  void assign_slots(const TenantDirectory& directory, Instant now);
  // Returns the slot of the tenant with this index in the directory.
  std::uint32_t slot_of(std::uint32_t tenant_index) const { return slot_by_index_[tenant_index]; }
  Usage& operator[](std::uint32_t slot) { return usages_[slot]; }

 private:
  std::vector<Usage> usages_;
  std::map<std::string, std::uint32_t, std::less<>> slot_by_name_;
  std::vector<std::uint32_t> slot_by_index_;  // by index in the directory
};

}  // namespace ashbeam::calling
