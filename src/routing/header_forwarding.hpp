// Selects the header lines of a request or of an answer that are forwarded.
//
// The functions are pure and cannot fail. A forwarded line is forwarded byte for byte. Source: RFC 9110,
// section 7.6.1 (connection-specific fields); the protocol's page on headers.
#pragma once
#include <string>
#include <string_view>

#include "protocol/http.hpp"

namespace ashbeam {

// Returns whether the field `name` of `head` is forwarded. Fields that concern one connection only, or that
// the router writes anew for each attempt, are not.
bool is_forwarded(const http::Head& head, std::string_view name);

// Returns the header lines of `head` that are forwarded.
std::string forwarded_lines(const http::Head& head);

// Returns the header lines of an authorized request that are forwarded, and a line that names `principal` to
// the endpoint unless it is empty (not authenticated). A line of the client that claims to name the principal
// is left out. The token of an authenticated principal is left out too, unless `forward_token` is set.
std::string forwarded_lines_with_principal(const http::Head& head, std::string_view principal,
                                           bool forward_token);

}  // namespace ashbeam
