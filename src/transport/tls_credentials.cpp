#include "transport/tls_credentials.hpp"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>

#include <string_view>

#include "base/file_error.hpp"

namespace ashbeam {

namespace {

// Maximum size of the certificate chain that a client sends.
constexpr long kMaxClientChainBytes = 16L * 1024;
// Sessions are resumed only within the same session id context (SSL_CTX_set_session_id_context(3)).
constexpr std::string_view kSessionIdContext = "ashbeam";

// The supported application protocols for ALPN (RFC 7301). Each name is preceded by its length in one byte.
constexpr unsigned char kAlpnProtocols[] = "\x08http/1.1";

// The callback of SSL_CTX_set_alpn_select_cb(3). The handshake fails if the client offers none of the
// protocols.
int select_application_protocol(SSL*, const unsigned char** selected, unsigned char* selected_size,
                                const unsigned char* offered, unsigned offered_size, void*) {
  unsigned char* chosen = nullptr;
  const int result = SSL_select_next_proto(&chosen, selected_size, kAlpnProtocols, sizeof kAlpnProtocols - 1,
                                           offered, offered_size);
  if (result != OPENSSL_NPN_NEGOTIATED) return SSL_TLSEXT_ERR_ALERT_FATAL;  // RFC 7301, section 3.2
  *selected = chosen;
  return SSL_TLSEXT_ERR_OK;
}

}  // namespace

TlsCredentials::TlsCredentials(const TlsSettings& settings, const TlsFiles& files)
    : context_(SSL_CTX_new(TLS_server_method())) {
  if (!context_)
    throw FileError(settings.certificate_path, "cannot create a TLS context: " + take_openssl_error());
  configure(settings);
  use_certificate(settings, files);
  use_private_key(settings, files);
  verifier_ = std::make_unique<ClientCertificateVerifier>(context_.get(), settings, files);
}

void TlsCredentials::configure(const TlsSettings& settings) {
  SSL_CTX* const context = context_.get();
  SSL_CTX_set_min_proto_version(context, settings.tls13_only ? TLS1_3_VERSION : TLS1_2_VERSION);
  SSL_CTX_set_options(context, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION |
                                   SSL_OP_CIPHER_SERVER_PREFERENCE | SSL_OP_IGNORE_UNEXPECTED_EOF);
  SSL_CTX_set_mode(context, SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                                SSL_MODE_RELEASE_BUFFERS);
  // Reads the header and the body of a record with one system call.
  SSL_CTX_set_read_ahead(context, 1);
  SSL_CTX_set_max_cert_list(context, kMaxClientChainBytes);
  SSL_CTX_set_alpn_select_cb(context, select_application_protocol, nullptr);
  // Sessions are resumed by tickets, which the clients store. The server stores no sessions.
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(context, 1);
  SSL_CTX_set_timeout(context, static_cast<long>(settings.ticket_key_lifetime.s() * 2));
  SSL_CTX_set_session_id_context(context, reinterpret_cast<const unsigned char*>(kSessionIdContext.data()),
                                 kSessionIdContext.size());
}

void TlsCredentials::use_certificate(const TlsSettings& settings, const TlsFiles& files) {
  const auto pem = make_memory_bio(files.certificate);
  const OpensslPtr<X509> leaf(PEM_read_bio_X509_AUX(pem.get(), nullptr, reject_passphrase_prompt, nullptr));
  if (!leaf || SSL_CTX_use_certificate(context_.get(), leaf.get()) != 1)
    throw FileError(settings.certificate_path, "cannot load a PEM certificate: " + take_openssl_error());
  while (X509* const intermediate = PEM_read_bio_X509(pem.get(), nullptr, reject_passphrase_prompt, nullptr))
    SSL_CTX_add0_chain_cert(context_.get(), intermediate);  // takes ownership
  ERR_clear_error();
}

void TlsCredentials::use_private_key(const TlsSettings& settings, const TlsFiles& files) {
  const auto pem = make_memory_bio(files.key);
  const OpensslPtr<EVP_PKEY> key(
      PEM_read_bio_PrivateKey(pem.get(), nullptr, reject_passphrase_prompt, nullptr));
  if (!key) throw FileError(settings.key_path, "cannot load a PEM private key: " + take_openssl_error());
  if (SSL_CTX_use_PrivateKey(context_.get(), key.get()) != 1)
    throw FileError(settings.key_path, "private key does not match the certificate '" +
                                           settings.certificate_path + "': " + take_openssl_error());
}

}  // namespace ashbeam
