#include "transport/tls_server_stream.hpp"

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <ctime>

#include "transport/tls_acceptor.hpp"
#include "transport/x509_fields.hpp"

namespace ashbeam {

namespace {

// A number that no trust epoch has.
constexpr std::uint64_t kNoTrustEpoch = 0;
constexpr unsigned char kAlertNoRenegotiation = 100;  // RFC 5246, section 7.2
constexpr std::size_t kAlertBytes = 2;                // AlertLevel and AlertDescription, one byte each

Duration thread_cpu_time() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return Duration::us(static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000);
}

}  // namespace

TlsServerStream::TlsServerStream(TlsAcceptor& acceptor, std::shared_ptr<TlsCredentials> credentials, int fd,
                                 HandshakeScheduler::Id handshake_id)
    : acceptor_(acceptor), credentials_(std::move(credentials)), ssl_(SSL_new(credentials_->context())),
      handshake_id_(handshake_id) {
  SSL_set_fd(ssl_.get(), fd);
  SSL_set_accept_state(ssl_.get());
  SSL_set_msg_callback(ssl_.get(), observe_message);
  SSL_set_msg_callback_arg(ssl_.get(), this);
}

TlsServerStream::~TlsServerStream() { finish_in_scheduler(); }

// ---- Handshake ----

TlsStream::HandshakeResult TlsServerStream::handshake() {
  if (evicted_)
    return fail_handshake("evicted for a new handshake at the maximum number of concurrent handshakes");
  // The scheduler does not know the handshake any more once it has ended.
  const auto id = handshake_id_.value_or(calling::HandshakeLimiter::kNone);
  if (!acceptor_.scheduler_.may_proceed(id)) return HandshakeResult::kDeferred;
  return continue_handshake();
}

TlsStream::HandshakeResult TlsServerStream::continue_handshake() {
  ERR_clear_error();
  const Duration cpu_time_before = thread_cpu_time();
  const int result = SSL_do_handshake(ssl_.get());
  acceptor_.scheduler_.add_cpu_time(thread_cpu_time() - cpu_time_before);
  if (result == 1) return complete_handshake();
  switch (SSL_get_error(ssl_.get(), result)) {
    case SSL_ERROR_WANT_READ:
      return HandshakeResult::kWantRead;
    case SSL_ERROR_WANT_WRITE:
      return HandshakeResult::kWantWrite;
    case SSL_ERROR_SSL:
      return fail_handshake(take_openssl_error());
    default:
      return fail_handshake("connection closed or reset");
  }
}

TlsStream::HandshakeResult TlsServerStream::complete_handshake() {
  established_ = true;
  const bool resumed = SSL_session_reused(ssl_.get()) == 1;
  ++(resumed ? acceptor_.counts_.resumed : acceptor_.counts_.full);
  finish_in_scheduler();
  // Only tickets of the current epoch are opened, so the certificate of a resumed session was verified in
  // that epoch. If the credentials were replaced during the handshake, the certificate is verified again
  // before it is used.
  const bool credentials_current = credentials_ == acceptor_.credentials_;
  verified_epoch_ = credentials_current ? acceptor_.trust_epoch_ : kNoTrustEpoch;
  peer_leaf_.reset(SSL_get1_peer_certificate(ssl_.get()));
  if (peer_leaf_) peer_certificate_ = read_client_certificate(peer_leaf_.get());
  return HandshakeResult::kDone;
}

TlsStream::HandshakeResult TlsServerStream::fail_handshake(const std::string& reason) {
  ++acceptor_.counts_.failed;
  // OpenSSL reports a plain HTTP request, in place of a handshake, with this reason.
  acceptor_.log_client_error(reason == "http request" ? "handshake failed: plain HTTP request on the TLS port"
                                                      : "handshake failed: " + reason);
  finish_in_scheduler();
  return HandshakeResult::kFailed;
}

void TlsServerStream::finish_in_scheduler() {
  if (handshake_id_) acceptor_.scheduler_.finish(*handshake_id_);
  handshake_id_.reset();
}

void TlsServerStream::set_handshake_resume_callback(std::function<void()> callback) {
  resume_callback_ = std::move(callback);
}

void TlsServerStream::resume_handshake() {
  if (resume_callback_) resume_callback_();
}

void TlsServerStream::evict() {
  evicted_ = true;
  resume_handshake();
}

// ---- Reading and writing ----

IoResult TlsServerStream::receive(char* buffer, std::size_t size) {
  ERR_clear_error();
  std::size_t count = 0;
  if (SSL_read_ex(ssl_.get(), buffer, size, &count) == 1) return IoResult::done(count);
  return result_of_failed_call();
}

IoResult TlsServerStream::send(const char* bytes, std::size_t size) {
  ERR_clear_error();
  std::size_t count = 0;
  if (SSL_write_ex(ssl_.get(), bytes, size, &count) == 1) return IoResult::done(count);
  return result_of_failed_call();
}

IoResult TlsServerStream::result_of_failed_call() {
  const int error = SSL_get_error(ssl_.get(), 0);
  if (error == SSL_ERROR_ZERO_RETURN) return IoResult::ended();
  if (renegotiation_refused_) {
    acceptor_.log_client_error("connection closed: client requested a renegotiation, which is not supported");
    broken_ = true;
    return IoResult::broken();
  }
  if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) return IoResult::would_block();
  if (error == SSL_ERROR_SSL) acceptor_.log_client_error("connection failed: " + take_openssl_error());
  broken_ = true;
  return IoResult::broken();
}

bool TlsServerStream::has_buffered_bytes() const { return SSL_has_pending(ssl_.get()) == 1; }

void TlsServerStream::shutdown() {
  if (!established_ || broken_) return;
  ERR_clear_error();
  SSL_shutdown(ssl_.get());
  ERR_clear_error();
}

// OpenSSL answers each request for renegotiation only with the warning alert no_renegotiation, and a client
// could repeat such requests to use CPU time. When that alert is sent, the connection is marked here, and is
// closed after the call that sent it.
void TlsServerStream::observe_message(int sent, int, int content_type, const void* bytes, std::size_t size,
                                      ssl_st*, void* self) {
  const bool alert_sent = sent == 1 && content_type == SSL3_RT_ALERT && size == kAlertBytes;
  if (alert_sent && static_cast<const unsigned char*>(bytes)[1] == kAlertNoRenegotiation)
    static_cast<TlsServerStream*>(self)->renegotiation_refused_ = true;
}

// ---- Certificate of the peer ----

TlsStream::PeerCertificate TlsServerStream::peer_certificate(Instant now) {
  if (!peer_leaf_) return {};
  if (verified_epoch_ != acceptor_.trust_epoch_) {
    peer_valid_ = is_peer_still_valid();
    verified_epoch_ = acceptor_.trust_epoch_;
  }
  const bool expired = now + acceptor_.loop_.wall_clock_offset() > peer_certificate_.not_after;
  return {&peer_certificate_, !peer_valid_ || expired};
}

// A certificate is not valid any more if the current credentials do not request client certificates.
bool TlsServerStream::is_peer_still_valid() const {
  ClientCertificateVerifier& verifier = acceptor_.credentials_->verifier();
  if (!verifier.is_enabled()) return false;
  const bool resumed = SSL_session_reused(ssl_.get()) == 1;
  return verifier.is_still_valid(peer_leaf_.get(), resumed ? nullptr : SSL_get_peer_cert_chain(ssl_.get()));
}

}  // namespace ashbeam
