// Manages the keys that encrypt TLS session tickets (RFC 5077; RFC 8446, section 4.6.1). The key is replaced
// after its lifetime, and when the trust in client certificates changes, so that a session which was
// authenticated before that change is not resumed.
//
// OpenSSL's ticket callback calls seal() for a ticket that the server issues and open() for one that a client
// presents. Both return the result for that callback, as in SSL_CTX_set_tlsext_ticket_key_evp_cb(3). Not
// thread-safe.
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
  // The arguments of OpenSSL's ticket callback.
  struct Ticket {
    unsigned char* key_name;               // 16 bytes
    unsigned char* initialization_vector;  // EVP_MAX_IV_LENGTH bytes
    evp_cipher_ctx_st* cipher;
    evp_mac_ctx_st* mac;
  };
  // The state of the acceptor at the time of the call.
  struct Conditions {
    Instant now;
    Duration key_lifetime;          // a key seals tickets for this time, and opens them for twice this time
    std::uint64_t trust_epoch = 0;  // see TlsAcceptor
  };

  SessionTickets(Instant now, std::uint64_t trust_epoch);

  // Prepares the encryption of a new ticket. If `resumable` is false, the ticket is encrypted with a key that
  // is not kept, and therefore can never be opened. The client receives a ticket all the same, because TLS
  // 1.3 does not allow a ticket to be omitted once its encryption has begun.
  int seal(const Ticket& ticket, const Conditions& conditions, bool resumable);
  // Prepares the decryption of a ticket. If its key is unknown, expired or of another trust epoch, the result
  // makes OpenSSL continue with a full handshake.
  int open(const ssl_st* ssl, const Ticket& ticket, const Conditions& conditions);

 private:
  struct Key {
    std::array<unsigned char, 16> name;
    std::array<unsigned char, 32> cipher;
    std::array<unsigned char, 32> mac;
    Instant created_at;
    std::uint64_t trust_epoch = 0;
  };
  static Key generate_key(Instant now, std::uint64_t trust_epoch);
  // Initializes the cipher and MAC contexts of the ticket. Returns false on an error of OpenSSL.
  static bool initialize_contexts(const Ticket& ticket, const Key& key, bool sealing);
  // Replaces the current key if its lifetime has passed or the trust epoch has changed.
  void rotate(const Conditions& conditions);

  Key current_;
  Key previous_;
};

}  // namespace ashbeam
