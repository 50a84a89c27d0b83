#include "routing/header_forwarding.hpp"

#include <algorithm>

#include "protocol/header_names.hpp"

namespace ashbeam {

namespace {

// Of one connection, or written anew.
constexpr std::string_view kNeverForwarded[] = {
    "Connection",        "Keep-Alive",        "Proxy-Connection",  "TE", "Upgrade", "Expect",
    header::kTimeLeftMs, header::kLoadReport, header::kUnprocessed};

// A message's end or its identity hangs on these: a sender can't have them left out by naming them in its
// Connection field.
constexpr std::string_view kAlwaysForwarded[] = {"Host", "Content-Length", "Transfer-Encoding",
                                                 header::kRequestId, header::kIdempotencyKey};

char lower_case(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// Some endpoints take - and _ in field names for the same.
bool same_letter(char name, char expected) {
  return lower_case(name == '_' ? '-' : name) == lower_case(expected);
}

bool names_principal(std::string_view name) {
  const std::string_view expected = header::kPrincipal;
  return std::equal(name.begin(), name.end(), expected.begin(), expected.end(), same_letter);
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

std::string authorized_lines(const http::Head& head, std::string_view principal, bool forward_token) {
  const bool hide_token = !principal.empty() && !forward_token;
  std::string lines;
  for (const http::Field& field : head.fields()) {
    if (!is_forwarded(head, field.name) || names_principal(field.name)) continue;
    if (hide_token && http::equals_ignoring_case(field.name, "Authorization")) continue;
    lines += field.line;
  }
  if (!principal.empty()) lines += header::field_line(header::kPrincipal, principal);
  return lines;
}

}  // namespace ashbeam
