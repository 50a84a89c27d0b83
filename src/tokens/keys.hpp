// Signature keys: Ed25519 (RFC 8037) and ECDSA on P-256 with SHA-256 (RFC 7518, section 3.4). OpenSSL
// computes; no files here. Sets of keys are in key_set.hpp.
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
std::string_view name_of(Algorithm algorithm);                    // as "alg" has it
std::optional<Algorithm> parse_algorithm(std::string_view name);  // these two alone

constexpr std::size_t kSignatureBytes = 64;  // of both algorithms
constexpr std::size_t kKeyPartBytes = 32;    // of a coordinate, of a public and of a private part

using Digest = std::array<std::uint8_t, 32>;
Digest sha256(std::string_view bytes);

struct KeyError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A public key, or a private one with its public part. Copies share OpenSSL's object.
class Key {
 public:
  Key() = default;  // no key: verifies nothing
  // `x`, `y` and `d` are the bytes of a JWK's members; `y` is empty for Ed25519, `d` for a public key. Throws
  // KeyError where they are no key of that algorithm, or do not belong together.
  static Key from_parts(Algorithm algorithm, std::string_view x, std::string_view y, std::string_view d);
  static Key generate(Algorithm algorithm);

  Algorithm algorithm() const { return algorithm_; }
  const std::string& thumbprint() const { return thumbprint_; }  // RFC 7638, base64url
  bool is_private() const { return !d_.empty(); }
  bool verify(std::string_view signed_bytes, std::string_view signature) const;
  std::string sign(std::string_view bytes) const;  // throws KeyError without the private part
  // Members of a JWK without braces: kty, crv, alg, use, x, y, and d where `with_private`.
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
