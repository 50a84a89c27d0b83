// Verifies the certificate chains of TLS clients (RFC 5280). A chain is valid if a trusted certificate
// authority signed it and no certificate of the chain is revoked, neither by a CRL nor by the operator's list
// of revoked certificates (see revoked_certificates.hpp).
//
// Any thread may construct the verifier. After that only the event loop's thread may use it.
#pragma once
#include <cstddef>
#include <string>

#include "transport/openssl_ptr.hpp"
#include "transport/revoked_certificates.hpp"
#include "transport/tls_settings.hpp"

namespace ashbeam {

class ClientCertificateVerifier {
 public:
  // Registers the verifier with `context`, whose handshakes then call it. The verifier must outlive
  // `context`. `files` holds the contents of the files that `settings` names. If the settings do not request
  // client certificates, the files are not parsed and `context` is not changed. Throws FileError if the file
  // of authorities, the CRLs or the list of revoked certificates cannot be parsed.
  ClientCertificateVerifier(ssl_ctx_st* context, const TlsSettings& settings, const TlsFiles& files);
  ClientCertificateVerifier(const ClientCertificateVerifier&) = delete;
  ClientCertificateVerifier& operator=(const ClientCertificateVerifier&) = delete;

  // Returns whether the server requests certificates from clients.
  bool is_enabled() const { return store_ != nullptr; }
  // Verifies a chain that this or a former verifier has accepted, against the authorities and revocations of
  // this one. May be called only if is_enabled(). `sent_chain` is the chain that the client sent. It is null
  // for a resumed session, which contains the leaf alone; the cached intermediates are used in its place.
  bool is_still_valid(x509_st* leaf, stack_st_X509* sent_chain);
  // Returns the contents of the authorities, CRL and revocation files, one after the other. If two verifiers
  // return equal texts, a chain that one of them accepted need not be verified by the other.
  const std::string& trust_file_contents() const { return trust_file_contents_; }
  // Adds the cached intermediates of `other` to those of this verifier.
  void copy_intermediates(const ClientCertificateVerifier& other);

 private:
  // The callback of SSL_CTX_set_cert_verify_callback(3). Returns 1 if the chain is valid.
  static int verify(x509_store_ctx_st* context, void* self);
  void read_authorities(ssl_ctx_st* context, const TlsSettings& settings, const TlsFiles& files);
  void read_crls(const TlsSettings& settings, const TlsFiles& files);
  void install(ssl_ctx_st* context, bool certificate_required);
  // Caches the intermediates of a verified chain, whose first certificate is the leaf and whose last one is a
  // trusted authority.
  void cache_intermediates(stack_st_X509* chain);
  bool has_cached_intermediate(x509_st* certificate) const;

  OpensslPtr<x509_store_st> store_;  // null if the server requests no client certificates
  // The cached intermediates of verified chains, oldest first. At the maximum the oldest one is evicted.
  OpensslPtr<stack_st_X509> intermediates_;
  RevokedCertificates revoked_;
  std::string trust_file_contents_;
};

}  // namespace ashbeam
