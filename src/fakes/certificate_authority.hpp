// A certificate authority for tests, fault tests and the demo: certificates that it signs and revokes.
// Nothing of this is for use outside loopback.
#pragma once
#include <memory>
#include <string>

#include "base/time.hpp"

struct x509_st;
struct evp_pkey_st;

namespace ashbeam::fakes {

// A certificate and its key.
struct Identity {
  std::shared_ptr<x509_st> certificate;
  std::shared_ptr<evp_pkey_st> key;
  std::string certificate_pem;
  std::string key_pem;
  std::string serial;      // hexadecimal
  std::string thumbprint;  // x5t#S256 (RFC 8705, section 3.1), base64url
};

class CertificateAuthority {
 public:
  // A root, valid for a day.
  explicit CertificateAuthority(const std::string& name);

  // Issues a certificate of a client, or of a server, that expires `lifetime` from now (negative: it has
  // expired). With `intermediate`, which has to be one of this authority's, that signs it, and
  // `certificate_pem` has the intermediate's certificate behind the leaf.
  Identity issue(const std::string& organisation, const std::string& name, Duration lifetime,
                 bool server = false, const CertificateAuthority* intermediate = nullptr) const;
  CertificateAuthority intermediate(const std::string& name) const;

  const Identity& self() const { return self_; }
  std::string pem() const { return self_.certificate_pem; }
  // A list of revoked certificates (PEM) that has this serial alone.
  std::string revocation_list(const std::string& serial) const;

 private:
  CertificateAuthority() = default;

  Identity self_;
};

}  // namespace ashbeam::fakes
