// The client side of TLS for fake clients. It does not verify the server's certificate.
#pragma once
#include <memory>

#include "fakes/certificate_authority.hpp"
#include "transport/tls_stream.hpp"

struct ssl_ctx_st;
struct ssl_session_st;

namespace ashbeam::fakes {

// The TLS context of one client: its certificate, and the session that later connections may resume.
class ClientTls {
 public:
  static constexpr int kTls13 = 0x0304;

  // `identity` is the client certificate, null for none; `intermediate` is added to its chain unless null.
  // `resume` makes connections resume the latest session. `newest_version` is the highest protocol version to
  // offer, in OpenSSL's numbering.
  ClientTls(const Identity* identity, const Identity* intermediate, bool resume, int newest_version = kTls13);
  ~ClientTls();
  ClientTls(const ClientTls&) = delete;
  ClientTls& operator=(const ClientTls&) = delete;

  // Creates the TLS stream of a connection. The stream must not outlive this object.
  std::unique_ptr<TlsStream> make_stream(int fd);
  // Whether the latest handshake resumed a session.
  bool has_resumed_session() const { return last_resumed_; }

 private:
  friend class ClientTlsStream;

  std::shared_ptr<ssl_ctx_st> context_;
  std::shared_ptr<ssl_session_st> session_;
  bool resume_;
  bool last_resumed_ = false;
};

}  // namespace ashbeam::fakes
