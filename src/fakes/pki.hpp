// Certificates for tests, proofs and the demo: an authority, what it signs and revokes, and the client side
// of a TLS connection. Nothing of this is for use outside loopback.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "base/time.hpp"
#include "transport/tls_stream.hpp"

struct x509_st;
struct evp_pkey_st;
struct ssl_ctx_st;
struct ssl_session_st;

namespace ashbeam::fakes {

struct Identity {
  std::shared_ptr<x509_st> certificate;
  std::shared_ptr<evp_pkey_st> key;
  std::string certificate_pem, key_pem, serial;  // the serial in HEX
  std::string print;                             // x5t#S256, base64url
};

class Authority {
 public:
  explicit Authority(const std::string& name);
  // A leaf; times from now on. `through`: signed by an intermediate of ours instead, which `certificate_pem`
  // has behind the leaf.
  Identity issue(const std::string& organisation, const std::string& name, Span life, bool server = false,
                 const Authority* through = nullptr) const;
  Authority intermediate(const std::string& name) const;
  const Identity& self() const { return self_; }
  std::string pem() const { return self_.certificate_pem; }
  std::string revocation_list(const std::string& serial) const;  // PEM, with that serial

 private:
  Authority() = default;
  Identity self_;
};

// One client's TLS: its identity, and the session that it may resume.
class ClientTls {
 public:
  ClientTls(const Identity* identity, const Identity* between, bool resume, int newest = 0x0304);
  ~ClientTls();
  ClientTls(const ClientTls&) = delete;
  ClientTls& operator=(const ClientTls&) = delete;
  std::unique_ptr<TlsStream> veil(int fd);
  bool last_resumed() const { return resumed_; }

 private:
  friend class ClientVeil;
  std::shared_ptr<ssl_ctx_st> ctx_;
  std::shared_ptr<ssl_session_st> session_;
  bool resume_, resumed_ = false;
};

}  // namespace ashbeam::fakes
