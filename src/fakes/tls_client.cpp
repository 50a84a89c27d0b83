#include "fakes/tls_client.hpp"

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <cerrno>
#include <cstddef>
#include <functional>

namespace ashbeam::fakes {

class ClientTlsStream : public TlsStream {
 public:
  ClientTlsStream(ClientTls& tls, int fd)
      : tls_(tls), context_(tls.context_), ssl_(SSL_new(context_.get()), SSL_free) {
    SSL_set_fd(ssl_.get(), fd);
    SSL_set_connect_state(ssl_.get());
    SSL_set_app_data(ssl_.get(), &tls_);
    if (tls_.resume_ && tls_.session_) SSL_set_session(ssl_.get(), tls_.session_.get());
  }
  // OpenSSL invalidates the session of a connection that ended without close_notify. Marking the shutdown as
  // complete keeps it usable, so that the client can resume it.
  ~ClientTlsStream() override { SSL_set_shutdown(ssl_.get(), SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN); }

  HandshakeResult handshake() override {
    ERR_clear_error();
    const int result = SSL_do_handshake(ssl_.get());
    if (result == 1) {
      tls_.last_resumed_ = SSL_session_reused(ssl_.get()) == 1;
      return HandshakeResult::kDone;
    }
    switch (SSL_get_error(ssl_.get(), result)) {
      case SSL_ERROR_WANT_READ:
        return HandshakeResult::kWantRead;
      case SSL_ERROR_WANT_WRITE:
        return HandshakeResult::kWantWrite;
      default:
        return HandshakeResult::kFailed;
    }
  }
  void set_handshake_resume_callback(std::function<void()>) override {}
  IoResult receive(char* to, std::size_t most) override {
    ERR_clear_error();
    return io_result(SSL_read(ssl_.get(), to, static_cast<int>(most)));
  }
  IoResult send(const char* from, std::size_t size) override {
    ERR_clear_error();
    return io_result(SSL_write(ssl_.get(), from, static_cast<int>(size)));
  }
  bool has_buffered_bytes() const override { return SSL_pending(ssl_.get()) > 0; }
  void shutdown() override { SSL_shutdown(ssl_.get()); }
  PeerCertificate peer_certificate(Instant) override { return {}; }

 private:
  IoResult io_result(int result) {
    if (result > 0) return IoResult::done(static_cast<std::size_t>(result));
    const int error = SSL_get_error(ssl_.get(), result);
    if (error == SSL_ERROR_ZERO_RETURN) return IoResult::ended();
    const bool must_wait = error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE;
    return must_wait ? IoResult::would_block() : IoResult::broken();
  }

  ClientTls& tls_;
  std::shared_ptr<SSL_CTX> context_;
  std::shared_ptr<SSL> ssl_;
};

ClientTls::ClientTls(const Identity* identity, const Identity* intermediate, bool resume, int newest_version)
    : context_(SSL_CTX_new(TLS_client_method()), SSL_CTX_free), resume_(resume) {
  SSL_CTX* const context = context_.get();
  SSL_CTX_set_max_proto_version(context, newest_version);
  SSL_CTX_set_mode(context, SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  if (identity) {
    SSL_CTX_use_certificate(context, identity->certificate.get());
    SSL_CTX_use_PrivateKey(context, identity->key.get());
  }
  if (intermediate) SSL_CTX_add1_chain_cert(context, intermediate->certificate.get());
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_CLIENT | SSL_SESS_CACHE_NO_INTERNAL);
  SSL_CTX_sess_set_new_cb(context, [](SSL* ssl, SSL_SESSION* session) {
    auto* const self = static_cast<ClientTls*>(SSL_get_app_data(ssl));
    self->session_.reset(session, SSL_SESSION_free);
    return 1;
  });
}

ClientTls::~ClientTls() = default;

std::unique_ptr<TlsStream> ClientTls::make_stream(int fd) {
  return std::make_unique<ClientTlsStream>(*this, fd);
}

}  // namespace ashbeam::fakes
