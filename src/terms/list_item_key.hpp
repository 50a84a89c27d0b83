// Keys into the settings' lists of objects: "grades.count", "grades.0.name".
#pragma once
#include <cstdint>
#include <string>

#include "terms/setting_keys.hpp"

namespace ashbeam {

inline std::string list_count_key(const char* list) { return std::string(list) + "." + setting_keys::kCount; }

inline std::string list_item_key(const char* list, std::uint32_t index, const char* field) {
  return std::string(list) + "." + std::to_string(index) + "." + field;
}

}  // namespace ashbeam
