// The client's side of TLS for fake clients. It verifies nothing of the server.
#pragma once
#include <memory>

#include "fakes/certificate_authority.hpp"
#include "transport/tls_stream.hpp"

struct ssl_ctx_st;
struct ssl_session_st;

namespace ashbeam::fakes {

// One client's TLS: its identity, and the session that it may resume.
class ClientTls {
 public:
  static constexpr int kTls13 = 0x0304;

  // `identity` (null: none) is shown to servers, with `intermediate` (null: none) as its chain. `resume`:
  // whether connections resume the last session. `newest_version`: of the protocol, as OpenSSL numbers it.
  ClientTls(const Identity* identity, const Identity* intermediate, bool resume, int newest_version = kTls13);
  ~ClientTls();
  ClientTls(const ClientTls&) = delete;
  ClientTls& operator=(const ClientTls&) = delete;

  // The stream of one connection, which must not outlive this.
  std::unique_ptr<TlsStream> make_stream(int fd);
  // Whether the last handshake resumed a session.
  bool has_resumed_session() const { return last_resumed_; }

 private:
  friend class ClientTlsStream;

  std::shared_ptr<ssl_ctx_st> context_;
  std::shared_ptr<ssl_session_st> session_;
  bool resume_;
  bool last_resumed_ = false;
};

}  // namespace ashbeam::fakes
