// Reads fields of X.509 certificates (RFC 5280).
#pragma once
#include <string>

#include "calling/authorizer.hpp"
#include "transport/openssl_ptr.hpp"

namespace ashbeam {

// Returns the serial number in lower-case hexadecimal digits, without leading zeros.
std::string serial_number_hex(x509_st* certificate);
// Returns the SHA-256 digest of the DER encoding of SubjectPublicKeyInfo in lower-case hexadecimal digits.
// Returns an empty string if it cannot be encoded.
std::string public_key_sha256_hex(x509_st* certificate);
// Returns the subject, digest and validity of a certificate. A name of the subject that is longer than 128
// bytes or contains a zero byte is returned as empty.
calling::ClientCertificate read_client_certificate(x509_st* certificate);

}  // namespace ashbeam
