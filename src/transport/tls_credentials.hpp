// The server's TLS context (RFC 8446, RFC 5246): certificate, key, and who signs clients' certificates and
// what of those is revoked. Complete once constructed; changed credentials are a new object.
#pragma once
#include <memory>

#include "transport/client_certificate_verifier.hpp"
#include "transport/openssl_ptr.hpp"
#include "transport/tls_settings.hpp"

namespace ashbeam {

class TlsCredentials {
 public:
  // May be made on any thread; after that the event loop's thread alone uses it. Throws FileError.
  TlsCredentials(const TlsSettings& settings, const TlsFiles& files);
  TlsCredentials(const TlsCredentials&) = delete;
  TlsCredentials& operator=(const TlsCredentials&) = delete;

  ssl_ctx_st* context() const { return context_.get(); }
  ClientCertificateVerifier& verifier() { return *verifier_; }
  const ClientCertificateVerifier& verifier() const { return *verifier_; }

 private:
  void configure(const TlsSettings& settings);
  void use_certificate(const TlsSettings& settings, const TlsFiles& files);
  void use_private_key(const TlsSettings& settings, const TlsFiles& files);

  std::unique_ptr<ClientCertificateVerifier> verifier_;  // outlives the context
  OpensslPtr<ssl_ctx_st> context_;
};

}  // namespace ashbeam
