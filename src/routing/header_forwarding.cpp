#include "routing/header_forwarding.hpp"

#include <algorithm>

#include "protocol/header_names.hpp"

namespace ashbeam {

namespace {

// These fields concern one connection only, or the router writes them anew.
constexpr std::string_view kNeverForwarded[] = {
    "Connection",        "Keep-Alive",        "Proxy-Connection",  "TE", "Upgrade", "Expect",
    header::kTimeLeftMs, header::kLoadReport, header::kUnprocessed};

// The end of a message or its identity depends on these fields. They are forwarded even if the sender names
// them in its Connection field.
constexpr std::string_view kAlwaysForwarded[] = {"Host", "Content-Length", "Transfer-Encoding",
                                                 header::kRequestId, header::kIdempotencyKey};

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// Some endpoints treat '-' and '_' in field names as equal, so both match here.
bool matches_letter(char name, char expected) {
  return to_lower(name == '_' ? '-' : name) == to_lower(expected);
}

bool is_principal_field(std::string_view name) {
  const std::string_view expected = header::kPrincipal;
  return std::equal(name.begin(), name.end(), expected.begin(), expected.end(), matches_letter);
}

bool contains(const auto& names, std::string_view name) {
  return std::any_of(std::begin(names), std::end(names),
                     [name](std::string_view one) { return http::equals_ignoring_case(name, one); });
}

}  // namespace

bool is_forwarded(const http::Head& head, std::string_view name) {
  if (contains(kNeverForwarded, name)) return false;
  if (contains(kAlwaysForwarded, name)) return true;
  return !head.has_token("Connection", name);
}

std::string forwarded_lines(const http::Head& head) {
  std::string lines;
  for (const http::Field& field : head.fields()) {
    if (is_forwarded(head, field.name)) lines += field.line;
  }
  return lines;
}

std::string forwarded_lines_with_principal(const http::Head& head, std::string_view principal,
                                           bool forward_token) {
  const bool hide_token = !principal.empty() && !forward_token;
  std::string lines;
  for (const http::Field& field : head.fields()) {
    if (!is_forwarded(head, field.name) || is_principal_field(field.name)) continue;
    if (hide_token && http::equals_ignoring_case(field.name, "Authorization")) continue;
    lines += field.line;
  }
  if (!principal.empty()) lines += header::field_line(header::kPrincipal, principal);
  return lines;
}

}  // namespace ashbeam
