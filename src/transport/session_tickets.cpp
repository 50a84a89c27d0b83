#include "transport/session_tickets.hpp"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>

#include <algorithm>

namespace ashbeam {

namespace {

// Results of the ticket callback (SSL_CTX_set_tlsext_ticket_key_evp_cb(3)).
constexpr int kError = -1;
constexpr int kUnknownTicket = 0;  // OpenSSL continues with a full handshake
constexpr int kProceed = 1;
constexpr int kProceedAndRenew = 2;  // OpenSSL resumes the session and issues a new ticket

// A number that no trust epoch has.
constexpr std::uint64_t kNoTrustEpoch = 0;

}  // namespace

SessionTickets::SessionTickets(Instant now, std::uint64_t trust_epoch)
    : current_(generate_key(now, trust_epoch)), previous_(current_) {}

SessionTickets::Key SessionTickets::generate_key(Instant now, std::uint64_t trust_epoch) {
  Key key{};
  RAND_bytes(key.name.data(), static_cast<int>(key.name.size()));
  RAND_priv_bytes(key.cipher.data(), static_cast<int>(key.cipher.size()));
  RAND_priv_bytes(key.mac.data(), static_cast<int>(key.mac.size()));
  key.created_at = now;
  key.trust_epoch = trust_epoch;
  return key;
}

void SessionTickets::rotate(const Conditions& conditions) {
  const bool expired = conditions.now - current_.created_at > conditions.key_lifetime;
  if (!expired && current_.trust_epoch == conditions.trust_epoch) return;
  previous_ = current_;
  current_ = generate_key(conditions.now, conditions.trust_epoch);
}

int SessionTickets::seal(const Ticket& ticket, const Conditions& conditions, bool resumable) {
  rotate(conditions);
  const Key key = resumable ? current_ : generate_key(conditions.now, kNoTrustEpoch);
  std::copy(key.name.begin(), key.name.end(), ticket.key_name);
  if (RAND_bytes(ticket.initialization_vector, EVP_MAX_IV_LENGTH) != 1) return kError;
  return initialize_contexts(ticket, key, true) ? kProceed : kError;
}

int SessionTickets::open(const ssl_st* ssl, const Ticket& ticket, const Conditions& conditions) {
  rotate(conditions);
  const auto sealed_with = [&](const Key& key) {
    return std::equal(key.name.begin(), key.name.end(), ticket.key_name);
  };
  const bool by_current_key = sealed_with(current_);
  const Key& key = by_current_key ? current_ : previous_;
  const bool expired = conditions.now - key.created_at > conditions.key_lifetime * 2;
  if (!sealed_with(key) || key.trust_epoch != conditions.trust_epoch || expired) return kUnknownTicket;
  if (!initialize_contexts(ticket, key, false)) return kError;
  // Clients should use a ticket of TLS 1.3 only once (RFC 8446, appendix C.4), so each use is answered with a
  // new one.
  return by_current_key && SSL_version(ssl) < TLS1_3_VERSION ? kProceed : kProceedAndRenew;
}

// Uses AES-256-CBC, and HMAC-SHA-256 over the encrypted ticket, in the construction of RFC 5077, section 4.
bool SessionTickets::initialize_contexts(const Ticket& ticket, const Key& key, bool sealing) {
  char digest[] = "SHA256";
  auto* const mac_key = const_cast<unsigned char*>(key.mac.data());  // OpenSSL does not modify the key
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_octet_string(OSSL_MAC_PARAM_KEY, mac_key, key.mac.size()),
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0), OSSL_PARAM_construct_end()};
  return EVP_MAC_CTX_set_params(ticket.mac, parameters) == 1 &&
         EVP_CipherInit_ex(ticket.cipher, EVP_aes_256_cbc(), nullptr, key.cipher.data(),
                           ticket.initialization_vector, sealing ? 1 : 0) == 1;
}

}  // namespace ashbeam
