// Composes the keys under which a SettingsMap holds a list of objects. The list "grades" has its length at
// "grades.count" and the field "name" of its first object at "grades.0.name".
#pragma once
#include <cstdint>
#include <string>

#include "terms/setting_keys.hpp"

namespace ashbeam {

// Returns the key of the length of `list`.
inline std::string list_count_key(const char* list) { return std::string(list) + "." + setting_keys::kCount; }

// Returns the key of `field` in the object of `list` at the zero-based `index`.
inline std::string list_item_key(const char* list, std::uint32_t index, const char* field) {
  return std::string(list) + "." + std::to_string(index) + "." + field;
}

}  // namespace ashbeam
