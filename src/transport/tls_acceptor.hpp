// The server side of TLS for one listener. Creates a TLS stream for each accepted connection, resumes
// sessions by session tickets, and can replace its credentials at run time. All functions must be called on
// the event loop's thread.
//
// The trust epoch is a number that increases whenever the trusted authorities, the revocations or the mode of
// client authentication change. A client certificate that was verified in a former epoch is verified again:
// on an open connection at its next request, and by a full handshake if the client presents a ticket of a
// former epoch.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/event_loop.hpp"
#include "transport/handshake_scheduler.hpp"
#include "transport/rate_limited_log.hpp"
#include "transport/session_tickets.hpp"
#include "transport/tls_credentials.hpp"
#include "transport/tls_settings.hpp"
#include "transport/tls_stream.hpp"

namespace ashbeam {

class TlsAcceptor {
 public:
  using Log = std::function<void(std::string_view)>;
  // Numbers of handshakes since the start.
  struct Counts {
    std::uint64_t full = 0;
    std::uint64_t resumed = 0;
    std::uint64_t failed = 0;
    std::uint64_t rejected = 0;  // because the maximum number of handshakes was in progress
  };

  TlsAcceptor(EventLoop& loop, const TlsSettings& settings, std::shared_ptr<TlsCredentials> credentials,
              Log log);
  TlsAcceptor(const TlsAcceptor&) = delete;
  TlsAcceptor& operator=(const TlsAcceptor&) = delete;

  // Uses these settings and credentials for new connections. Open connections are kept. A changed listen
  // address in `settings` has no effect.
  void replace_credentials(const TlsSettings& settings, std::shared_ptr<TlsCredentials> credentials);
  // Creates the stream of an accepted socket, which the caller continues to own. Returns null if the maximum
  // number of handshakes is in progress; the caller must then close the connection. The acceptor must outlive
  // the stream.
  std::unique_ptr<TlsStream> accept(int fd);
  // The maximum time from accepting a connection to the end of its handshake, which the caller enforces.
  Duration handshake_timeout() const { return settings_.handshake_timeout; }
  std::size_t handshakes_in_progress() const { return scheduler_.in_progress(); }
  const Counts& counts() const { return counts_; }
  std::uint64_t trust_epoch() const { return trust_epoch_; }

 private:
  friend class TlsServerStream;

  void set_credentials(std::shared_ptr<TlsCredentials> credentials);
  // Logs an error that a client can cause at will, rate-limited.
  void log_client_error(const std::string& error) { client_error_log_.write_line(error, loop_.now()); }
  // OpenSSL's ticket callback. `sealing` is 1 for a ticket that the server issues and 0 for one that a client
  // presents.
  static int process_ticket(ssl_st* ssl, unsigned char* key_name, unsigned char* initialization_vector,
                            evp_cipher_ctx_st* cipher, evp_mac_ctx_st* mac, int sealing);

  EventLoop& loop_;
  TlsSettings settings_;
  std::shared_ptr<TlsCredentials> credentials_;
  Log log_;
  std::uint64_t trust_epoch_ = 1;
  SessionTickets tickets_;
  HandshakeScheduler scheduler_;
  RateLimitedLog client_error_log_;
  Counts counts_;
};

}  // namespace ashbeam
