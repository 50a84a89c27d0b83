// The server's TLS context (TLS 1.3: RFC 8446, TLS 1.2: RFC 5246), with its certificate, its private key, and
// the authorities and revocations for client certificates. Changed credentials are loaded into a new object.
#pragma once
#include <memory>

#include "transport/client_certificate_verifier.hpp"
#include "transport/openssl_ptr.hpp"
#include "transport/tls_settings.hpp"

namespace ashbeam {

class TlsCredentials {
 public:
  // `files` holds the contents of the files that `settings` names. Any thread may call the constructor. After
  // that only the event loop's thread may use the object. Throws FileError if the content of a file cannot be
  // used.
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

  std::unique_ptr<ClientCertificateVerifier> verifier_;  // declared first, since it must outlive the context
  OpensslPtr<ssl_ctx_st> context_;
};

}  // namespace ashbeam
