#include "transport/revoked_certificates.hpp"

#include <algorithm>
#include <cctype>

#include "base/file_error.hpp"
#include "transport/x509_fields.hpp"

namespace ashbeam {

namespace {

constexpr std::size_t kSha256HexDigits = 64;

// Returns the line in lower case, without white space and without its comment.
std::string normalize_line(std::string line) {
  line.erase(std::min(line.find('#'), line.size()));
  std::erase_if(line, [](unsigned char c) { return std::isspace(c) != 0; });
  std::transform(line.begin(), line.end(), line.begin(), [](unsigned char c) { return std::tolower(c); });
  return line;
}

bool is_hex(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

void RevokedCertificates::parse(const std::string& path, const std::string& text) {
  std::size_t begin = 0;
  for (unsigned line_number = 1; begin < text.size(); ++line_number) {
    const std::size_t end = std::min(text.find('\n', begin), text.size());
    const std::string entry = normalize_line(text.substr(begin, end - begin));
    begin = end + 1;
    if (!entry.empty()) parse_entry(path, line_number, entry);
  }
}

void RevokedCertificates::parse_entry(const std::string& path, unsigned line_number,
                                      const std::string& entry) {
  const std::size_t colon = entry.find(':');
  const std::string kind = entry.substr(0, colon);
  const std::string hex = colon == std::string::npos ? "" : entry.substr(colon + 1);
  if (is_hex(hex) && kind == "serial") {
    serial_numbers_.insert(hex.substr(std::min(hex.find_first_not_of('0'), hex.size() - 1)));
  } else if (is_hex(hex) && kind == "key" && hex.size() == kSha256HexDigits) {
    public_key_digests_.insert(hex);
  } else {
    throw FileError(
        path, "line " + std::to_string(line_number) +
                  ": expected serial:HEX or key:HEX with the 64 hexadecimal digits of a SHA-256 digest");
  }
  if (serial_numbers_.size() + public_key_digests_.size() > kMaxEntries)
    throw FileError(path, "contains more than the maximum of " + std::to_string(kMaxEntries) + " entries");
}

bool RevokedCertificates::contains(x509_st* certificate) const {
  return serial_numbers_.contains(serial_number_hex(certificate)) ||
         public_key_digests_.contains(public_key_sha256_hex(certificate));
}

}  // namespace ashbeam
