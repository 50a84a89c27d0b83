// The operator's own list of revoked certificates: by serial number or by public key, checked for each
// certificate of a chain. Beside it CRLs (RFC 5280) may be given, which OpenSSL checks.
//
// Form: one entry a line, `serial:HEX` or `key:HEX`, the latter the SHA-256 of the subject's public key
// information; blanks, case and what follows a `#` do not matter.
#pragma once
#include <cstddef>
#include <set>
#include <string>

#include "transport/openssl_ptr.hpp"

namespace ashbeam {

class RevokedCertificates {
 public:
  static constexpr std::size_t kMaxEntries = 100'000;

  // Throws FileError, which names `path` and the line.
  void parse(const std::string& path, const std::string& text);
  bool contains(x509_st* certificate) const;

 private:
  void parse_entry(const std::string& path, unsigned line_number, const std::string& entry);

  std::set<std::string> serial_numbers_;
  std::set<std::string> public_key_digests_;
};

}  // namespace ashbeam
