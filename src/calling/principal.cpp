#include "calling/principal.hpp"

#include "protocol/http.hpp"

namespace ashbeam::calling {

namespace {

bool needs_no_encoding(char c) {
  const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
  return alphanumeric || std::string_view("-._~@:+").find(c) != std::string_view::npos;
}

void append_percent_encoded(std::string& output, std::string_view name) {
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  for (const char c : name) {
    if (needs_no_encoding(c)) {
      output += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    output += '%';
    output += kHexDigits[byte >> 4U];
    output += kHexDigits[byte & 15U];
  }
}

}  // namespace

std::string principal_name(std::string_view tenant, std::string_view subject) {
  std::string name;
  append_percent_encoded(name, tenant);
  name += '/';
  append_percent_encoded(name, subject);
  return name;
}

std::optional<std::string_view> bearer_token(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer";
  if (authorization.size() < kScheme.size()) return std::nullopt;
  if (!http::equals_ignoring_case(authorization.substr(0, kScheme.size()), kScheme)) return std::nullopt;
  authorization.remove_prefix(kScheme.size());
  if (!authorization.empty() && authorization.front() != ' ') return std::nullopt;
  return http::trimmed(authorization);
}

}  // namespace ashbeam::calling
