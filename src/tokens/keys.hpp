// Signature keys: Ed25519 (RFC 8037) and ECDSA on P-256 with SHA-256 (RFC 7518, section 3.4), as JWK and JWKS
// (RFC 7517). OpenSSL computes; no files here.
#pragma once
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evp_pkey_st;

namespace ashbeam::tokens {

enum class Algorithm : std::uint8_t { kEdDsa, kEs256 };
std::string_view name_of(Algorithm algorithm);                 // as "alg" has it
std::optional<Algorithm> algorithm_of(std::string_view name);  // only these two, ever
using Digest = std::array<std::uint8_t, 32>;                   // SHA-256
Digest digest_of(std::string_view bytes);

class Key {
 public:
  Key() = default;
  // Throws std::runtime_error where the bytes are no key of that kind, or the point is not on the curve.
  static Key public_key(Algorithm algorithm, std::string_view x, std::string_view y);
  static Key private_key(Algorithm algorithm, std::string_view x, std::string_view y, std::string_view d);
  static Key fresh(Algorithm algorithm);

  Algorithm algorithm() const { return algorithm_; }
  const std::string& thumbprint() const { return thumbprint_; }  // RFC 7638, base64url
  bool is_private() const { return !d_.empty(); }
  bool verifies(std::string_view signed_bytes, std::string_view signature) const;
  std::string sign(std::string_view bytes) const;  // throws std::runtime_error without the private part
  // Members of a JWK without braces: kty, crv, x, y, alg, and d where `with_private`.
  std::string members(bool with_private) const;
  explicit operator bool() const { return key_ != nullptr; }

 private:
  Algorithm algorithm_ = Algorithm::kEdDsa;
  std::shared_ptr<evp_pkey_st> key_;
  std::string x_, y_, d_, thumbprint_;
};

// One key of a set, with what ashbeam's own sets say of its life; Unix seconds, 0 where nothing is said.
struct Listed {
  Key key;
  std::string kid;
  double from = 0, retired = 0;
  bool revoked = false;
};

struct KeySet {
  std::vector<Listed> keys;
  unsigned passed_over = 0;  // of other kinds: RFC 7517, section 5, has them ignored
  std::string problem;       // why the text is no key set; then nothing of it counts
  bool holds_private = false;
};

constexpr std::size_t kMostKeys = 64;            // of a set
constexpr std::size_t kLongestSet = 256 * 1024;  // bytes
constexpr std::size_t kLongestKid = 64;
KeySet read_key_set(std::string_view text);
std::string key_set_text(const std::vector<Listed>& keys);

}  // namespace ashbeam::tokens
