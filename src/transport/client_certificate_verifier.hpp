// Verifies clients' certificate chains (RFC 5280): signed by a trusted authority, and neither the leaf nor
// what leads up to it revoked, by CRL or by the operator's own list.
//
// Made with the credentials on any thread; then used on the event loop's thread only.
#pragma once
#include <cstddef>
#include <string>

#include "transport/openssl_ptr.hpp"
#include "transport/revoked_certificates.hpp"
#include "transport/tls_settings.hpp"

namespace ashbeam {

class ClientCertificateVerifier {
 public:
  // From now on handshakes of `context`, which this must outlive, verify clients with this. Where clients are
  // not asked for certificates, nothing is read and set. Throws FileError.
  ClientCertificateVerifier(ssl_ctx_st* context, const TlsSettings& settings, const TlsFiles& files);
  ClientCertificateVerifier(const ClientCertificateVerifier&) = delete;
  ClientCertificateVerifier& operator=(const ClientCertificateVerifier&) = delete;

  // Are clients asked for certificates?
  bool enabled() const { return store_ != nullptr; }
  // Only where enabled. Verifies again, as the trust stands now, a chain that was verified before.
  // `sent_chain`: what the client sent, or null for a resumed session, which has its leaf alone; the
  // intermediates seen before stand in.
  bool still_valid(x509_st* leaf, stack_st_X509* sent_chain);
  // Equal texts: what one verifier has proven stands under the other.
  const std::string& trust_fingerprint() const { return trust_fingerprint_; }
  // Takes over the intermediates that the former verifier has seen.
  void inherit_intermediates(const ClientCertificateVerifier& former);

 private:
  static int verify(x509_store_ctx_st* context, void* self);
  void read_authorities(ssl_ctx_st* context, const TlsSettings& settings, const TlsFiles& files);
  void read_crls(const TlsSettings& settings, const TlsFiles& files);
  void install(ssl_ctx_st* context, bool certificate_required);
  void remember_intermediates(stack_st_X509* chain);
  bool remembers(x509_st* certificate) const;

  OpensslPtr<x509_store_st> store_;
  OpensslPtr<stack_st_X509> intermediates_;  // of verified chains; the oldest is forgotten at the bound
  RevokedCertificates revoked_;
  std::string trust_fingerprint_;
};

}  // namespace ashbeam
