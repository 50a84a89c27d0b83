#include "transport/session_tickets.hpp"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>

#include <algorithm>

namespace ashbeam {

namespace {

// Results of the ticket callback.
constexpr int kError = -1;
constexpr int kUnknownTicket = 0;  // a full handshake follows
constexpr int kProceed = 1;
constexpr int kOpenedRenewTicket = 2;  // the session goes on, and the client gets a new ticket

// No trust epoch has this number.
constexpr std::uint64_t kNoTrustEpoch = 0;

}  // namespace

SessionTickets::SessionTickets(Instant now, std::uint64_t trust_epoch)
    : current_(generate(now, trust_epoch)), previous_(current_) {}

SessionTickets::Key SessionTickets::generate(Instant now, std::uint64_t trust_epoch) {
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
  current_ = generate(conditions.now, conditions.trust_epoch);
}

int SessionTickets::seal(const Ticket& ticket, const Conditions& conditions, bool resumable) {
  rotate(conditions);
  const Key key = resumable ? current_ : generate(conditions.now, kNoTrustEpoch);
  std::copy(key.name.begin(), key.name.end(), ticket.key_name);
  if (RAND_bytes(ticket.initialization_vector, EVP_MAX_IV_LENGTH) != 1) return kError;
  return set_up(ticket, key, true) ? kProceed : kError;
}

int SessionTickets::open(const ssl_st* ssl, const Ticket& ticket, const Conditions& conditions) {
  rotate(conditions);
  const auto sealed_with = [&](const Key& key) {
    return std::equal(key.name.begin(), key.name.end(), ticket.key_name);
  };
  const bool by_current = sealed_with(current_);
  const Key& key = by_current ? current_ : previous_;
  const bool expired = conditions.now - key.created_at > conditions.key_lifetime * 2;
  if (!sealed_with(key) || key.trust_epoch != conditions.trust_epoch || expired) return kUnknownTicket;
  if (!set_up(ticket, key, false)) return kError;
  // A ticket of TLS 1.3 is used once (RFC 8446, appendix C.4), so each use brings a new one.
  return by_current && SSL_version(ssl) < TLS1_3_VERSION ? kProceed : kOpenedRenewTicket;
}

// RFC 5077, section 4: AES-256-CBC, and HMAC-SHA-256 over what is sealed.
bool SessionTickets::set_up(const Ticket& ticket, const Key& key, bool sealing) {
  char digest[] = "SHA256";
  auto* const mac_key = const_cast<unsigned char*>(key.mac.data());  // OpenSSL only reads it
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_octet_string(OSSL_MAC_PARAM_KEY, mac_key, key.mac.size()),
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0), OSSL_PARAM_construct_end()};
  return EVP_MAC_CTX_set_params(ticket.mac, parameters) == 1 &&
         EVP_CipherInit_ex(ticket.cipher, EVP_aes_256_cbc(), nullptr, key.cipher.data(),
                           ticket.initialization_vector, sealing ? 1 : 0) == 1;
}

}  // namespace ashbeam
