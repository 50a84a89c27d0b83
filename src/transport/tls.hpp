// The TLS side of a listener (RFC 8446, RFC 5246), server side only, by OpenSSL on the one reactor.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "calling/handshakes.hpp"
#include "transport/loop.hpp"
#include "transport/tls_terms.hpp"
#include "transport/veil.hpp"

struct ssl_st;
struct evp_cipher_ctx_st;
struct evp_mac_ctx_st;

namespace ashbeam {

// Certificates, keys, who signs clients' certificates and what of those is revoked: read whole, then never
// changed. Made on any thread; throws std::runtime_error, whose text begins
// with the path of what is wrong.
class TlsMaterial {
 public:
  TlsMaterial(const TlsTerms& terms, const TlsFiles& files);
  ~TlsMaterial();
  TlsMaterial(const TlsMaterial&) = delete;
  TlsMaterial& operator=(const TlsMaterial&) = delete;

 private:
  friend class TlsDoor;
  friend class TlsVeil;
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

class TlsVeil;

class TlsDoor {
 public:
  using Note = std::function<void(std::string_view)>;
  TlsDoor(Loop& loop, const TlsTerms& terms, std::shared_ptr<TlsMaterial> material, Note note);
  ~TlsDoor();
  TlsDoor(const TlsDoor&) = delete;
  TlsDoor& operator=(const TlsDoor&) = delete;

  // From now on: new connections have these certificates; tickets and kept connections that were proven under
  // another trust are checked again. No connection is dropped.
  void take(const TlsTerms& terms, std::shared_ptr<TlsMaterial> material);
  // Null: there is no room for another handshake, and the connection is to be closed.
  std::unique_ptr<Veil> veil(int fd);
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
  void adopt(std::shared_ptr<TlsMaterial> material);
  void over(TlsVeil* veil);
  void later();
  // One line for each kind and second.
  void complain(const std::string& kind);
  static int ticket(ssl_st* ssl, unsigned char* name, unsigned char* iv, evp_cipher_ctx_st* cipher,
                    evp_mac_ctx_st* mac, int sealing);

  Loop& loop_;
  TlsTerms terms_;
  std::shared_ptr<TlsMaterial> material_;
  Note note_;
  std::uint64_t epoch_ = 1;
  TicketKey current_, previous_;
  calling::Handshakes handshakes_;
  std::map<calling::Handshakes::Id, TlsVeil*> under_way_;
  struct Complaint {
    Instant told;
    unsigned more = 0;
  };
  std::map<std::string, Complaint> complaints_;
  Counts counts_;
  Timer later_;
};

}  // namespace ashbeam
