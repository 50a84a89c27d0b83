// The server's side of TLS for one listener: makes a stream of each accepted connection, resumes sessions by
// tickets, and replaces its credentials while it runs.
//
// The trust in clients' certificates has an epoch, which begins anew with each change of it. What was proven
// in a former epoch is verified again before it counts: on open connections at their next request, and by a
// full handshake where a ticket would have resumed the session.
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
  struct Counts {  // of handshakes
    std::uint64_t full = 0;
    std::uint64_t resumed = 0;
    std::uint64_t failed = 0;
    std::uint64_t rejected = 0;  // for want of room
  };

  TlsAcceptor(EventLoop& loop, const TlsSettings& settings, std::shared_ptr<TlsCredentials> credentials,
              Log log);
  TlsAcceptor(const TlsAcceptor&) = delete;
  TlsAcceptor& operator=(const TlsAcceptor&) = delete;

  // New connections have these credentials from now on; open ones stand. The listener's address stays as it
  // is.
  void replace_credentials(const TlsSettings& settings, std::shared_ptr<TlsCredentials> credentials);
  // A stream for an accepted socket, which the caller goes on owning. Null: there is no room for another
  // handshake, and the connection is to be closed.
  std::unique_ptr<TlsStream> accept(int fd);
  Duration handshake_timeout() const { return settings_.handshake_timeout; }
  std::size_t handshakes_in_progress() const { return scheduler_.in_progress(); }
  const Counts& counts() const { return counts_; }
  std::uint64_t trust_epoch() const { return trust_epoch_; }

 private:
  friend class TlsServerStream;

  void install(std::shared_ptr<TlsCredentials> credentials);
  void log_fault(const std::string& fault) { faults_.line(fault, loop_.now()); }
  // OpenSSL's callback: sealing 1 for a new ticket, 0 for one that a client brings.
  static int process_ticket(ssl_st* ssl, unsigned char* key_name, unsigned char* initialization_vector,
                            evp_cipher_ctx_st* cipher, evp_mac_ctx_st* mac, int sealing);

  EventLoop& loop_;
  TlsSettings settings_;
  std::shared_ptr<TlsCredentials> credentials_;
  Log log_;
  std::uint64_t trust_epoch_ = 1;
  SessionTickets tickets_;
  HandshakeScheduler scheduler_;
  RateLimitedLog faults_;
  Counts counts_;
};

}  // namespace ashbeam
