// JSON objects of keys and tokens. A member that stands twice is refused: another reader might take the other
// value.
#pragma once
#include <optional>
#include <string_view>

#include "protocol/json.hpp"

namespace ashbeam::tokens {

bool has_duplicate_member(const Json& object);
// Nothing where the text is no JSON object, or has a member twice.
std::optional<Json> parse_object(std::string_view text);

}  // namespace ashbeam::tokens
