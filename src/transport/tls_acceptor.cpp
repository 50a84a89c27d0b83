#include "transport/tls_acceptor.hpp"

#include <openssl/ssl.h>

#include <utility>

#include "transport/tls_server_stream.hpp"

namespace ashbeam {

TlsAcceptor::TlsAcceptor(EventLoop& loop, const TlsSettings& settings,
                         std::shared_ptr<TlsCredentials> credentials, Log log)
    : loop_(loop), settings_(settings), log_(std::move(log)), tickets_(loop.now(), trust_epoch_),
      scheduler_(loop, settings), client_error_log_("tls: ", log_) {
  set_credentials(std::move(credentials));
}

void TlsAcceptor::set_credentials(std::shared_ptr<TlsCredentials> credentials) {
  credentials_ = std::move(credentials);
  SSL_CTX_set_app_data(credentials_->context(), this);
  SSL_CTX_set_tlsext_ticket_key_evp_cb(credentials_->context(), process_ticket);
}

void TlsAcceptor::replace_credentials(const TlsSettings& settings,
                                      std::shared_ptr<TlsCredentials> credentials) {
  const ClientCertificateVerifier& former = credentials_->verifier();
  const bool trust_changed = credentials->verifier().trust_file_contents() != former.trust_file_contents() ||
                             settings.client_certificates != settings_.client_certificates;
  credentials->verifier().copy_intermediates(former);
  settings_ = settings;
  scheduler_.set_limits(settings);
  set_credentials(std::move(credentials));
  if (trust_changed) ++trust_epoch_;
  log_("tls: certificates and settings reloaded, trust in client certificates " +
       std::string(trust_changed ? "changed" : "unchanged") + ", trust epoch " +
       std::to_string(trust_epoch_));
}

std::unique_ptr<TlsStream> TlsAcceptor::accept(int fd) {
  const auto handshake_id = scheduler_.admit();
  if (!handshake_id) {
    ++counts_.rejected;
    log_client_error("connection closed: maximum of " + std::to_string(settings_.max_handshakes) +
                     " concurrent handshakes in progress");
    return nullptr;
  }
  auto stream = std::make_unique<TlsServerStream>(*this, credentials_, fd, *handshake_id);
  scheduler_.attach(*handshake_id, *stream);
  return stream;
}

// NOLINTNEXTLINE(readability-non-const-parameter): OpenSSL prescribes the signature
int TlsAcceptor::process_ticket(ssl_st* ssl, unsigned char* key_name, unsigned char* initialization_vector,
                                evp_cipher_ctx_st* cipher, evp_mac_ctx_st* mac, int sealing) {
  const SSL_CTX* const context = SSL_get_SSL_CTX(ssl);
  auto* const acceptor = static_cast<TlsAcceptor*>(SSL_CTX_get_app_data(context));
  const SessionTickets::Ticket ticket{key_name, initialization_vector, cipher, mac};
  const SessionTickets::Conditions conditions{acceptor->loop_.now(), acceptor->settings_.ticket_key_lifetime,
                                              acceptor->trust_epoch_};
  if (sealing != 1) return acceptor->tickets_.open(ssl, ticket, conditions);
  // A handshake that began with former credentials may have been authenticated in a former trust epoch.
  const bool resumable = context == acceptor->credentials_->context();
  return acceptor->tickets_.seal(ticket, conditions, resumable);
}

}  // namespace ashbeam
