#include "tokens/json_members.hpp"

#include <set>
#include <string>

namespace ashbeam::tokens {

bool has_duplicate_member(const Json& object) {
  std::set<std::string> names;
  bool repeated = false;
  object.for_each_member([&](const std::string& name, const Json&) {
    if (!names.insert(name).second) repeated = true;
  });
  return repeated;
}

std::optional<Json> parse_object(std::string_view text) {
  auto object = Json::parse(text);
  if (!object || !object->is_object() || has_duplicate_member(*object)) return std::nullopt;
  return object;
}

}  // namespace ashbeam::tokens
