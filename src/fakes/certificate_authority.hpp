// A certificate authority for tests, fault tests and the demo. It issues certificates and lists of revoked
// certificates. It is for use on loopback only.
#pragma once
#include <memory>
#include <string>

#include "base/time.hpp"

struct x509_st;
struct evp_pkey_st;

namespace ashbeam::fakes {

// A certificate and its private key, as objects of OpenSSL and in PEM.
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
  // Creates a root authority whose certificate is valid for one day.
  explicit CertificateAuthority(const std::string& name);

  // Issues a certificate for a client, or for a server if `server` is set. It expires `lifetime` from now; a
  // negative lifetime gives an expired certificate. If `intermediate` is not null, it signs the certificate,
  // and `certificate_pem` holds its certificate after the leaf. It must have been issued by this authority.
  Identity issue(const std::string& organisation, const std::string& name, Duration lifetime,
                 bool server = false, const CertificateAuthority* intermediate = nullptr) const;
  // Issues an intermediate authority, valid for one day.
  CertificateAuthority intermediate(const std::string& name) const;

  const Identity& self() const { return self_; }
  std::string pem() const { return self_.certificate_pem; }
  // Returns a certificate revocation list (RFC 5280) in PEM whose only entry is `serial`, in hexadecimal.
  std::string revocation_list(const std::string& serial) const;

 private:
  CertificateAuthority() = default;

  Identity self_;
};

}  // namespace ashbeam::fakes
