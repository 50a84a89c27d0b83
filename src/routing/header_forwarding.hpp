// Which header lines of a request or of an answer are forwarded.
//
// Pure functions without I/O. A forwarded line is forwarded byte for byte. Errors: none. Source: RFC 9110,
// section 7.6.1 (connection-specific fields); the protocol's page on headers.
#pragma once
#include <string>
#include <string_view>

#include "protocol/http.hpp"

namespace ashbeam {

// May the field of that name be forwarded? Fields that concern one connection only, or are written anew for
// each attempt, may not.
bool is_forwarded(const http::Head& head, std::string_view name);

// The forwarded lines of a head.
std::string forwarded_lines(const http::Head& head);

// The forwarded lines of a request that was authorised: `principal` is named to the endpoint, empty where
// nobody is proven, and no line of the client's own says so. The token of a proven principal is left out
// unless `forward_token`.
std::string forwarded_lines_with_principal(const http::Head& head, std::string_view principal,
                                           bool forward_token);

}  // namespace ashbeam
