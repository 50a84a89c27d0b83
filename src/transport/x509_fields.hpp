// Fields of X.509 certificates (RFC 5280) in the project's own types.
#pragma once
#include <string>

#include "calling/authorizer.hpp"
#include "transport/openssl_ptr.hpp"

namespace ashbeam {

// Lower-case HEX without leading zeros.
std::string serial_number_of(x509_st* certificate);
// SHA-256 of the subject's public key information, in lower-case HEX; empty where it can't be encoded.
std::string public_key_digest_of(x509_st* certificate);
// Names that are longer than 128 bytes or hold a zero byte count as empty.
calling::ClientCertificate describe_certificate(x509_st* certificate);

}  // namespace ashbeam
