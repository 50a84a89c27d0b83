// The keys of TLS session tickets (RFC 5077; RFC 8446, section 4.6.1): replaced after their lifetime, and
// when the trust in clients' certificates changes, so that what was proven under a former trust is not
// resumed.
//
// Used by OpenSSL's ticket callback: `seal` for a new ticket, `open` for one that a client brings. Both say
// what the callback returns (SSL_CTX_set_tlsext_ticket_key_evp_cb(3)). Not thread-safe.
#pragma once
#include <array>
#include <cstdint>

#include "base/time.hpp"

struct evp_cipher_ctx_st;
struct evp_mac_ctx_st;
struct ssl_st;

namespace ashbeam {

class SessionTickets {
 public:
  // What the callback is given.
  struct Ticket {
    unsigned char* key_name;  // 16 bytes
    unsigned char* initialization_vector;
    evp_cipher_ctx_st* cipher;
    evp_mac_ctx_st* mac;
  };
  // How things stand at the call.
  struct Conditions {
    Instant now;
    Duration key_lifetime;
    std::uint64_t trust_epoch = 0;
  };

  SessionTickets(Instant now, std::uint64_t trust_epoch);

  // `resumable` false: the ticket can never be opened. The client gets one all the same, since TLS 1.3
  // doesn't let a ticket be left out once its sealing has begun.
  int seal(const Ticket& ticket, const Conditions& conditions, bool resumable);
  int open(const ssl_st* ssl, const Ticket& ticket, const Conditions& conditions);

 private:
  struct Key {
    std::array<unsigned char, 16> name;
    std::array<unsigned char, 32> cipher;
    std::array<unsigned char, 32> mac;
    Instant created_at;
    std::uint64_t trust_epoch = 0;
  };
  static Key generate(Instant now, std::uint64_t trust_epoch);
  static bool set_up(const Ticket& ticket, const Key& key, bool sealing);
  void rotate(const Conditions& conditions);

  Key current_;
  Key previous_;
};

}  // namespace ashbeam
