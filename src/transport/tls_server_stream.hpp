// The server's side of one TLS connection, by OpenSSL. Made by TlsAcceptor, which must outlive it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "transport/handshake_scheduler.hpp"
#include "transport/openssl_ptr.hpp"
#include "transport/tls_credentials.hpp"
#include "transport/tls_stream.hpp"

namespace ashbeam {

class TlsAcceptor;

class TlsServerStream : public TlsStream {
 public:
  TlsServerStream(TlsAcceptor& acceptor, std::shared_ptr<TlsCredentials> credentials, int fd,
                  HandshakeScheduler::Id handshake_id);
  ~TlsServerStream() override;
  TlsServerStream(const TlsServerStream&) = delete;
  TlsServerStream& operator=(const TlsServerStream&) = delete;

  HandshakeResult handshake() override;
  void set_handshake_resume_callback(std::function<void()> callback) override;
  IoResult receive(char* buffer, std::size_t size) override;
  IoResult send(const char* bytes, std::size_t size) override;
  bool has_buffered_bytes() const override;
  void shutdown() override;
  PeerCertificate peer_certificate(Instant now) override;

  // For the scheduler: a deferred handshake may go on.
  void resume_handshake();
  // For the scheduler: the handshake is to fail, since another one needs its place.
  void evict();

 private:
  static void observe_message(int sent, int version, int content_type, const void* bytes, std::size_t size,
                              ssl_st* ssl, void* self);
  HandshakeResult continue_handshake();
  HandshakeResult complete_handshake();
  HandshakeResult fail_handshake(const std::string& reason);
  void leave_scheduler();
  IoResult result_of_failed_call();
  bool still_valid() const;

  TlsAcceptor& acceptor_;
  std::shared_ptr<TlsCredentials> credentials_;  // outlives ssl_
  OpensslPtr<ssl_st> ssl_;
  OpensslPtr<x509_st> peer_leaf_;  // null: none was shown
  calling::ClientCertificate peer_certificate_;
  std::optional<HandshakeScheduler::Id> handshake_id_;  // until the handshake has ended
  std::function<void()> resume_callback_;
  bool established_ = false;
  bool evicted_ = false;
  bool broken_ = false;
  bool renegotiation_refused_ = false;
  bool peer_valid_ = true;
  std::uint64_t verified_epoch_ = 0;  // the trust epoch that `peer_valid_` holds for; 0: none
};

}  // namespace ashbeam
