// base64url without padding (RFC 4648, section 5; RFC 7515, section 2).
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace ashbeam::tokens {

std::string to_base64url(std::string_view bytes);
// Nothing where a character is none of the alphabet, or the last one holds bits that no byte needs: two
// texts never say the same bytes.
std::optional<std::string> from_base64url(std::string_view text);

}  // namespace ashbeam::tokens
