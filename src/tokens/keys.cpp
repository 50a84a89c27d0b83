#include "tokens/keys.hpp"

#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>

#include <algorithm>

#include "tokens/base64url.hpp"
#include "tokens/openssl_ptr.hpp"

namespace ashbeam::tokens {

namespace {

constexpr char kUncompressedPoint = '\x04';  // SEC 1, section 2.3.3
// An ES256 signature in DER is two integers of up to 33 bytes with their headers.
constexpr std::size_t kMaxDerSignatureBytes = 80;
constexpr std::size_t kMaxSignatureBytes = 128;

const unsigned char* unsigned_bytes(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

unsigned char* unsigned_bytes(std::string& bytes) { return reinterpret_cast<unsigned char*>(bytes.data()); }

std::string to_padded_bytes(const BIGNUM* number) {
  std::string bytes(kKeyPartBytes, '\0');
  const int size = static_cast<int>(kKeyPartBytes);
  if (BN_bn2binpad(number, unsigned_bytes(bytes), size) != size)
    throw KeyError("a number of the key is longer than " + std::to_string(kKeyPartBytes) + " bytes");
  return bytes;
}

OpensslPtr<BIGNUM> to_bignum(std::string_view bytes) {
  return OpensslPtr<BIGNUM>(BN_bin2bn(unsigned_bytes(bytes), static_cast<int>(bytes.size()), nullptr));
}

OpensslPtr<BIGNUM> get_bignum_param(const EVP_PKEY* key, const char* name) {
  BIGNUM* number = nullptr;
  if (EVP_PKEY_get_bn_param(key, name, &number) != 1)
    throw KeyError(std::string("OpenSSL returned no key parameter '") + name + "'");
  return OpensslPtr<BIGNUM>(number);
}

std::shared_ptr<EVP_PKEY> make_shared_key(EVP_PKEY* key) {
  if (!key) throw KeyError("OpenSSL could not create the key");
  return {key, EVP_PKEY_free};
}

OpensslPtr<OSSL_PARAM> make_p256_params(std::string_view x, std::string_view y, const BIGNUM* private_part) {
  const std::string point = kUncompressedPoint + std::string(x) + std::string(y);
  const OpensslPtr<OSSL_PARAM_BLD> builder(OSSL_PARAM_BLD_new());
  OSSL_PARAM_BLD_push_utf8_string(builder.get(), OSSL_PKEY_PARAM_GROUP_NAME, "P-256", 0);
  OSSL_PARAM_BLD_push_octet_string(builder.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  if (private_part) OSSL_PARAM_BLD_push_BN(builder.get(), OSSL_PKEY_PARAM_PRIV_KEY, private_part);
  return OpensslPtr<OSSL_PARAM>(OSSL_PARAM_BLD_to_param(builder.get()));
}

std::shared_ptr<EVP_PKEY> make_p256_key(std::string_view x, std::string_view y, std::string_view d) {
  const OpensslPtr<BIGNUM> private_part = d.empty() ? nullptr : to_bignum(d);
  const OpensslPtr<OSSL_PARAM> params = make_p256_params(x, y, private_part.get());
  const OpensslPtr<EVP_PKEY_CTX> context(EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr));
  const int selection = private_part ? EVP_PKEY_KEYPAIR : EVP_PKEY_PUBLIC_KEY;
  EVP_PKEY* raw_key = nullptr;
  if (!params || !context || EVP_PKEY_fromdata_init(context.get()) != 1 ||
      EVP_PKEY_fromdata(context.get(), &raw_key, selection, params.get()) != 1)
    throw KeyError("the public part is not a point on P-256");
  auto key = make_shared_key(raw_key);
  const OpensslPtr<EVP_PKEY_CTX> check(EVP_PKEY_CTX_new_from_pkey(nullptr, key.get(), nullptr));
  if (!check || EVP_PKEY_public_check(check.get()) != 1)
    throw KeyError("the public part is not a point on P-256");
  if (private_part && EVP_PKEY_pairwise_check(check.get()) != 1)
    throw KeyError("the private part does not match the public part");
  return key;
}

std::string get_raw_public_key(const EVP_PKEY* ed25519_key) {
  std::string bytes(kKeyPartBytes, '\0');
  std::size_t size = bytes.size();
  if (EVP_PKEY_get_raw_public_key(ed25519_key, unsigned_bytes(bytes), &size) != 1)
    throw KeyError("OpenSSL returned no public part of the Ed25519 key");
  return bytes;
}

std::shared_ptr<EVP_PKEY> make_ed25519_key(std::string_view x, std::string_view d) {
  if (d.empty())
    return make_shared_key(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, unsigned_bytes(x), x.size()));
  auto key =
      make_shared_key(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, unsigned_bytes(d), d.size()));
  if (get_raw_public_key(key.get()) != x) throw KeyError("the private part does not match the public part");
  return key;
}

// Computes the thumbprint of RFC 7638, section 3, from the required members in lexicographic order, without
// white space.
std::string compute_thumbprint(Algorithm algorithm, std::string_view x, std::string_view y) {
  std::string members;
  if (algorithm == Algorithm::kEs256) {
    members = R"({"crv":"P-256","kty":"EC","x":")" + encode_base64url(x) + R"(","y":")" +
              encode_base64url(y) + "\"}";
  } else {
    members = R"({"crv":"Ed25519","kty":"OKP","x":")" + encode_base64url(x) + "\"}";
  }
  const Digest digest = sha256(members);
  return encode_base64url({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

struct DerSignature {
  std::array<unsigned char, kMaxDerSignatureBytes> bytes{};
  std::size_t size = 0;  // 0 if the encoding failed
  std::string_view view() const { return {reinterpret_cast<const char*>(bytes.data()), size}; }
};

// Converts an ES256 signature, which is r and s concatenated (RFC 7518, section 3.4), to the DER encoding
// that OpenSSL uses.
DerSignature to_der_signature(std::string_view r_and_s) {
  constexpr std::size_t kHalf = kSignatureBytes / 2;
  const OpensslPtr<ECDSA_SIG> parts(ECDSA_SIG_new());
  ECDSA_SIG_set0(parts.get(), to_bignum(r_and_s.substr(0, kHalf)).release(),
                 to_bignum(r_and_s.substr(kHalf)).release());
  DerSignature der;
  if (i2d_ECDSA_SIG(parts.get(), nullptr) > static_cast<int>(der.bytes.size())) return der;
  unsigned char* output = der.bytes.data();
  der.size = static_cast<std::size_t>(std::max(0, i2d_ECDSA_SIG(parts.get(), &output)));
  return der;
}

// Converts a signature in DER to r and s concatenated.
std::string from_der_signature(const unsigned char* der, std::size_t size) {
  const OpensslPtr<ECDSA_SIG> parts(d2i_ECDSA_SIG(nullptr, &der, static_cast<long>(size)));
  return to_padded_bytes(ECDSA_SIG_get0_r(parts.get())) + to_padded_bytes(ECDSA_SIG_get0_s(parts.get()));
}

// Returns null for Ed25519, which includes its own hash.
const EVP_MD* message_digest_for(Algorithm algorithm) {
  return algorithm == Algorithm::kEs256 ? EVP_sha256() : nullptr;
}

}  // namespace

std::string_view name_of(Algorithm algorithm) { return algorithm == Algorithm::kEdDsa ? "EdDSA" : "ES256"; }

std::optional<Algorithm> parse_algorithm(std::string_view name) {
  if (name == "EdDSA") return Algorithm::kEdDsa;
  if (name == "ES256") return Algorithm::kEs256;
  return std::nullopt;
}

Digest sha256(std::string_view bytes) {
  static const OpensslPtr<EVP_MD> method(EVP_MD_fetch(nullptr, "SHA256", nullptr));
  thread_local const OpensslPtr<EVP_MD_CTX> context(EVP_MD_CTX_new());
  Digest digest{};
  unsigned size = 0;
  if (EVP_DigestInit_ex2(context.get(), method.get(), nullptr) != 1 ||
      EVP_DigestUpdate(context.get(), bytes.data(), bytes.size()) != 1 ||
      EVP_DigestFinal_ex(context.get(), digest.data(), &size) != 1)
    throw std::runtime_error("OpenSSL could not compute SHA-256");
  return digest;
}

Key Key::from_parts(Algorithm algorithm, std::string_view x, std::string_view y, std::string_view d) {
  const bool is_curve_point = algorithm == Algorithm::kEs256;
  const bool has_valid_lengths = x.size() == kKeyPartBytes &&
                                 y.size() == (is_curve_point ? kKeyPartBytes : 0) &&
                                 (d.empty() || d.size() == kKeyPartBytes);
  if (!has_valid_lengths) {
    throw KeyError("wrong length of an " + std::string(name_of(algorithm)) + " key: x has " +
                   std::to_string(x.size()) + " bytes, y " + std::to_string(y.size()) + ", d " +
                   std::to_string(d.size()) + "; expected " + std::to_string(kKeyPartBytes) +
                   " for each part that the key has");
  }
  Key key;
  key.algorithm_ = algorithm;
  key.key_ = is_curve_point ? make_p256_key(x, y, d) : make_ed25519_key(x, d);
  key.x_ = x;
  key.y_ = y;
  key.d_ = d;
  key.thumbprint_ = compute_thumbprint(algorithm, x, y);
  return key;
}

Key Key::generate(Algorithm algorithm) {
  if (algorithm == Algorithm::kEs256) {
    const auto key = make_shared_key(EVP_EC_gen("P-256"));
    const auto x = get_bignum_param(key.get(), OSSL_PKEY_PARAM_EC_PUB_X);
    const auto y = get_bignum_param(key.get(), OSSL_PKEY_PARAM_EC_PUB_Y);
    const auto d = get_bignum_param(key.get(), OSSL_PKEY_PARAM_PRIV_KEY);
    return from_parts(algorithm, to_padded_bytes(x.get()), to_padded_bytes(y.get()),
                      to_padded_bytes(d.get()));
  }
  const auto key = make_shared_key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  std::string d(kKeyPartBytes, '\0');
  std::size_t size = d.size();
  if (EVP_PKEY_get_raw_private_key(key.get(), unsigned_bytes(d), &size) != 1)
    throw KeyError("OpenSSL returned no private part of the Ed25519 key");
  return from_parts(algorithm, get_raw_public_key(key.get()), {}, d);
}

bool Key::verify(std::string_view signed_bytes, std::string_view signature) const {
  if (!key_ || signature.size() != kSignatureBytes) return false;
  thread_local const OpensslPtr<EVP_MD_CTX> context(EVP_MD_CTX_new());
  EVP_MD_CTX_reset(context.get());
  if (EVP_DigestVerifyInit(context.get(), nullptr, message_digest_for(algorithm_), nullptr, key_.get()) != 1)
    return false;
  DerSignature der;
  if (algorithm_ == Algorithm::kEs256) {
    der = to_der_signature(signature);
    if (der.size == 0) return false;
    signature = der.view();
  }
  return EVP_DigestVerify(context.get(), unsigned_bytes(signature), signature.size(),
                          unsigned_bytes(signed_bytes), signed_bytes.size()) == 1;
}

std::string Key::sign(std::string_view bytes) const {
  if (!is_private()) throw KeyError("cannot sign: the key has no private part");
  const OpensslPtr<EVP_MD_CTX> context(EVP_MD_CTX_new());
  std::array<unsigned char, kMaxSignatureBytes> signature{};
  std::size_t size = signature.size();
  if (EVP_DigestSignInit(context.get(), nullptr, message_digest_for(algorithm_), nullptr, key_.get()) != 1 ||
      EVP_DigestSign(context.get(), signature.data(), &size, unsigned_bytes(bytes), bytes.size()) != 1)
    throw KeyError("OpenSSL could not compute the " + std::string(name_of(algorithm_)) + " signature");
  if (algorithm_ == Algorithm::kEs256) return from_der_signature(signature.data(), size);
  return {reinterpret_cast<const char*>(signature.data()), size};
}

std::string Key::jwk_members(bool with_private) const {
  const bool is_curve_point = algorithm_ == Algorithm::kEs256;
  std::string members = is_curve_point ? R"("kty":"EC","crv":"P-256")" : R"("kty":"OKP","crv":"Ed25519")";
  members += R"(,"alg":")" + std::string(name_of(algorithm_)) + R"(","use":"sig")";
  members += R"(,"x":")" + encode_base64url(x_) + "\"";
  if (is_curve_point) members += R"(,"y":")" + encode_base64url(y_) + "\"";
  if (with_private && is_private()) members += R"(,"d":")" + encode_base64url(d_) + "\"";
  return members;
}

}  // namespace ashbeam::tokens
