#include "transport/client_certificate_verifier.hpp"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include "base/file_error.hpp"

namespace ashbeam {

namespace {

constexpr int kMaxChainDepth = 4;
constexpr int kMaxCachedIntermediates = 64;

// The callback of X509_STORE_set_verify_cb(3). A CRL whose nextUpdate time has passed still revokes the
// certificates that it lists. Certificates of an authority without a CRL count as not revoked.
int accept_expired_or_missing_crl(int valid, X509_STORE_CTX* context) {
  const int error = X509_STORE_CTX_get_error(context);
  if (valid == 1 || (error != X509_V_ERR_CRL_HAS_EXPIRED && error != X509_V_ERR_UNABLE_TO_GET_CRL))
    return valid;
  X509_STORE_CTX_set_error(context, X509_V_OK);
  return 1;
}

// The stack holds a reference of its own to the certificate.
void push_with_reference(STACK_OF(X509) * stack, X509* certificate) {
  X509_up_ref(certificate);
  sk_X509_push(stack, certificate);
}

}  // namespace

ClientCertificateVerifier::ClientCertificateVerifier(ssl_ctx_st* context, const TlsSettings& settings,
                                                     const TlsFiles& files)
    : intermediates_(sk_X509_new_null()) {
  if (settings.client_certificates == TlsSettings::ClientCertificates::kOff) return;
  store_.reset(X509_STORE_new());
  read_authorities(context, settings, files);
  if (!settings.crl_path.empty()) read_crls(settings, files);
  if (!settings.revoked_path.empty()) {
    revoked_.parse(settings.revoked_path, files.revoked);
    trust_file_contents_ += files.revoked;
  }
  X509_STORE_set_verify_cb(store_.get(), accept_expired_or_missing_crl);
  install(context, settings.client_certificates == TlsSettings::ClientCertificates::kRequired);
}

void ClientCertificateVerifier::read_authorities(ssl_ctx_st* context, const TlsSettings& settings,
                                                 const TlsFiles& files) {
  const auto pem = make_memory_bio(files.trust);
  unsigned count = 0;
  while (const OpensslPtr<X509> authority{
      PEM_read_bio_X509(pem.get(), nullptr, reject_passphrase_prompt, nullptr)}) {
    X509_STORE_add_cert(store_.get(), authority.get());
    SSL_CTX_add_client_CA(context, authority.get());
    ++count;
  }
  ERR_clear_error();
  if (count == 0)
    throw FileError(settings.trust_path, "contains no PEM certificate of a certificate authority");
  trust_file_contents_ = files.trust;
}

void ClientCertificateVerifier::read_crls(const TlsSettings& settings, const TlsFiles& files) {
  const auto pem = make_memory_bio(files.crl);
  unsigned count = 0;
  while (const OpensslPtr<X509_CRL> crl{
      PEM_read_bio_X509_CRL(pem.get(), nullptr, reject_passphrase_prompt, nullptr)}) {
    X509_STORE_add_crl(store_.get(), crl.get());
    ++count;
  }
  ERR_clear_error();
  if (count == 0) throw FileError(settings.crl_path, "contains no PEM certificate revocation list (CRL)");
  X509_STORE_set_flags(store_.get(), X509_V_FLAG_CRL_CHECK);
  trust_file_contents_ += files.crl;
}

void ClientCertificateVerifier::install(ssl_ctx_st* context, bool certificate_required) {
  X509_STORE_up_ref(store_.get());
  SSL_CTX_set_cert_store(context, store_.get());
  SSL_CTX_set_cert_verify_callback(context, verify, this);
  SSL_CTX_set_verify_depth(context, kMaxChainDepth);
  SSL_CTX_set_verify(context, SSL_VERIFY_PEER | (certificate_required ? SSL_VERIFY_FAIL_IF_NO_PEER_CERT : 0),
                     nullptr);
}

int ClientCertificateVerifier::verify(x509_store_ctx_st* context, void* self) {
  auto* const verifier = static_cast<ClientCertificateVerifier*>(self);
  if (X509_verify_cert(context) != 1) return 0;
  STACK_OF(X509)* const chain = X509_STORE_CTX_get0_chain(context);
  for (int i = 0; i < sk_X509_num(chain); ++i) {
    if (!verifier->revoked_.contains(sk_X509_value(chain, i))) continue;
    X509_STORE_CTX_set_error(context, X509_V_ERR_CERT_REVOKED);
    return 0;
  }
  verifier->cache_intermediates(chain);
  return 1;
}

bool ClientCertificateVerifier::is_still_valid(x509_st* leaf, stack_st_X509* sent_chain) {
  const OpensslPtr<X509_STORE_CTX> context(X509_STORE_CTX_new());
  STACK_OF(X509)* const untrusted = sent_chain ? sent_chain : intermediates_.get();
  if (X509_STORE_CTX_init(context.get(), store_.get(), leaf, untrusted) != 1) return false;
  X509_STORE_CTX_set_default(context.get(), "ssl_client");
  X509_VERIFY_PARAM_set_depth(X509_STORE_CTX_get0_param(context.get()), kMaxChainDepth);
  const bool valid = verify(context.get(), this) == 1;
  ERR_clear_error();
  return valid;
}

void ClientCertificateVerifier::cache_intermediates(stack_st_X509* chain) {
  for (int i = 1; i + 1 < sk_X509_num(chain); ++i) {
    X509* const intermediate = sk_X509_value(chain, i);
    if (has_cached_intermediate(intermediate)) continue;
    if (sk_X509_num(intermediates_.get()) >= kMaxCachedIntermediates)
      X509_free(sk_X509_shift(intermediates_.get()));
    push_with_reference(intermediates_.get(), intermediate);
  }
}

bool ClientCertificateVerifier::has_cached_intermediate(x509_st* certificate) const {
  for (int i = 0; i < sk_X509_num(intermediates_.get()); ++i) {
    if (X509_cmp(sk_X509_value(intermediates_.get(), i), certificate) == 0) return true;
  }
  return false;
}

void ClientCertificateVerifier::copy_intermediates(const ClientCertificateVerifier& other) {
  for (int i = 0; i < sk_X509_num(other.intermediates_.get()); ++i)
    push_with_reference(intermediates_.get(), sk_X509_value(other.intermediates_.get(), i));
}

}  // namespace ashbeam
