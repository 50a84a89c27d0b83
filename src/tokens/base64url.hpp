// The base64url encoding without padding (RFC 4648, section 5; RFC 7515, section 2).
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace ashbeam::tokens {

std::string encode_base64url(std::string_view bytes);
// Returns no value if a character is not in the alphabet, if the length is impossible, or if the unused bits
// of the last character are not zero. Each byte string therefore has exactly one accepted encoding.
std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace ashbeam::tokens
