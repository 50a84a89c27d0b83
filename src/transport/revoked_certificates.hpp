// The operator's list of revoked certificates, each given by its serial number or its public key. The list is
// checked for each certificate of a chain. It is independent of CRLs (RFC 5280), which OpenSSL checks.
//
// The list is a text file with one entry per line: `serial:HEX`, or `key:HEX` with the SHA-256 digest of the
// DER encoding of SubjectPublicKeyInfo (RFC 5280, section 4.1). White space, letter case and the text after a
// `#` are ignored.
#pragma once
#include <cstddef>
#include <set>
#include <string>

#include "transport/openssl_ptr.hpp"

namespace ashbeam {

class RevokedCertificates {
 public:
  static constexpr std::size_t kMaxEntries = 100'000;

  // Adds the entries of `text`, the contents of the file `path`. Throws FileError, which names the path and,
  // for a malformed entry, the line.
  void parse(const std::string& path, const std::string& text);
  // Returns whether the list has the certificate's serial number or its public key.
  bool contains(x509_st* certificate) const;

 private:
  void parse_entry(const std::string& path, unsigned line_number, const std::string& entry);

  std::set<std::string> serial_numbers_;      // as serial_number_hex
  std::set<std::string> public_key_digests_;  // as public_key_sha256_hex
};

}  // namespace ashbeam
