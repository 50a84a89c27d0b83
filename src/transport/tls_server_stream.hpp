// The server side of one TLS connection, implemented with OpenSSL. TlsAcceptor creates it and must outlive
// it.
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
  // `fd` remains owned by the caller and must stay open while the stream exists. `handshake_id` is the id
  // that HandshakeScheduler::admit() returned.
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

  // Called by the scheduler when a deferred handshake may continue.
  void resume_handshake();
  // Called by the scheduler to make the handshake fail, so that another one can be admitted in its place.
  void evict();

 private:
  // The callback of SSL_set_msg_callback(3), which is called for each protocol message that is sent or
  // received.
  static void observe_message(int sent, int version, int content_type, const void* bytes, std::size_t size,
                              ssl_st* ssl, void* self);
  HandshakeResult continue_handshake();
  HandshakeResult complete_handshake();
  HandshakeResult fail_handshake(const std::string& reason);
  // Reports the end of the handshake to the scheduler, once.
  void finish_in_scheduler();
  // Returns the result of an SSL_read_ex(3) or SSL_write_ex(3) that has failed.
  IoResult result_of_failed_call();
  // Verifies the certificate of the peer again with the acceptor's current credentials.
  bool is_peer_still_valid() const;

  TlsAcceptor& acceptor_;
  std::shared_ptr<TlsCredentials> credentials_;  // declared before ssl_, which it must outlive
  OpensslPtr<ssl_st> ssl_;
  OpensslPtr<x509_st> peer_leaf_;  // null if the peer sent no certificate
  calling::ClientCertificate peer_certificate_;
  std::optional<HandshakeScheduler::Id> handshake_id_;  // empty once the handshake has ended
  std::function<void()> resume_callback_;
  bool established_ = false;
  bool evicted_ = false;
  bool broken_ = false;
  bool renegotiation_refused_ = false;
  bool peer_valid_ = true;
  std::uint64_t verified_epoch_ = 0;  // the trust epoch in which `peer_valid_` was determined; 0 if in none
};

}  // namespace ashbeam
