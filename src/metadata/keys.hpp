// Public keys, signatures and signature thresholds of metadata files (TUF 1.0, section 4.2). Supported are
// Ed25519, ECDSA on P-256, and RSA-PSS with SHA-256.
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
// Returns the bytes as lower-case hex digits.
std::string to_hex(std::string_view bytes);
// Accepts digits of either case. Returns nothing if a character is not a hex digit or their number is odd.
std::optional<std::string> from_hex(std::string_view text);

class PublicKey {
 public:
  // Reads a key object, {"keytype", "scheme", "keyval": {"public"}}. Returns null if the object is malformed,
  // its type or scheme is not supported, or the key is not valid.
  static std::shared_ptr<const PublicKey> from_json(const JsonNode& object);

  // Returns the SHA-256 of the key's DER form in hex. It does not depend on the key id or on other members of
  // the key object, so thresholds count keys by it.
  const std::string& identity() const { return identity_; }

  bool verify(std::string_view bytes, std::string_view signature) const;

 private:
  enum class Scheme { kEd25519, kEcdsa, kRsaPss };
  std::shared_ptr<evp_pkey_st> key_;
  Scheme scheme_ = Scheme::kEd25519;
  std::string identity_;
};

constexpr std::size_t kMaxKeys = 128;        // in one list of keys or key ids
constexpr std::size_t kMaxSignatures = 128;  // of one file

using KeysById = std::map<std::string, std::shared_ptr<const PublicKey>, std::less<>>;

// Reads an object of key objects by key id. A key id is the SHA-256 of the key object's canonical form; it is
// always computed, and a file that gives another one is refused. Keys that PublicKey::from_json() can't read
// are left out.
Refusal read_keys(const JsonNode& objects, KeysById& keys);

struct Signature {
  std::string keyid;
  std::string bytes;
};
// Reads a list of {"keyid", "sig"} objects with the signatures in hex.
Refusal read_signatures(const JsonNode& list, std::vector<Signature>& signatures);

// The signed part of a file, and the signatures that the file gives for it. They are not verified yet.
struct SignedEnvelope {
  std::vector<Signature> signatures;
  std::string signed_bytes;  // the canonical form of the signed part
};

// The keys that may sign for a role, and the number of them that must.
struct Role {
  std::vector<std::string> keyids;  // sorted
  std::int64_t threshold = 1;
  bool operator==(const Role&) const = default;
};
// Reads an object with the members "keyids" and "threshold".
Refusal read_role(const JsonNode& object, Role& role);

// Refuses the envelope unless enough distinct public keys of the role have signed it. Neither key ids nor
// signatures are counted: one key under two ids counts once. `subject` names the file in the refusal, and
// `section` is the specification's. `verifications` increases by the number of signatures that were verified,
// which is at most one for each signature of the envelope.
Refusal check_threshold(std::string_view subject, const Role& role, const KeysById& keys,
                        const SignedEnvelope& envelope, const char* section, std::uint64_t& verifications);

}  // namespace ashbeam::metadata
