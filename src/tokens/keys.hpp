// Signature keys: Ed25519 (RFC 8037) and ECDSA on P-256 with SHA-256 (RFC 7518, section 3.4), implemented
// with OpenSSL. This module accesses no files. For sets of keys see key_set.hpp.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

struct evp_pkey_st;

namespace ashbeam::tokens {

enum class Algorithm : std::uint8_t { kEdDsa, kEs256 };
// Returns the value of `alg` (RFC 7515, section 4.1.1): EdDSA or ES256.
std::string_view name_of(Algorithm algorithm);
// Returns no value for another algorithm than these two.
std::optional<Algorithm> parse_algorithm(std::string_view name);

constexpr std::size_t kSignatureBytes = 64;  // of both algorithms
constexpr std::size_t kKeyPartBytes = 32;    // of a coordinate, a public part and a private part

using Digest = std::array<std::uint8_t, 32>;
Digest sha256(std::string_view bytes);

struct KeyError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A public key, or a key pair. Copies share the OpenSSL object.
class Key {
 public:
  // Constructs an empty key, which verifies no signature.
  Key() = default;
  // `x`, `y` and `d` are the decoded members of a JWK. `y` must be empty for Ed25519; `d` is empty for a
  // public key. Throws KeyError if they are not a valid key of that algorithm, or if the private and the
  // public part do not match.
  static Key from_parts(Algorithm algorithm, std::string_view x, std::string_view y, std::string_view d);
  static Key generate(Algorithm algorithm);

  Algorithm algorithm() const { return algorithm_; }
  const std::string& thumbprint() const { return thumbprint_; }  // in base64url (RFC 7638)
  bool is_private() const { return !d_.empty(); }
  bool verify(std::string_view signed_bytes, std::string_view signature) const;
  // Throws KeyError if the key has no private part.
  std::string sign(std::string_view bytes) const;
  // Returns the members of a JWK without the braces: kty, crv, alg, use, x, y (for P-256), and d if
  // `with_private` is set and the key has a private part.
  std::string jwk_members(bool with_private) const;

 private:
  Algorithm algorithm_ = Algorithm::kEdDsa;
  std::shared_ptr<evp_pkey_st> key_;
  std::string x_;
  std::string y_;
  std::string d_;
  std::string thumbprint_;
};

}  // namespace ashbeam::tokens
