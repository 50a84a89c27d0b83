// Parsing of JSON objects in keys and tokens. Objects with duplicate member names are rejected, because
// another parser might use the other value.
#pragma once
#include <optional>
#include <string_view>

#include "protocol/json.hpp"

namespace ashbeam::tokens {

bool has_duplicate_member(const Json& object);
// Returns no value if the text is not a JSON object, or if the object has a duplicate member name.
std::optional<Json> parse_object(std::string_view text);

}  // namespace ashbeam::tokens
