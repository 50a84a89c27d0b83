// Keys and signatures of metadata (TUF 1.0, section 4.2): Ed25519, ECDSA on P-256, RSA-PSS with SHA-256.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "metadata/json.hpp"
#include "metadata/refusal.hpp"

struct evp_pkey_st;

namespace ashbeam::metadata {

std::string sha256_hex(std::string_view bytes);
std::string sha512_hex(std::string_view bytes);
// Nothing where a character is none, or their number is odd.
std::optional<std::string> from_hex(std::string_view text);

class PublicKey {
 public:
  // Of a key object: {"keytype", "scheme", "keyval": {"public"}}. Null where it can't be used.
  static std::shared_ptr<const PublicKey> of(const Node& object);
  // As the key's own bytes say, whatever its id or its object's other members: what a threshold counts by.
  const std::string& identity() const { return identity_; }
  bool verifies(std::string_view bytes, std::string_view signature) const;

 private:
  enum class Scheme { kEd25519, kEcdsa, kRsaPss };
  std::shared_ptr<evp_pkey_st> key_;
  Scheme scheme_ = Scheme::kEd25519;
  std::string identity_;
};

// Keys by their id, which is recomputed from the object (SHA-256 of its canonical form) and never believed.
using Keys = std::map<std::string, std::shared_ptr<const PublicKey>, std::less<>>;
constexpr std::size_t kMostKeys = 128, kMostSignatures = 128;
Refusal read_keys(const Node& objects, Keys& into);

struct Signature {
  std::string keyid, bytes;
};
Refusal read_signatures(const Node& list, std::vector<Signature>& into);

// Which keys may speak for a role, and how many of them must.
struct Role {
  std::vector<std::string> keyids;
  std::int64_t threshold = 1;
  bool operator==(const Role&) const = default;
};
Refusal read_role(const Node& object, Role& into);

// How many distinct public keys of the role have signed these bytes: not how many ids or signatures. Each key
// is verified once at most; `verifications` counts them.
unsigned signers(const Role& role, const Keys& keys, const std::vector<Signature>& signatures,
                 std::string_view bytes, std::uint64_t& verifications);

}  // namespace ashbeam::metadata
