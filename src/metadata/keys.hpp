// Keys and signatures of metadata (TUF 1.0, section 4.2): Ed25519, ECDSA on P-256, RSA-PSS with SHA-256.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "metadata/json.hpp"
#include "metadata/refusal.hpp"

struct evp_pkey_st;

namespace ashbeam::metadata {

std::string sha256_hex(std::string_view bytes);
std::string sha512_hex(std::string_view bytes);
// In lower case.
std::string to_hex(std::string_view bytes);
// Nothing where a character is no hex digit, or their number is odd.
std::optional<std::string> from_hex(std::string_view text);

class PublicKey {
 public:
  // Of a key object: {"keytype", "scheme", "keyval": {"public"}}. Null where it can't be used.
  static std::shared_ptr<const PublicKey> from_json(const JsonNode& object);
  // SHA-256 of the key itself (DER), whatever its id or its object's other members: what a threshold counts.
  const std::string& identity() const { return identity_; }
  bool verify(std::string_view bytes, std::string_view signature) const;

 private:
  enum class Scheme { kEd25519, kEcdsa, kRsaPss };
  std::shared_ptr<evp_pkey_st> key_;
  Scheme scheme_ = Scheme::kEd25519;
  std::string identity_;
};

constexpr std::size_t kMaxKeys = 128;
constexpr std::size_t kMaxSignatures = 128;

// Keys by their id. An id is the SHA-256 of the key object's canonical form; it is always computed, and a
// file that has another one is refused. Keys of unknown kinds are left out.
using KeysById = std::map<std::string, std::shared_ptr<const PublicKey>, std::less<>>;
Refusal read_keys(const JsonNode& objects, KeysById& keys);

struct Signature {
  std::string keyid;
  std::string bytes;
};
Refusal read_signatures(const JsonNode& list, std::vector<Signature>& signatures);

// A signed part and who claims to have signed it.
struct SignedEnvelope {
  std::vector<Signature> signatures;
  std::string signed_bytes;  // canonical form of the signed part
};

// Which keys may sign for a role, and how many of them must.
struct Role {
  std::vector<std::string> keyids;  // sorted
  std::int64_t threshold = 1;
  bool operator==(const Role&) const = default;
};
Refusal read_role(const JsonNode& object, Role& role);

// Have enough distinct public keys of the role signed? Neither ids nor signatures count: one key under two
// ids is one. `what` and `section` go into the refusal; `verifications` rises by the signatures computed, at
// most one for each signature of the envelope.
Refusal check_threshold(std::string_view subject, const Role& role, const KeysById& keys,
                        const SignedEnvelope& envelope, const char* section, std::uint64_t& verifications);

}  // namespace ashbeam::metadata
