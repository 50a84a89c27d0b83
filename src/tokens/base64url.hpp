// base64url without padding (RFC 4648, section 5; RFC 7515, section 2).
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace ashbeam::tokens {

std::string encode_base64url(std::string_view bytes);
// Nothing where a character is not of the alphabet, or where the last one has bits that belong to no byte:
// each byte string has one encoding alone.
std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace ashbeam::tokens
