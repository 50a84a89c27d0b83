// The TLS side of a listener (RFC 8446, RFC 5246), server side only, by OpenSSL on the one reactor.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "calling/handshake_limiter.hpp"
#include "transport/event_loop.hpp"
#include "transport/tls_settings.hpp"
#include "transport/tls_stream.hpp"

struct ssl_st;
struct evp_cipher_ctx_st;
struct evp_mac_ctx_st;

namespace ashbeam {

// Certificates, keys, who signs clients' certificates and what of those is revoked: read whole, then never
// changed. Made on any thread; throws std::runtime_error, whose text begins
// with the path of what is wrong.
class TlsCredentials {
 public:
  TlsCredentials(const TlsSettings& terms, const TlsFiles& files);
  ~TlsCredentials();
  TlsCredentials(const TlsCredentials&) = delete;
  TlsCredentials& operator=(const TlsCredentials&) = delete;

 private:
  friend class TlsAcceptor;
  friend class TlsVeil;
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

class TlsVeil;

class TlsAcceptor {
 public:
  using Note = std::function<void(std::string_view)>;
  TlsAcceptor(EventLoop& loop, const TlsSettings& terms, std::shared_ptr<TlsCredentials> material, Note note);
  ~TlsAcceptor();
  TlsAcceptor(const TlsAcceptor&) = delete;
  TlsAcceptor& operator=(const TlsAcceptor&) = delete;

  // From now on: new connections have these certificates; tickets and kept connections that were proven under
  // another trust are checked again. No connection is dropped.
  void take(const TlsSettings& terms, std::shared_ptr<TlsCredentials> material);
  // Null: there is no room for another handshake, and the connection is to be closed.
  std::unique_ptr<TlsStream> veil(int fd);
  Span handshake() const { return terms_.handshake; }
  struct Counts {
    std::uint64_t full = 0, resumed = 0, failed = 0, turned_away = 0;
  };
  const Counts& counts() const { return counts_; }
  std::uint64_t trust_epoch() const { return epoch_; }

 private:
  friend class TlsVeil;
  struct TicketKey {
    unsigned char name[16], cipher[32], mac[32];
    Instant made;
    std::uint64_t epoch = 0;  // of the trust: what was proven under another one is not resumed
  };
  static TicketKey fresh_key(Instant now, std::uint64_t epoch);
  const TicketKey& ticket_key();
  void adopt(std::shared_ptr<TlsCredentials> material);
  void over(TlsVeil* veil);
  void later();
  // One line for each kind and second.
  void complain(const std::string& kind);
  static int ticket(ssl_st* ssl, unsigned char* name, unsigned char* iv, evp_cipher_ctx_st* cipher,
                    evp_mac_ctx_st* mac, int sealing);

  EventLoop& loop_;
  TlsSettings terms_;
  std::shared_ptr<TlsCredentials> material_;
  Note note_;
  std::uint64_t epoch_ = 1;
  TicketKey current_, previous_;
  calling::HandshakeLimiter handshakes_;
  std::map<calling::HandshakeLimiter::Id, TlsVeil*> under_way_;
  struct Complaint {
    Instant told;
    unsigned more = 0;
  };
  std::map<std::string, Complaint> complaints_;
  Counts counts_;
  Timer later_;
};

}  // namespace ashbeam
